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

// The exchange in testdata/recorded is what three stores, as the code of commit 1895881 had them, sent each other and wrote over
// some seconds of a simulated network on which nothing is lost: hellos, membership, the consensus library's messages with
// entries, changes of members and snapshots, who leads, what is asked in sessions, and the answers. Stores of that code and
// later ones have to understand each other, and a later one has to find its way on what lies on disks.

// exchange is a simulated network of stores that notes all that is sent and written.
type exchange struct {
	t     *testing.T
	now   float64
	nodes []*Node
	mail  [][]Message // by sender
	raw   bytes.Buffer
	kinds map[uint8]int
	raft  map[pb.MessageType]int
	wrote map[string]int
}

var exchangeConfig = Config{Groups: 2, Replicas: 3, MaxLogEntries: 16, SnapshotRate: 1e6, ReplaceAfter: 2}

func newExchange(t *testing.T, n int) *exchange {
	t.Helper()
	x := &exchange{t: t, mail: make([][]Message, n), kinds: map[uint8]int{}, raft: map[pb.MessageType]int{}, wrote: map[string]int{}}
	for i := range n {
		c, err := New(i, uint32(1000+i), 0, peers(n, 3), exchangeConfig, uint64(20+i), nil)
		if err != nil {
			t.Fatal(err)
		}
		x.nodes = append(x.nodes, c)
	}
	return x
}

// note puts one thing behind what is recorded: who, what it is, and its bytes.
func (x *exchange) note(who int, what byte, body []byte) {
	x.raw.Write([]byte{byte(who), what})
	x.raw.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	x.raw.Write(body)
}

func (x *exchange) noteMessage(who int, what byte, m proto.Message) {
	x.t.Helper()
	body, err := proto.Marshal(m)
	if err != nil {
		x.t.Fatal(err)
	}
	x.note(who, what, body)
	x.wrote[string(what)]++
}

// write notes what a store writes, in the form in which it lies on its disk.
func (x *exchange) write(who int, all []Write) {
	for i := range all {
		w := &all[i]
		x.note(who, 'w', fmt.Appendf(nil, "group %d, keep %d, reset %v, drop %v", w.Group, w.CompactTo, w.ReplaceLog, w.DropReplica))
		if w.HardState != nil {
			x.noteMessage(who, 'h', w.HardState)
		}
		if w.Snapshot != nil {
			x.noteMessage(who, 's', w.Snapshot)
		}
		for _, e := range w.Entries {
			x.noteMessage(who, 'e', e)
		}
	}
}

// settle lets one store write all that it has to, and takes what it sends.
func (x *exchange) settle(who int) {
	c := x.nodes[who]
	for w := c.Ready(); w != nil; w = c.Ready() {
		x.write(who, w.Writes)
		c.Advance(w)
	}
	if err := c.Err(); err != nil {
		x.t.Fatal(err)
	}
	x.mail[who] = append(x.mail[who], c.TakeMessages()...)
}

// run lets time go on by steps of 20 ms, in which each store gets what was sent in the step before.
func (x *exchange) run(seconds float64) {
	x.t.Helper()
	for until := x.now + seconds; x.now < until; {
		x.now += 0.02
		for i, c := range x.nodes {
			c.Tick(x.now)
			x.settle(i)
		}
		sent := slices.Clone(x.mail)
		clear(x.mail)
		for from, letters := range sent {
			for _, l := range letters {
				x.deliver(from, l)
			}
		}
	}
}

func (x *exchange) deliver(from int, l Message) {
	x.t.Helper()
	text, err := l.Frame.AppendTo(nil)
	if err != nil {
		x.t.Fatal(err)
	}
	bulk := byte('f')
	if l.Bulk {
		bulk = 'b'
	}
	x.note(from, bulk, append([]byte{byte(l.To)}, text...))
	f, err := protocol.ReadFrame(bytes.NewReader(text), protocol.MaxFrameBytes)
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
	x.nodes[l.To].Receive(x.now, from, f)
	x.settle(l.To)
}

// ask has a store ask for something as a gateway would, and wants it done.
func (x *exchange) ask(who int, e statemachine.Command) statemachine.Reply {
	x.t.Helper()
	var r *protocol.Response
	x.nodes[who].HandleClient(x.now, protocol.Request{ID: 1, Command: e}, func(a protocol.Response) { r = &a })
	for range 100 {
		if r != nil {
			break
		}
		x.run(0.02)
	}
	if r == nil || r.NotLeader || r.Unknown || r.Reply.Code != statemachine.Done {
		x.t.Fatalf("%+v at store %d is answered %+v", e, who, r)
	}
	return r.Reply
}

func (x *exchange) take(who int, batch uint64) *protocol.Admin {
	x.t.Helper()
	var r *protocol.Admin
	x.nodes[who].HandleAdmin(x.now, &protocol.Admin{Operation: protocol.OperationCollectUsage, Batch: batch}, nil, func(a *protocol.Admin) { r = a })
	for range 100 {
		if r != nil {
			break
		}
		x.run(0.02)
	}
	if r == nil || r.Failure != "" {
		x.t.Fatalf("batch %d is answered %+v", batch, r)
	}
	return r
}

// play is what is recorded: a bootstrap of three, all kinds of commands, then a fourth server, to which the groups are replicated as one of
// the three is to leave.
func play(t *testing.T) *exchange {
	t.Helper()
	x := newExchange(t, 3)
	f := &protocol.Bootstrap{Cluster: 0x1122334455667789, Groups: exchangeConfig.Groups, Replicas: exchangeConfig.Replicas}
	for i := range x.nodes {
		f.Members = append(f.Members, protocol.NewReplicaID(i, uint32(1000+i)))
	}
	for i, c := range x.nodes {
		writes, err := c.Bootstrap(x.now, f)
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

// playRequests asks for all kinds of commands, and has what a dead holder had not reported recovered.
func (x *exchange) playRequests() {
	x.t.Helper()
	x.ask(0, statemachine.Command{Kind: statemachine.RenewLease, Holder: "edge-dead.1", TTL: 0.5})
	x.ask(1, statemachine.Command{Kind: statemachine.RenewLease, Holder: "edge-alive.1", TTL: 60})
	x.ask(2, statemachine.Command{Kind: statemachine.ReportUsage, Holder: "edge-dead.1", Key: "shared", Amount: 10, Reserved: 4, Version: 1, TTL: 60})
	x.ask(0, statemachine.Command{Kind: statemachine.RecordUnreported, Holder: "edge-dead.1", Key: "shared", Amount: 9.5, Version: 2, TTL: 60})
	for i := range 12 {
		x.ask(i%3, statemachine.Command{Kind: statemachine.Add, Key: fmt.Sprint("name-", i%4), Amount: 0.5 * float64(i+1), TTL: 60})
		x.ask(i%3, statemachine.Command{Kind: statemachine.AcquireMarker, Holder: "edge-alive.1", Key: fmt.Sprint("invocation-", i), Scope: "pool-a", TTL: 60})
	}
	x.ask(1, statemachine.Command{Kind: statemachine.ReleaseMarker, Holder: "edge-alive.1", Key: "invocation-3"})
	x.ask(2, statemachine.Command{Kind: statemachine.MeterUsage, Holder: "edge-alive.1/0", Key: "gold 0011", Amount: 12.25, Version: 1})
	if got := x.take(0, 1); len(got.Usage) != 1 || got.Usage[0].Units != 12.25 {
		x.t.Fatalf("batch 1 is %+v", got.Usage)
	}
	x.run(4) // what the dead holder had not reported is recovered
	if r := x.ask(2, statemachine.Command{Kind: statemachine.Add, Key: "shared", TTL: 60}); r.Total != 9.5 {
		x.t.Fatalf("shared stands at %v", r.Total)
	}
}

// playFourthServer adds a server, to which the groups are replicated as the first is to leave.
func (x *exchange) playFourthServer() {
	x.t.Helper()
	list := peers(4, 3)
	list[0].Draining = true
	c, err := New(3, 1003, 0, list, exchangeConfig, 23, nil)
	if err != nil {
		x.t.Fatal(err)
	}
	x.nodes, x.mail = append(x.nodes, c), append(x.mail, nil)
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
		if r := x.ask(3, statemachine.Command{Kind: statemachine.Add, Key: count.name, TTL: 60}); r.Total != count.want {
			x.t.Fatalf("%s stands at %v at the new store, wanted is %v", count.name, r.Total, count.want)
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

func TestExchangeIsTheRecordedBytes(t *testing.T) {
	x := play(t)
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
		if x.wrote[what] == 0 {
			t.Errorf("nothing was written of %s: %v", what, x.wrote)
		}
	}
	got, want := x.raw.Bytes(), recordedExchange(t)
	if !bytes.Equal(got, want) {
		at := 0
		for at < min(len(got), len(want)) && got[at] == want[at] {
			at++
		}
		t.Errorf("%d bytes, %d are recorded; they differ from byte %d on:\n%x\nrecorded is\n%x", len(got), len(want), at,
			got[at:min(len(got), at+200)], want[at:min(len(want), at+200)])
	}
}

// What is recorded is read as what it was: each frame, message, entry and state in it encodes to its bytes again.
func TestRecordedExchangeIsRead(t *testing.T) {
	for rest := recordedExchange(t); len(rest) > 0; {
		what, n := rest[1], binary.BigEndian.Uint32(rest[2:])
		body := rest[6 : 6+n]
		rest = rest[6+n:]
		switch what {
		case 'h':
			readAgain(t, "hard state", &pb.HardState{}, body)
		case 's':
			snapshot := &pb.Snapshot{}
			readAgain(t, "snapshot", snapshot, body)
			readStateAgain(t, snapshot.Data)
		case 'e':
			e := &pb.Entry{}
			readAgain(t, "entry", e, body)
			readBatchAgain(t, e)
		case 'f', 'b':
			readFrameAgain(t, body[1:])
		}
	}
}

// readAgain wants a message of the Raft library to encode to the bytes of which it was decoded.
func readAgain(t *testing.T, what string, m proto.Message, body []byte) {
	t.Helper()
	if err := proto.Unmarshal(body, m); err != nil {
		t.Fatal(what, err)
	}
	text, err := proto.Marshal(m)
	if err != nil || !bytes.Equal(text, body) {
		t.Fatalf("%s: read and encoded again as\n%x (%v)\nrecorded is\n%x", what, text, err, body)
	}
}

func readStateAgain(t *testing.T, data []byte) {
	t.Helper()
	s, err := statemachine.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(s.Snapshot(), data) {
		t.Fatalf("state: restored and saved again as\n%x\nrecorded is\n%x", s.Snapshot(), data)
	}
}

func readBatchAgain(t *testing.T, e *pb.Entry) {
	t.Helper()
	if e.GetType() != pb.EntryNormal || len(e.Data) == 0 {
		return
	}
	b, err := statemachine.DecodeBatch(e.Data)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b.Encode(), e.Data) {
		t.Fatalf("batch: read and encoded again as\n%x\nrecorded is\n%x", b.Encode(), e.Data)
	}
}

func readFrameAgain(t *testing.T, body []byte) {
	t.Helper()
	f, err := protocol.ReadFrame(bytes.NewReader(body), protocol.MaxFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	text, err := f.AppendTo(nil)
	if err != nil || !bytes.Equal(text, body) {
		t.Fatalf("frame: read and encoded again as\n%x (%v)\nrecorded is\n%x", text, err, body)
	}
	if f.Kind != protocol.KindRaft {
		return
	}
	m := &pb.Message{}
	readAgain(t, "message", m, f.Raft)
	for _, e := range m.Entries {
		readBatchAgain(t, e)
	}
	if m.GetType() == pb.MsgSnap {
		readStateAgain(t, m.Snapshot.Data)
	}
}
