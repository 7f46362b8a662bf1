package election

import (
	"context"
	"encoding/binary"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/internal/fixture"
	"otterseam/tier/controlclient"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/rpc"
)

// openFailover opens the election part of a control process on a data directory.
func openFailover(t *testing.T, dir string) *Failover {
	t.Helper()
	logger, _ := test.NewNullLogger()
	entry := logrus.NewEntry(logger)
	clients := rpc.NewClients(nil)
	node, err := multigroup.Open(dir, clients, entry, true)
	if err != nil {
		t.Fatal(err)
	}
	elector, err := New(Config{
		Node: node, Clients: clients, Self: consensus.Member{ID: node.Identity, Address: "10.0.0.2:7402", Node: "ctl-b"},
		Policy: membership.Policy{Tolerate: 1}, Log: entry, Now: multigroup.Now, Seeds: func() []string { return nil }, Bootstrap: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	return NewFailover(elector, func() bool { return false })
}

// electionHandler dispatches messages to the election like the server of control.
func electionHandler(f *Failover) rpc.Handler {
	return func(m rpc.Message) {
		switch m.Kind {
		case controlclient.KindLocate:
			f.elector.HandleLocate(m)
		case controlclient.KindPreVote:
			go f.elector.HandlePreVote(m)
		case controlclient.KindPrepare:
			go f.elector.HandlePrepare(m)
		case controlclient.KindAccept:
			go f.elector.HandleAccept(m)
		}
	}
}

// serve starts a server with a handler and returns its address.
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

// serveRecorded starts a server that compares calls of a kind with one recording and answers with another. It returns the address.
func serveRecorded(t *testing.T, kind rpc.Kind, request, answer string) string {
	t.Helper()
	return serve(t, func(m rpc.Message) {
		if m.Kind != kind {
			t.Errorf("call of kind %d, not %d", m.Kind, kind)
		}
		recorded.Check(t, request, m.Payload)
		m.Answer(codes.OK, recorded.Read(t, answer))
	})
}

// callRecorded calls a process with a recorded payload, or with none if request is empty, and returns its answer.
func callRecorded(t *testing.T, f *Failover, kind rpc.Kind, request string) []byte {
	t.Helper()
	client := rpc.NewClient(serve(t, electionHandler(f)), nil)
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

// The files of the acceptor and the rounds match the recordings, and a process that starts on the recorded files restores their state.
func TestRecordedStoredVotes(t *testing.T) {
	files := map[string]string{"witness-0000000000000001": "stored-witness", "rounds-0000000000000001": "stored-rounds"}
	witness := fixture.Witness()
	dir := fixture.Disk(t, fixture.Voter, &witness)
	openFailover(t, dir)
	restored := fixture.Disk(t, fixture.Voter, nil)
	for file, name := range files {
		content, err := os.ReadFile(filepath.Join(dir, "values", file))
		if err != nil {
			t.Fatal(err)
		}
		recorded.Check(t, name, content)
		if err := os.WriteFile(filepath.Join(restored, "values", file), recorded.Read(t, name), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	elector := openFailover(t, restored).elector
	if !reflect.DeepEqual(elector.acceptor, witness) || !reflect.DeepEqual(elector.Known(), witness.Value) {
		t.Errorf("acceptor %+v, known record %+v", elector.acceptor, elector.Known())
	}
	stored := recorded.Read(t, "stored-rounds")
	limit := binary.BigEndian.Uint64(stored[len(stored)-8:])
	if round, err := elector.rounds.Next(); err != nil || round != limit+1 {
		t.Errorf("first round %x after the limit %x, %v", round, limit, err)
	}
}

// An acceptor accepts the recorded prepare and accept requests, and its responses and stored votes match the recordings.
func TestRecordedVotes(t *testing.T) {
	witness := fixture.Witness()
	dir := fixture.Disk(t, fixture.Voter, &witness)
	failover := openFailover(t, dir)
	recorded.Check(t, "prepare-answer", callRecorded(t, failover, controlclient.KindPrepare, "prepare"))
	recorded.Check(t, "accept-answer", callRecorded(t, failover, controlclient.KindAccept, "accept"))
	content, err := os.ReadFile(filepath.Join(dir, "values", "witness-0000000000000003"))
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "stored-witness-after", content)
	if !reflect.DeepEqual(failover.elector.Known(), fixture.Next()) {
		t.Errorf("known record %+v", failover.elector.Known())
	}
}

// A proposer's requests match the recordings, and it decodes the recorded responses.
func TestRecordedAcceptorRequests(t *testing.T) {
	elector := openFailover(t, fixture.Disk(t, fixture.Asker, nil)).elector
	transport := acceptorTransport{elector, PrepareOnTransfer}
	witness := fixture.Witness()
	to := consensus.Member{ID: fixture.Voter, Address: serveRecorded(t, controlclient.KindPrepare, "prepare", "prepare-answer")}
	got, err := transport.Prepare(recordedContext(t), to, fixture.Ballot())
	want := consensus.Response{Granted: true, Promised: fixture.Ballot(), Accepted: witness.Accepted, Value: witness.Value}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("prepare response %+v, %v", got, err)
	}
	to.Address = serveRecorded(t, controlclient.KindAccept, "accept", "accept-answer")
	got, err = transport.Accept(recordedContext(t), to, fixture.Ballot(), fixture.Next())
	want = consensus.Response{Granted: true, Promised: fixture.Ballot(), Accepted: fixture.Ballot(), Value: fixture.Next()}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("accept response %+v, %v", got, err)
	}
}

// A candidate's pre-vote request matches the recording, and the candidate learns the record in the recorded response. A voter answers the
// recorded request with that response.
func TestRecordedPreVote(t *testing.T) {
	elector := openFailover(t, fixture.Disk(t, fixture.Asker, nil)).elector
	voter := consensus.Member{ID: fixture.Voter, Address: serveRecorded(t, controlclient.KindPreVote, "support", "support-answer")}
	if !elector.requestPreVote(recordedContext(t), voter, PrepareOnTransfer, fixture.Record().Epoch) {
		t.Error("the pre-vote was not granted")
	}
	if !reflect.DeepEqual(elector.Known(), fixture.Record()) {
		t.Errorf("learned %+v", elector.Known())
	}
	witness := fixture.Witness()
	failover := openFailover(t, fixture.Disk(t, fixture.Voter, &witness))
	recorded.Check(t, "support-answer", callRecorded(t, failover, controlclient.KindPreVote, "support"))
}

// A process answers a locate request as recorded, and decodes the recorded answer of another process.
func TestRecordedLocate(t *testing.T) {
	witness := fixture.Witness()
	voter := openFailover(t, fixture.Disk(t, fixture.Voter, &witness))
	recorded.Check(t, "locate-answer", callRecorded(t, voter, controlclient.KindLocate, ""))

	failover := openFailover(t, fixture.Disk(t, fixture.Asker, nil))
	address := serve(t, func(m rpc.Message) {
		if m.Kind != controlclient.KindLocate || len(m.Payload) > 0 {
			t.Errorf("call of kind %d with payload %q", m.Kind, m.Payload)
		}
		m.Answer(codes.OK, recorded.Read(t, "locate-answer"))
	})
	failover.elector.Learn(consensus.Record{Epoch: 1, Members: []consensus.Member{{ID: fixture.Voter, Address: address}}})
	failover.locate(recordedContext(t))
	if !reflect.DeepEqual(failover.elector.Known(), fixture.Record()) {
		t.Errorf("learned %+v", failover.elector.Known())
	}
	if want := (consensus.Member{ID: fixture.Voter, Address: address, Node: "ctl-b"}); failover.candidates.all()[address] != want {
		t.Errorf("bootstrap candidates: %+v", failover.candidates.all())
	}
}

func TestRecordedTakeOver(t *testing.T) {
	recorded.CheckBoth(t, "take-over", 0x0102030405060708, encodeTakeOver, decodeTakeOver)
	recorded.Check(t, "record", encodeRecord(fixture.Record()))
	failover := openFailover(t, fixture.Disk(t, fixture.Asker, nil))
	failover.elector.learnEncoded(recorded.Read(t, "record"))
	if !reflect.DeepEqual(failover.elector.Known(), fixture.Record()) {
		t.Errorf("learned %+v", failover.elector.Known())
	}
	if KindTakeOver != 30 {
		t.Errorf("KindTakeOver is %d", KindTakeOver)
	}
}
