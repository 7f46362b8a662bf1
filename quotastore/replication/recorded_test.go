package replication

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// The exchange in testdata/recorded consists of the messages and writes of three servers that run the code of commit 1895881, over some
// seconds on a simulated network without loss: hellos, messages of the failure detector, messages of the Raft library with entries,
// membership changes and snapshots, leadership announcements, requests in sessions, and responses. Later versions must be able to
// communicate with servers that run that code, and to read the data that it wrote.

// exchange simulates a network of servers and records all messages and writes.
type exchange struct {
	t         *testing.T
	now       float64
	nodes     []*Node
	outboxes  [][]Message // by sender
	recording bytes.Buffer
	kinds     map[uint8]int
	raft      map[pb.MessageType]int
	written   map[string]int
}

var exchangeConfig = Config{Groups: 2, Replicas: 3, MaxLogEntries: 16, SnapshotRate: 1e6, ReplaceAfter: 2}

func newExchange(t *testing.T, n int) *exchange {
	t.Helper()
	x := &exchange{t: t, outboxes: make([][]Message, n), kinds: map[uint8]int{}, raft: map[pb.MessageType]int{}, written: map[string]int{}}
	for i := range n {
		c, err := New(i, uint32(1000+i), 0, peers(n, 3), exchangeConfig, uint64(20+i), nil)
		if err != nil {
			t.Fatal(err)
		}
		x.nodes = append(x.nodes, c)
	}
	return x
}

// record appends an item to the recording: the number of the server, the kind of the item, and its bytes.
func (x *exchange) record(node int, kind byte, body []byte) {
	x.recording.Write([]byte{byte(node), kind})
	x.recording.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	x.recording.Write(body)
}

func (x *exchange) recordMessage(node int, kind byte, m proto.Message) {
	x.t.Helper()
	body, err := proto.Marshal(m)
	if err != nil {
		x.t.Fatal(err)
	}
	x.record(node, kind, body)
	x.written[string(kind)]++
}

// write records the writes of a server, encoded as they are stored on disk.
func (x *exchange) write(node int, all []Write) {
	for i := range all {
		w := &all[i]
		x.record(node, 'w', fmt.Appendf(nil, "group %d, keep %d, reset %v, drop %v", w.Group, w.CompactTo, w.ReplaceLog, w.DropReplica))
		if w.HardState != nil {
			x.recordMessage(node, 'h', w.HardState)
		}
		if w.Snapshot != nil {
			x.recordMessage(node, 's', w.Snapshot)
		}
		for _, e := range w.Entries {
			x.recordMessage(node, 'e', e)
		}
	}
}

// settle completes the pending writes of one server, and collects the messages that it sends.
func (x *exchange) settle(node int) {
	c := x.nodes[node]
	for w := c.Ready(); w != nil; w = c.Ready() {
		x.write(node, w.Writes)
		c.Advance(w)
	}
	if err := c.Err(); err != nil {
		x.t.Fatal(err)
	}
	x.outboxes[node] = append(x.outboxes[node], c.TakeMessages()...)
}

// run advances the time in steps of 20 ms. In each step the servers tick, and all messages sent up to then are delivered.
func (x *exchange) run(seconds float64) {
	x.t.Helper()
	for until := x.now + seconds; x.now < until; {
		x.now += 0.02
		for i, c := range x.nodes {
			c.Tick(x.now)
			x.settle(i)
		}
		sent := slices.Clone(x.outboxes)
		clear(x.outboxes)
		for from, messages := range sent {
			for _, message := range messages {
				x.deliver(from, message)
			}
		}
	}
}

func (x *exchange) deliver(from int, message Message) {
	x.t.Helper()
	encoded, err := message.Frame.AppendTo(nil)
	if err != nil {
		x.t.Fatal(err)
	}
	kind := byte('f')
	if message.Bulk {
		kind = 'b'
	}
	x.record(from, kind, append([]byte{byte(message.To)}, encoded...))
	f, err := protocol.ReadFrame(bytes.NewReader(encoded), protocol.MaxFrameBytes)
	if err != nil {
		x.t.Fatal(err)
	}
	x.kinds[f.Kind]++
	if f.Kind == protocol.KindRaft {
		m := &pb.Message{}
		if err := proto.Unmarshal(f.Raft, m); err != nil {
			x.t.Fatal(err)
		}
		x.raft[m.GetType()]++
	}
	x.nodes[message.To].Receive(x.now, from, f)
	x.settle(message.To)
}

// submit submits a command at a server as a gateway would, and fails the test if the command isn't done within 100 steps.
func (x *exchange) submit(node int, command statemachine.Command) statemachine.Reply {
	x.t.Helper()
	var r *protocol.Response
	x.nodes[node].HandleClient(x.now, protocol.Request{ID: 1, Command: command}, func(a protocol.Response) { r = &a })
	for range 100 {
		if r != nil {
			break
		}
		x.run(0.02)
	}
	if r == nil || r.NotLeader || r.Unknown || r.Reply.Code != statemachine.Done {
		x.t.Fatalf("response to %+v at server %d: %+v", command, node, r)
	}
	return r.Reply
}

func (x *exchange) collectUsage(node int, batch uint64) *protocol.Admin {
	x.t.Helper()
	var r *protocol.Admin
	x.nodes[node].HandleAdmin(x.now, &protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: batch}, nil, func(a *protocol.Admin) { r = a })
	for range 100 {
		if r != nil {
			break
		}
		x.run(0.02)
	}
	if r == nil || r.Failure != "" {
		x.t.Fatalf("answer for batch %d: %+v", batch, r)
	}
	return r
}

// playExchange runs the exchange that is recorded: a bootstrap of three servers, all kinds of commands, and then the addition of a fourth
// server, to which the groups are replicated because one of the three is draining.
func playExchange(t *testing.T) *exchange {
	t.Helper()
	x := newExchange(t, 3)
	bootstrap := &protocol.Bootstrap{Cluster: 0x1122334455667789, Groups: exchangeConfig.Groups, Replicas: exchangeConfig.Replicas}
	for i := range x.nodes {
		bootstrap.Members = append(bootstrap.Members, protocol.NewReplicaID(i, uint32(1000+i)))
	}
	for i, c := range x.nodes {
		writes, err := c.Bootstrap(x.now, bootstrap)
		if err != nil {
			t.Fatal(err)
		}
		x.write(i, writes)
	}
	x.run(2)
	x.playRequests()
	x.playFourthServer()
	return x
}

// playRequests submits all kinds of commands, and waits until the unreported usage of a dead holder is recovered.
func (x *exchange) playRequests() {
	x.t.Helper()
	x.submit(0, statemachine.Command{Kind: statemachine.RenewLease, Holder: "edge-dead.1", TTL: 0.5})
	x.submit(1, statemachine.Command{Kind: statemachine.RenewLease, Holder: "edge-alive.1", TTL: 60})
	x.submit(2, statemachine.Command{Kind: statemachine.ReportUsage, Holder: "edge-dead.1", Key: "shared", Amount: 10, Reserved: 4, Version: 1, TTL: 60})
	x.submit(0, statemachine.Command{Kind: statemachine.RecordUnreported, Holder: "edge-dead.1", Key: "shared", Amount: 9.5, Version: 2, TTL: 60})
	for i := range 12 {
		x.submit(i%3, statemachine.Command{Kind: statemachine.Add, Key: fmt.Sprint("name-", i%4), Amount: 0.5 * float64(i+1), TTL: 60})
		x.submit(i%3, statemachine.Command{Kind: statemachine.AcquireMarker, Holder: "edge-alive.1", Key: fmt.Sprint("invocation-", i), Scope: "pool-a", TTL: 60})
	}
	x.submit(1, statemachine.Command{Kind: statemachine.ReleaseMarker, Holder: "edge-alive.1", Key: "invocation-3"})
	x.submit(2, statemachine.Command{Kind: statemachine.MeterUsage, Holder: "edge-alive.1/0", Key: "gold 0011", Amount: 12.25, Version: 1})
	if got := x.collectUsage(0, 1); len(got.Usage) != 1 || got.Usage[0].Units != 12.25 {
		x.t.Fatalf("batch 1 is %+v", got.Usage)
	}
	x.run(4) // until the unreported usage of the dead holder is recovered
	if r := x.submit(2, statemachine.Command{Kind: statemachine.Add, Key: "shared", TTL: 60}); r.Total != 9.5 {
		x.t.Fatalf("counter shared has total %v", r.Total)
	}
}

// playFourthServer adds a server, to which the groups are replicated because the first server is draining.
func (x *exchange) playFourthServer() {
	x.t.Helper()
	list := peers(4, 3)
	list[0].Draining = true
	c, err := New(3, 1003, 0, list, exchangeConfig, 23, nil)
	if err != nil {
		x.t.Fatal(err)
	}
	x.nodes, x.outboxes = append(x.nodes, c), append(x.outboxes, nil)
	for i := range 3 {
		if err := x.nodes[i].SetPeers(x.now, list, uint64(30+i)); err != nil {
			x.t.Fatal(err)
		}
	}
	x.run(6)
	for _, count := range []struct {
		name string
		want float64
	}{{"name-0", 0.5 + 2.5 + 4.5}, {"name-3", 2 + 4 + 6}, {"shared", 9.5}} {
		if r := x.submit(3, statemachine.Command{Kind: statemachine.Add, Key: count.name, TTL: 60}); r.Total != count.want {
			x.t.Fatalf("counter %s has total %v at the new server, want %v", count.name, r.Total, count.want)
		}
	}
}

func recordedExchange(t *testing.T) []byte {
	t.Helper()
	packed, err := os.Open(filepath.Join("testdata/recorded", "exchange.bin.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	plain, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(plain)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestExchangeMatchesRecordedBytes(t *testing.T) {
	x := playExchange(t)
	for kind := protocol.KindHello; kind <= protocol.KindResponses; kind++ {
		if x.kinds[kind] == 0 {
			t.Errorf("no frame of kind %d was sent", kind)
		}
	}
	for _, kind := range []pb.MessageType{
		pb.MsgPreVote, pb.MsgPreVoteResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgApp, pb.MsgAppResp,
		pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgSnap,
	} {
		if x.raft[kind] == 0 {
			t.Errorf("no %v was sent: %v", kind, x.raft)
		}
	}
	for _, what := range []string{"h", "s", "e"} {
		if x.written[what] == 0 {
			t.Errorf("no item of kind %s was written: %v", what, x.written)
		}
	}
	got, want := x.recording.Bytes(), recordedExchange(t)
	if !bytes.Equal(got, want) {
		at := 0
		for at < min(len(got), len(want)) && got[at] == want[at] {
			at++
		}
		t.Errorf("the exchange has %d bytes, the recording %d; they differ from byte %d on:\n%x\nwant the recorded bytes\n%x", len(got), len(want), at,
			got[at:min(len(got), at+200)], want[at:min(len(want), at+200)])
	}
}

// Each frame, message, entry and state in the recording must decode, and encode to the same bytes again.
func TestRecordedExchangeDecodes(t *testing.T) {
	for rest := recordedExchange(t); len(rest) > 0; {
		what, n := rest[1], binary.BigEndian.Uint32(rest[2:])
		body := rest[6 : 6+n]
		rest = rest[6+n:]
		switch what {
		case 'h':
			checkRoundTrip(t, "hard state", &pb.HardState{}, body)
		case 's':
			snapshot := &pb.Snapshot{}
			checkRoundTrip(t, "snapshot", snapshot, body)
			checkStateRoundTrip(t, snapshot.Data)
		case 'e':
			e := &pb.Entry{}
			checkRoundTrip(t, "entry", e, body)
			checkBatchRoundTrip(t, e)
		case 'f', 'b':
			checkFrameRoundTrip(t, body[1:])
		}
	}
}

// checkRoundTrip checks that a message of the Raft library encodes to the bytes from which it was decoded.
func checkRoundTrip(t *testing.T, what string, m proto.Message, body []byte) {
	t.Helper()
	if err := proto.Unmarshal(body, m); err != nil {
		t.Fatal(what, err)
	}
	text, err := proto.Marshal(m)
	if err != nil || !bytes.Equal(text, body) {
		t.Fatalf("%s: decoded and encoded again as\n%x (%v)\nwant the recorded bytes\n%x", what, text, err, body)
	}
}

func checkStateRoundTrip(t *testing.T, data []byte) {
	t.Helper()
	s, err := statemachine.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(s.Snapshot(), data) {
		t.Fatalf("state: snapshot of the restored state is\n%x\nwant the recorded bytes\n%x", s.Snapshot(), data)
	}
}

func checkBatchRoundTrip(t *testing.T, e *pb.Entry) {
	t.Helper()
	if e.GetType() != pb.EntryNormal || len(e.Data) == 0 {
		return
	}
	b, err := statemachine.DecodeBatch(e.Data)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b.Encode(), e.Data) {
		t.Fatalf("batch: decoded and encoded again as\n%x\nwant the recorded bytes\n%x", b.Encode(), e.Data)
	}
}

func checkFrameRoundTrip(t *testing.T, body []byte) {
	t.Helper()
	f, err := protocol.ReadFrame(bytes.NewReader(body), protocol.MaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	text, err := f.AppendTo(nil)
	if err != nil || !bytes.Equal(text, body) {
		t.Fatalf("frame: decoded and encoded again as\n%x (%v)\nwant the recorded bytes\n%x", text, err, body)
	}
	if f.Kind != protocol.KindRaft {
		return
	}
	m := &pb.Message{}
	checkRoundTrip(t, "message", m, f.Raft)
	for _, e := range m.Entries {
		checkBatchRoundTrip(t, e)
	}
	if m.GetType() == pb.MsgSnap {
		checkStateRoundTrip(t, m.Snapshot.Data)
	}
}
