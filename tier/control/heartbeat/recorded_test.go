package heartbeat

import (
	"context"
	"encoding/binary"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/election"
	"otterseam/tier/control/internal/fixture"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// recordedMembers returns the Members of a control process with the given data folder.
func recordedMembers(t *testing.T, dir string) *Members {
	t.Helper()
	logger, _ := test.NewNullLogger()
	entry := logrus.NewEntry(logger)
	clients := rpc.NewClients(nil)
	node, err := multigroup.Open(dir, clients, entry, true)
	if err != nil {
		t.Fatal(err)
	}
	self := consensus.Member{ID: node.Identity, Address: "10.0.0.2:7402", Node: "ctl-b"}
	elector, err := election.New(election.Config{
		Node: node, Clients: clients, Self: self, Policy: membership.Policy{Tolerate: 1}, Log: entry, Now: multigroup.Now,
		Seeds: func() []string { return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	return &Members{
		Node: node, Self: self, Elector: elector, Status: election.NewLeaseStatus(elector),
		Sessions: session.New(node.Identity, multigroup.Now), Now: multigroup.Now,
	}
}

// serve serves calls with a handler and returns the address.
func serve(t *testing.T, handler rpc.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go rpc.Serve(listener, handler)
	return listener.Addr().String()
}

// serveRecorded serves calls of one kind. It checks each payload against a recording and responds with another recording. It returns the
// address.
func serveRecorded(t *testing.T, kind rpc.Kind, request, response string) string {
	t.Helper()
	return serve(t, func(message rpc.Message) {
		if message.Kind != kind {
			t.Errorf("kind %d, not %d", message.Kind, kind)
		}
		recorded.Check(t, request, message.Payload)
		message.Answer(codes.OK, recorded.Read(t, response))
	})
}

// callRecorded calls m with a recording, or with an empty payload if there is none, and returns the response.
func callRecorded(t *testing.T, m *Members, kind rpc.Kind, request string) []byte {
	t.Helper()
	client := rpc.NewClient(serve(t, m.Handle), nil)
	t.Cleanup(client.Close)
	var payload []byte
	if request != "" {
		payload = recorded.Read(t, request)
	}
	answer, err := client.Call(recordedContext(t), kind, payload)
	if err != nil {
		t.Fatalf("kind %d: %v", kind, err)
	}
	return answer
}

func recordedContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// recordedAge is the age of the primary's contact with a majority in the recorded response, in milliseconds.
const recordedAge = 321

// The heartbeat of a control process is as recorded, and its sender decodes the recorded response.
func TestRecordedControlHeartbeat(t *testing.T) {
	m := recordedMembers(t, fixture.Disk(t, fixture.Asker, nil))
	m.Draining = func() bool { return true }
	m.Rejected = func() uint64 { return 17 }
	address := serveRecorded(t, controlclient.KindMemberHeartbeat, "control-beat", "control-beat-answer")
	m.Primary = controlclient.New(rpc.NewClients(nil), func() []string { return []string{address} })
	before := multigroup.Now()
	m.send(recordedContext(t))
	after := multigroup.Now()
	reachedSince := m.Status.Status().ConfirmedSince
	if reachedSince < before-recordedAge || reachedSince > after-recordedAge {
		t.Errorf("reached since %d, sent between %d and %d", reachedSince, before, after)
	}
	if !reflect.DeepEqual(m.Elector.Known(), fixture.SingleVoterRecord()) {
		t.Errorf("learned record: %+v", m.Elector.Known())
	}
}

// primaryMembers returns the Members of a primary that is the only voter.
func primaryMembers(t *testing.T) *Members {
	t.Helper()
	witness := fixture.Witness()
	witness.Value = fixture.SingleVoterRecord()
	m := recordedMembers(t, fixture.Disk(t, fixture.Voter, &witness))
	if err := m.Node.OpenGroup(state.Group, state.New(), replica.Options{Incarnation: 9}); err != nil {
		t.Fatal(err)
	}
	m.Node.SetView(state.Group, membership.View(fixture.SingleVoterRecord()))
	return m
}

// A primary's response to the recorded heartbeat is as recorded, except for the measured age of its contact with a majority.
func TestRecordedResponseToControlHeartbeat(t *testing.T) {
	answer := callRecorded(t, primaryMembers(t), controlclient.KindMemberHeartbeat, "control-beat")
	if len(answer) < 8 {
		t.Fatalf("response %x", answer)
	}
	age := answer[len(answer)-8:]
	if measured := int64(binary.BigEndian.Uint64(age)); measured < 0 || measured >= lease.TTL {
		t.Errorf("age of the contact: %d ms", measured)
	}
	binary.BigEndian.PutUint64(age, recordedAge)
	recorded.Check(t, "control-beat-answer", answer)
}
