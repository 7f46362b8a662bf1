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
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/storage"
)

const (
	recordedVoter        = uint64(0x1111111111111111) // a process with the recorded stored state
	recordedAsker        = uint64(0x2222222222222222) // a process that asks it
	recordedInstallation = uint64(0xfedcba9876543210)
)

func recordedRecord() consensus.Record {
	return consensus.Record{
		Epoch: 0x0102030405060708, Primary: recordedVoter, InSync: []uint64{recordedVoter, recordedAsker},
		Members: []consensus.Member{
			{ID: recordedVoter, Address: "10.0.0.1:7401", Node: "ctl-a"},
			{ID: recordedAsker, Address: "10.0.0.2:7402", Node: "ctl-b"},
			{ID: 0x3333333333333333, Address: "10.0.0.3:7403", Node: "ctl-c"},
		},
		Previous:  []consensus.Member{{ID: 0x4444444444444444, Address: "10.0.0.4:7404", Node: "ctl-d"}},
		MinInSync: 2, Learners: []consensus.Member{{ID: 0x5555555555555555, Address: "10.0.0.5:7405", Node: "ctl-e"}},
		ClusterID: recordedInstallation,
	}
}

func recordedWitness() consensus.Acceptor {
	return consensus.Acceptor{
		Promised: consensus.ProposalNumber{Round: 0x0a0b0c0d0e0f1012, Proposer: 0x3333333333333333},
		Accepted: consensus.ProposalNumber{Round: 0x0a0b0c0d0e0f1011, Proposer: recordedAsker},
		Value:    recordedRecord(),
	}
}

// recordedBallot is above what the recorded witness has promised.
func recordedBallot() consensus.ProposalNumber {
	return consensus.ProposalNumber{Round: 0x0a0b0c0d0e0f1013, Proposer: recordedAsker}
}

// recordedNext is the record that is proposed under the recorded ballot.
func recordedNext() consensus.Record {
	next := recordedRecord()
	next.Epoch++
	next.Primary = recordedAsker
	next.Previous = nil
	return next
}

func recordedHost(id string, draining bool) directory.Host {
	return directory.Host{
		ID: id, Service: "chat", Address: "10.0.1.1:8000", Zone: "zone-a", Version: "v3.2.1", Slots: 0x01020304, Draining: draining,
		Stage: "canary", Models: `["m1","m2"]`,
	}
}

func recordedStore(identity uint64, node string) directory.Store {
	return directory.Store{Identity: identity, Boot: 0x1112131415161718, Node: node, Address: "10.0.2.1:7501", Zone: "zone-b"}
}

func recordedShard(id uint32) directory.Shard {
	return directory.Shard{
		ID: id, Total: 64, PrimaryBoot: 0x2122232425262728,
		View: replica.View{
			Epoch: 0x3132333435363738, Primary: 11, InSync: []uint64{11, 12}, Replicas: []uint64{11, 12, 13}, MinInSync: 2,
		},
	}
}

func TestRecordedCommands(t *testing.T) {
	for name, command := range map[string]Command{
		"replace-config": {Kind: CommandReplaceConfig, Base: 0x0102030405060708, Version: 0x1112131415161718, Body: []byte(`{"v":1}`)},
		"put-host":       {Kind: CommandPutHost, Host: recordedHost("host-1", true), Seq: 0x3132333435363738},
		"remove-host":    {Kind: CommandRemoveHost, Key: "host-1", Final: true},
		"put-store":      {Kind: CommandPutStore, Store: recordedStore(11, "store-a")},
		"remove-store":   {Kind: CommandRemoveStore, Store: recordedStore(12, "store-b")},
		"put-shard":      {Kind: CommandPutShard, Epoch: 0x4142434445464748, Shard: recordedShard(37)},
		"retire":         {Kind: CommandRetire, Key: "store-a", Needed: 0x01020304},
		"members":        {Kind: CommandMembers, Record: recordedRecord()},
		"read-config":    {Kind: CommandReadConfig},
		"set-aside":      {Kind: CommandSetAside, Key: "host-1", TermMS: 90_000},
		"end-aside":      {Kind: CommandEndAside, Key: "host-1"},
	} {
		recorded.CheckBoth(t, "command-"+name, command, Command.Encode, DecodeCommand)
	}
}

func TestRecordedItems(t *testing.T) {
	decode := func(data []byte) (retirement, error) { return decodeRetirement(data), nil }
	recorded.CheckBoth(t, "retirement", retirement{Left: true, Identities: []uint64{11, 0x0102030405060708}}, retirement.encode, decode)
	recorded.Check(t, "config", configItem(0x0102030405060708, []byte(`{"v":1}`)))
	if version, body := SplitConfig(recorded.Read(t, "config")); version != 0x0102030405060708 || string(body) != `{"v":1}` {
		t.Errorf("version %x, body %q", version, body)
	}
}

// recordedLog is a log of commands after which each part of the state holds several things.
func recordedLog() *log {
	l := newLog()
	for _, command := range []Command{
		{Kind: CommandMembers, Record: recordedRecord()},
		{Kind: CommandReplaceConfig, Base: 0, Version: 5, Body: []byte(`{"v":5}`)},
		{Kind: CommandReplaceConfig, Base: 5, Version: 7, Body: []byte(`{"v":7}`)},
		{Kind: CommandReplaceConfig, Base: 4, Version: 9, Body: []byte(`{"v":9}`)}, // refused: another base
		{Kind: CommandReplaceConfig, Base: 7, Version: 6, Body: []byte(`{"v":6}`)}, // refused: a lower version
		{Kind: CommandPutHost, Host: recordedHost("host-2", true), Seq: 3},
		{Kind: CommandPutHost, Host: recordedHost("host-1", false), Seq: 1},
		{Kind: CommandPutHost, Host: recordedHost("host-1", false), Seq: 2},
		{Kind: CommandPutHost, Host: recordedHost("host-3", false), Seq: 4},
		{Kind: CommandPutHost, Host: recordedHost("host-4", false), Seq: 5},
		{Kind: CommandSetAside, Key: "host-1", TermMS: 90_000},
		{Kind: CommandSetAside, Key: "host-2", TermMS: 80_000},
		{Kind: CommandEndAside, Key: "host-2"},
		{Kind: CommandRemoveHost, Key: "host-3", Final: true},
		{Kind: CommandRemoveHost, Key: "host-4"},
		{Kind: CommandRemoveHost, Key: "host-5", Final: true},
		{Kind: CommandPutStore, Store: recordedStore(11, "store-a")},
		{Kind: CommandPutStore, Store: recordedStore(12, "store-b")},
		{Kind: CommandPutStore, Store: recordedStore(13, "store-c")},
		{Kind: CommandPutShard, Shard: recordedShard(37)},
		{Kind: CommandPutShard, Shard: recordedShard(2)},
		{Kind: CommandRetire, Key: "store-b", Needed: 1},
		{Kind: CommandRetire, Key: "store-c", Needed: 1},
		{Kind: CommandRemoveStore, Store: recordedStore(13, "store-c")},
	} {
		l.apply(command)
	}
	return l
}

func TestRecordedSnapshot(t *testing.T) {
	state := recordedLog().state
	recorded.Check(t, "snapshot", state.Snapshot())
	restored := NewState()
	if err := restored.Restore(recorded.Read(t, "snapshot")); err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "snapshot", restored.Snapshot())
	if !reflect.DeepEqual(restored.hosts, withoutGoneDetails(state.hosts)) || restored.gone != state.gone {
		t.Errorf("hosts: %+v, not %+v", restored.hosts, state.hosts)
	}
	if !reflect.DeepEqual(&restored.orders, &state.orders) {
		t.Errorf("orders: %+v", &restored.orders)
	}
	if !reflect.DeepEqual(restored.View.Export(), state.View.Export()) {
		t.Errorf("items: %+v", restored.View.Export())
	}
}

// withoutGoneDetails is a list of hosts as a snapshot holds it: of those that deregistered it tells no more than that.
func withoutGoneDetails(hosts map[string]hostState) map[string]hostState {
	listed := map[string]hostState{}
	for id, held := range hosts {
		if held.gone {
			held.host = directory.Host{}
		}
		listed[id] = held
	}
	return listed
}

// recordedDisk makes the data folder of a process with such an identity, and with a witness unless it is nil.
func recordedDisk(t *testing.T, identity uint64, witness *consensus.Acceptor) string {
	t.Helper()
	dir := t.TempDir()
	values, err := storage.OpenValues(filepath.Join(dir, "values"))
	if err != nil {
		t.Fatal(err)
	}
	if err := values.Write("identity", binary.BigEndian.AppendUint64(nil, identity)); err != nil {
		t.Fatal(err)
	}
	if witness == nil {
		return dir
	}
	if err := values.Write(witnessValue, witness.Encode()); err != nil {
		t.Fatal(err)
	}
	return dir
}

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
		settings: own, seeds: settings.NewSeeds(own), log: entry, host: host, state: NewState(), clients: clients,
		sessions: newSessions(host.Identity), self: consensus.Member{ID: host.Identity, Address: "10.0.0.2:7402", Node: "ctl-b"},
		seen: membership.NewIdentityTracker(), founders: map[string]consensus.Member{}, heard: heardHosts{}, verdicts: newVerdicts(),
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
	witness := recordedWitness()
	dir := recordedDisk(t, recordedVoter, &witness)
	recordedServer(t, dir)
	restored := recordedDisk(t, recordedVoter, nil)
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
	witness := recordedWitness()
	dir := recordedDisk(t, recordedVoter, &witness)
	s := recordedServer(t, dir)
	recorded.Check(t, "prepare-answer", asked(t, s, controlclient.KindPrepare, "prepare"))
	recorded.Check(t, "accept-answer", asked(t, s, controlclient.KindAccept, "accept"))
	content, err := os.ReadFile(filepath.Join(dir, "values", "witness-0000000000000003"))
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "stored-witness-after", content)
	if !reflect.DeepEqual(s.elector.Known(), recordedNext()) {
		t.Errorf("known %+v", s.elector.Known())
	}
}

// A proposer asks for votes as recorded, and reads the recorded answers.
func TestRecordedCallsForVotes(t *testing.T) {
	elector := recordedServer(t, recordedDisk(t, recordedAsker, nil)).elector
	transport := witnessTransport{elector, prepareOnTransfer}
	witness := recordedWitness()
	to := consensus.Member{ID: recordedVoter, Address: answering(t, controlclient.KindPrepare, "prepare", "prepare-answer")}
	got, err := transport.Prepare(recordedContext(t), to, recordedBallot())
	want := consensus.Response{Granted: true, Promised: recordedBallot(), Accepted: witness.Accepted, Value: witness.Value}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("promise %+v, %v", got, err)
	}
	to.Address = answering(t, controlclient.KindAccept, "accept", "accept-answer")
	got, err = transport.Accept(recordedContext(t), to, recordedBallot(), recordedNext())
	want = consensus.Response{Granted: true, Promised: recordedBallot(), Accepted: recordedBallot(), Value: recordedNext()}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("acceptance %+v, %v", got, err)
	}
}

// A candidate asks for support as recorded and learns from the recorded answer; a voter takes the question and gives that answer.
func TestRecordedSupport(t *testing.T) {
	elector := recordedServer(t, recordedDisk(t, recordedAsker, nil)).elector
	voter := consensus.Member{ID: recordedVoter, Address: answering(t, controlclient.KindSupport, "support", "support-answer")}
	if !elector.askVoter(recordedContext(t), voter, prepareOnTransfer, recordedRecord().Epoch) {
		t.Error("no support")
	}
	if !reflect.DeepEqual(elector.Known(), recordedRecord()) {
		t.Errorf("learnt %+v", elector.Known())
	}
	witness := recordedWitness()
	s := recordedServer(t, recordedDisk(t, recordedVoter, &witness))
	recorded.Check(t, "support-answer", asked(t, s, controlclient.KindSupport, "support"))
}

// A process says who it is as recorded, and reads the recorded answer of another one.
func TestRecordedLocate(t *testing.T) {
	witness := recordedWitness()
	there := recordedServer(t, recordedDisk(t, recordedVoter, &witness))
	recorded.Check(t, "locate-answer", asked(t, there, controlclient.KindLocate, ""))

	s := recordedServer(t, recordedDisk(t, recordedAsker, nil))
	address := listenRecorded(t, func(m rpc.Message) {
		if m.Kind != controlclient.KindLocate || len(m.Payload) > 0 {
			t.Errorf("kind %d, %q", m.Kind, m.Payload)
		}
		m.Answer(codes.OK, recorded.Read(t, "locate-answer"))
	})
	s.elector.Learn(consensus.Record{Epoch: 1, Members: []consensus.Member{{ID: recordedVoter, Address: address}}})
	s.locate(recordedContext(t))
	if !reflect.DeepEqual(s.elector.Known(), recordedRecord()) {
		t.Errorf("learnt %+v", s.elector.Known())
	}
	if want := (consensus.Member{ID: recordedVoter, Address: address, Node: "ctl-b"}); s.foundersHeard()[address] != want {
		t.Errorf("founders: %+v", s.foundersHeard())
	}
}

func TestRecordedTakeOver(t *testing.T) {
	recorded.CheckBoth(t, "take-over", 0x0102030405060708, encodeTakeOver, decodeTakeOver)
	recorded.Check(t, "record", encodeRecord(recordedRecord()))
	s := recordedServer(t, recordedDisk(t, recordedAsker, nil))
	s.learnEncoded(recorded.Read(t, "record"))
	if !reflect.DeepEqual(s.elector.Known(), recordedRecord()) {
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
	s := recordedServer(t, recordedDisk(t, recordedAsker, nil))
	address := answering(t, controlclient.KindControlBeat, "control-beat", "control-beat-answer")
	s.primary = controlclient.New(s.clients, func() []string { return []string{address} })
	s.leaving = true
	s.refusals.Store(17)
	before := multigroup.Now()
	s.beatPrimary(recordedContext(t))
	after := multigroup.Now()
	if s.reachedSince < before-recordedAge || s.reachedSince > after-recordedAge {
		t.Errorf("reached since %d, asked from %d to %d", s.reachedSince, before, after)
	}
	if !reflect.DeepEqual(s.elector.Known(), recordedAlone()) {
		t.Errorf("learnt %+v", s.elector.Known())
	}
}

// recordedAlone is the record of a primary that is the only voter.
func recordedAlone() consensus.Record {
	record := recordedRecord()
	record.InSync = []uint64{recordedVoter}
	record.Members = record.Members[:1]
	record.Previous = nil
	record.MinInSync = 1
	return record
}

// leadingServer is a control process that leads alone.
func leadingServer(t *testing.T) *Server {
	t.Helper()
	witness := recordedWitness()
	witness.Value = recordedAlone()
	s := recordedServer(t, recordedDisk(t, recordedVoter, &witness))
	if err := s.host.OpenGroup(controlGroup, s.state, replica.Options{Incarnation: 9}); err != nil {
		t.Fatal(err)
	}
	s.host.SetView(controlGroup, membership.View(recordedAlone()))
	return s
}

// A primary answers the recorded beat as recorded but for the age of its contact, which is as measured.
func TestRecordedAnswerToAControlBeat(t *testing.T) {
	answer := asked(t, leadingServer(t), controlclient.KindControlBeat, "control-beat")
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
