package control

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
	"otterseam/tier/control/ejection"
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
	"otterseam/tier/settings"
)

// recordedServer is a control process on a data folder, without its periodic work.
func recordedServer(t *testing.T, dir string) *Server {
	t.Helper()
	logger, _ := test.NewNullLogger()
	entry := logrus.NewEntry(logger)
	clients := rpc.NewClients(nil)
	host, err := multigroup.Open(dir, clients, entry, true)
	if err != nil {
		t.Fatal(err)
	}
	own := &settings.Settings{Bootstrap: true}
	s := &Server{
		settings: own, seeds: settings.NewSeeds(own), log: entry, host: host, state: state.New(), clients: clients,
		sessions: session.New(host.Identity, multigroup.Now), self: consensus.Member{ID: host.Identity, Address: "10.0.0.2:7402", Node: "ctl-b"},
		seen: membership.NewIdentityTracker(), founders: map[string]consensus.Member{}, unreported: session.NewUnreportedHosts(), ejector: ejection.New(),
		wake: make(chan struct{}, 1),
	}
	if s.elector, err = newElector(host, clients, s.self.Address, membership.Policy{Tolerate: 1}, entry); err != nil {
		t.Fatal(err)
	}
	s.elector.lost = s.lost
	return s
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
func asked(t *testing.T, s *Server, kind rpc.Kind, question string) []byte {
	t.Helper()
	client := rpc.NewClient(listenRecorded(t, s.handle), nil)
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

// The files of the witness and of the rounds are those recorded, and a process that is started on them goes on from them.
func TestRecordedStoredVotes(t *testing.T) {
	files := map[string]string{"witness-0000000000000001": "stored-witness", "rounds-0000000000000001": "stored-rounds"}
	witness := fixture.Witness()
	dir := fixture.Disk(t, fixture.Voter, &witness)
	recordedServer(t, dir)
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
	elector := recordedServer(t, restored).elector
	if !reflect.DeepEqual(elector.witness, witness) || !reflect.DeepEqual(elector.Known(), witness.Value) {
		t.Errorf("witness %+v, known %+v", elector.witness, elector.Known())
	}
	stored := recorded.Read(t, "stored-rounds")
	limit := binary.BigEndian.Uint64(stored[len(stored)-8:])
	if round, err := elector.rounds.Next(); err != nil || round != limit+1 {
		t.Errorf("round %x behind the limit %x, %v", round, limit, err)
	}
}

// A witness takes the recorded prepare and accept, answers as recorded, and stores its votes as recorded.
func TestRecordedVotes(t *testing.T) {
	witness := fixture.Witness()
	dir := fixture.Disk(t, fixture.Voter, &witness)
	s := recordedServer(t, dir)
	recorded.Check(t, "prepare-answer", asked(t, s, controlclient.KindPrepare, "prepare"))
	recorded.Check(t, "accept-answer", asked(t, s, controlclient.KindAccept, "accept"))
	content, err := os.ReadFile(filepath.Join(dir, "values", "witness-0000000000000003"))
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "stored-witness-after", content)
	if !reflect.DeepEqual(s.elector.Known(), fixture.Next()) {
		t.Errorf("known %+v", s.elector.Known())
	}
}

// A proposer asks for votes as recorded, and reads the recorded answers.
func TestRecordedCallsForVotes(t *testing.T) {
	elector := recordedServer(t, fixture.Disk(t, fixture.Asker, nil)).elector
	transport := witnessTransport{elector, prepareOnTransfer}
	witness := fixture.Witness()
	to := consensus.Member{ID: fixture.Voter, Address: answering(t, controlclient.KindPrepare, "prepare", "prepare-answer")}
	got, err := transport.Prepare(recordedContext(t), to, fixture.Ballot())
	want := consensus.Response{Granted: true, Promised: fixture.Ballot(), Accepted: witness.Accepted, Value: witness.Value}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("promise %+v, %v", got, err)
	}
	to.Address = answering(t, controlclient.KindAccept, "accept", "accept-answer")
	got, err = transport.Accept(recordedContext(t), to, fixture.Ballot(), fixture.Next())
	want = consensus.Response{Granted: true, Promised: fixture.Ballot(), Accepted: fixture.Ballot(), Value: fixture.Next()}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("acceptance %+v, %v", got, err)
	}
}

// A candidate asks for support as recorded and learns from the recorded answer; a voter takes the question and gives that answer.
func TestRecordedSupport(t *testing.T) {
	elector := recordedServer(t, fixture.Disk(t, fixture.Asker, nil)).elector
	voter := consensus.Member{ID: fixture.Voter, Address: answering(t, controlclient.KindPreVote, "support", "support-answer")}
	if !elector.askVoter(recordedContext(t), voter, prepareOnTransfer, fixture.Record().Epoch) {
		t.Error("no support")
	}
	if !reflect.DeepEqual(elector.Known(), fixture.Record()) {
		t.Errorf("learnt %+v", elector.Known())
	}
	witness := fixture.Witness()
	s := recordedServer(t, fixture.Disk(t, fixture.Voter, &witness))
	recorded.Check(t, "support-answer", asked(t, s, controlclient.KindPreVote, "support"))
}

// A process says who it is as recorded, and reads the recorded answer of another one.
func TestRecordedLocate(t *testing.T) {
	witness := fixture.Witness()
	there := recordedServer(t, fixture.Disk(t, fixture.Voter, &witness))
	recorded.Check(t, "locate-answer", asked(t, there, controlclient.KindLocate, ""))

	s := recordedServer(t, fixture.Disk(t, fixture.Asker, nil))
	address := listenRecorded(t, func(m rpc.Message) {
		if m.Kind != controlclient.KindLocate || len(m.Payload) > 0 {
			t.Errorf("kind %d, %q", m.Kind, m.Payload)
		}
		m.Answer(codes.OK, recorded.Read(t, "locate-answer"))
	})
	s.elector.Learn(consensus.Record{Epoch: 1, Members: []consensus.Member{{ID: fixture.Voter, Address: address}}})
	s.locate(recordedContext(t))
	if !reflect.DeepEqual(s.elector.Known(), fixture.Record()) {
		t.Errorf("learnt %+v", s.elector.Known())
	}
	if want := (consensus.Member{ID: fixture.Voter, Address: address, Node: "ctl-b"}); s.foundersHeard()[address] != want {
		t.Errorf("founders: %+v", s.foundersHeard())
	}
}

func TestRecordedTakeOver(t *testing.T) {
	recorded.CheckBoth(t, "take-over", 0x0102030405060708, encodeTakeOver, decodeTakeOver)
	recorded.Check(t, "record", encodeRecord(fixture.Record()))
	s := recordedServer(t, fixture.Disk(t, fixture.Asker, nil))
	s.learnEncoded(recorded.Read(t, "record"))
	if !reflect.DeepEqual(s.elector.Known(), fixture.Record()) {
		t.Errorf("learnt %+v", s.elector.Known())
	}
	if KindTakeOver != 30 {
		t.Errorf("kind %d", KindTakeOver)
	}
}

// recordedAge is the age of the primary's contact in the recorded answer, in milliseconds.
const recordedAge = 321

// A control process keeps its session as recorded, and reads the recorded answer.
func TestRecordedControlBeat(t *testing.T) {
	s := recordedServer(t, fixture.Disk(t, fixture.Asker, nil))
	address := answering(t, controlclient.KindMemberHeartbeat, "control-beat", "control-beat-answer")
	s.primary = controlclient.New(s.clients, func() []string { return []string{address} })
	s.leaving = true
	s.refusals.Store(17)
	before := multigroup.Now()
	s.beatPrimary(recordedContext(t))
	after := multigroup.Now()
	if s.reachedSince < before-recordedAge || s.reachedSince > after-recordedAge {
		t.Errorf("reached since %d, asked from %d to %d", s.reachedSince, before, after)
	}
	if !reflect.DeepEqual(s.elector.Known(), fixture.Alone()) {
		t.Errorf("learnt %+v", s.elector.Known())
	}
}

// leadingServer is a control process that leads alone.
func leadingServer(t *testing.T) *Server {
	t.Helper()
	witness := fixture.Witness()
	witness.Value = fixture.Alone()
	s := recordedServer(t, fixture.Disk(t, fixture.Voter, &witness))
	if err := s.host.OpenGroup(controlGroup, s.state, replica.Options{Incarnation: 9}); err != nil {
		t.Fatal(err)
	}
	s.host.SetView(controlGroup, membership.View(fixture.Alone()))
	return s
}

// A primary answers the recorded beat as recorded but for the age of its contact, which is as measured.
func TestRecordedAnswerToAControlBeat(t *testing.T) {
	answer := asked(t, leadingServer(t), controlclient.KindMemberHeartbeat, "control-beat")
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
