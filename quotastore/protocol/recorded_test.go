package protocol

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"otterseam/quotastore/statemachine"
)

// recordedFrames are the frames whose bytes lie in testdata/recorded, as the code of commit 1895881 wrote them: stores and
// gateways of that code understand no others.
var recordedFrames = map[string]*Frame{
	"greeting": Greeting(),
	"hello":    {Kind: KindHello, Cluster: 0x1122334455667788, Life: 0xdeadbeef, Hello: &Hello{Number: 2, Life: 0xdeadbeef, Bulk: true}},
	"text":     {Kind: KindText, Cluster: 7, Life: 9, Text: "!bACAAAAGAAAAAAB"},
	"raft":     {Kind: KindRaft, Cluster: 1<<64 - 1, Life: 1<<32 - 1, Group: 255, Raft: []byte{0, 1, 2, 0xff}},
	"leads": {Kind: KindLeads, Cluster: 7, Life: 9, Leads: []Leads{
		{Group: 0, Term: 1, Index: 2, Members: []uint64{uint64(MakeID(0, 9)), uint64(MakeID(1, 10)), uint64(MakeID(2, 11))}},
		{Group: 15, Term: 1 << 40, Index: 1 << 50, Members: []uint64{uint64(MakeID(4, 1<<32-1))}},
	}},
	"asks":    Asks(recordedAsks()),
	"replies": Replies(recordedReplies()),
	"admin-who": Administer(&Admin{What: "who", Number: 1, Life: 9, Cluster: 7, Health: []Health{
		{Group: 3, Leads: true, Leader: 1, Held: true, Holders: []ID{MakeID(0, 9), MakeID(2, 5)}, Settled: true, Alive: true, Names: 12, Index: 99},
		{Group: 4, Leader: -1, Away: true},
	}}),
	"admin-found": Administer(&Admin{What: "found", Founding: &Founding{
		Cluster: 7, Members: []ID{MakeID(0, 9), MakeID(1, 10)},
		Groups: 16, Copies: 3, States: map[int][]byte{3: {1, 2, 3}},
	}}),
	"admin-save": Administer(&Admin{What: "save", Number: 2, Life: 9, Cluster: 7, States: map[int][]byte{15: {9, 8, 7}}}),
	"admin-take": Administer(&Admin{
		What: "take", Batch: 41, Number: 2, Life: 9, Cluster: 7,
		Uses: []statemachine.CustomerUsage{{Customer: "gold 0011", Units: 12.25}, {Customer: "free 0012", Units: 1e-3}},
	}),
	"admin-failed": Administer(&Admin{What: "take", Batch: 3, Number: -1, Err: "not the batch handed out last, nor the one after it"}),
}

// recordedAsks has an entry of each kind, with all that it may carry.
func recordedAsks() (all []Asked) {
	for kind := statemachine.Tick; kind <= statemachine.CollectUsage; kind++ {
		n := uint64(kind)
		all = append(all, Asked{Group: int(kind), Number: 1<<40 + n, Entry: statemachine.Command{
			Kind: kind, Session: "a01.ff.3.1", Sequence: 100 + n,
			AckedBelow: 90 + n, Key: "name-" + kind.String(), Amount: 1.5 + float64(n), TTL: 60, Holder: "edge-3.7.1", Version: 1<<33 + n,
			Reserved: 0.1, Scope: "pool-a", Clock: 1234.56789,
		}})
	}
	return append(all, Asked{Entry: statemachine.Command{Kind: statemachine.Add, Key: "bare", Amount: -2}})
}

// recordedReplies has a reply of each code, with all that it may carry.
func recordedReplies() (all []Replied) {
	for code := statemachine.Done; code <= statemachine.Invalid; code++ {
		n := float64(code)
		all = append(all, Replied{Group: int(code), Number: 77 + uint64(code), Lead: int(code) - 1, Reply: statemachine.Reply{
			Code: code, Total: 1e9 + n,
			HolderTotal: 3.25 * n, Clock: 99.125, MarkerHolder: "edge-3.7.1", Usage: []statemachine.CustomerUsage{{Customer: "gold 0011", Units: n}}, Batch: 12,
		}})
	}
	return append(all, Replied{Group: 1, Number: 5, NotLeader: true, Lead: -1}, Replied{Number: 6, Unknown: true})
}

func TestFramesAreTheRecordedBytes(t *testing.T) {
	recorded, err := filepath.Glob("testdata/recorded/*.bin")
	if err != nil || len(recorded) != len(recordedFrames) {
		t.Fatalf("%d recordings for %d frames: %v", len(recorded), len(recordedFrames), err)
	}
	for name, frame := range recordedFrames {
		t.Run(name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata/recorded", name+".bin"))
			if err != nil {
				t.Fatal(err)
			}
			got, err := frame.Append(nil)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("encoded as\n%x\nrecorded is\n%x", got, want)
			}
			r := bytes.NewReader(want)
			back, err := Read(r, Longest)
			if err != nil || r.Len() != 0 {
				t.Fatal(r.Len(), err)
			}
			if !reflect.DeepEqual(back, frame) {
				t.Errorf("the recorded bytes are read as\n%+v\nwanted is\n%+v", back, frame)
			}
		})
	}
}
