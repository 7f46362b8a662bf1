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

// recordedMembers takes and sends the heartbeats of a control process on a data folder.
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

// listenRecorded has a handler take what arrives at the address returned.
func listenRecorded(t *testing.T, handler rpc.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go rpc.Serve(listener, handler)
	return listener.Addr().String()
}

// answering is a process that holds the calls of a kind to one recording and answers with another one.
func answering(t *testing.T, kind rpc.Kind, question, answer string) string {
	t.Helper()
	return listenRecorded(t, func(m rpc.Message) {
		if m.Kind != kind {
			t.Errorf("kind %d, not %d", m.Kind, kind)
		}
		recorded.Check(t, question, m.Payload)
		m.Answer(codes.OK, recorded.Read(t, answer))
	})
}

// asked calls a process with a recording, or with nothing, and returns its answer.
func asked(t *testing.T, m *Members, kind rpc.Kind, question string) []byte {
	t.Helper()
	client := rpc.NewClient(listenRecorded(t, m.Handle), nil)
	t.Cleanup(client.Close)
	var payload []byte
	if question != "" {
		payload = recorded.Read(t, question)
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

// recordedAge is the age of the primary's contact in the recorded answer, in milliseconds.
const recordedAge = 321

// A control process keeps its session as recorded, and reads the recorded answer.
func TestRecordedControlBeat(t *testing.T) {
	s := recordedMembers(t, fixture.Disk(t, fixture.Asker, nil))
	s.Draining = func() bool { return true }
	s.Rejected = func() uint64 { return 17 }
	address := answering(t, controlclient.KindMemberHeartbeat, "control-beat", "control-beat-answer")
	s.Primary = controlclient.New(rpc.NewClients(nil), func() []string { return []string{address} })
	before := multigroup.Now()
	s.send(recordedContext(t))
	after := multigroup.Now()
	reachedSince := s.Status.Status().ConfirmedSince
	if reachedSince < before-recordedAge || reachedSince > after-recordedAge {
		t.Errorf("reached since %d, asked from %d to %d", reachedSince, before, after)
	}
	if !reflect.DeepEqual(s.Elector.Known(), fixture.SingleVoterRecord()) {
		t.Errorf("learnt %+v", s.Elector.Known())
	}
}

// leadingMembers is the part of a control process that leads alone.
func leadingMembers(t *testing.T) *Members {
	t.Helper()
	witness := fixture.Witness()
	witness.Value = fixture.SingleVoterRecord()
	s := recordedMembers(t, fixture.Disk(t, fixture.Voter, &witness))
	if err := s.Node.OpenGroup(state.Group, state.New(), replica.Options{Incarnation: 9}); err != nil {
		t.Fatal(err)
	}
	s.Node.SetView(state.Group, membership.View(fixture.SingleVoterRecord()))
	return s
}

// A primary answers the recorded beat as recorded but for the age of its contact, which is as measured.
func TestRecordedAnswerToAControlBeat(t *testing.T) {
	answer := asked(t, leadingMembers(t), controlclient.KindMemberHeartbeat, "control-beat")
	if len(answer) < 8 {
		t.Fatalf("answer %x", answer)
	}
	age := answer[len(answer)-8:]
	if measured := int64(binary.BigEndian.Uint64(age)); measured < 0 || measured >= lease.TTL {
		t.Errorf("age %d", measured)
	}
	binary.BigEndian.PutUint64(age, recordedAge)
	recorded.Check(t, "control-beat-answer", answer)
}
