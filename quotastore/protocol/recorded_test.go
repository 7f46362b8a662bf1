package protocol

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"otterseam/quotastore/statemachine"
)

// recordedFrames are the frames whose bytes are in testdata/recorded, by the name of the file. The code of commit 1895881 wrote
// them. Stores and gateways that run that code can decode no other encoding.
var recordedFrames = map[string]*Frame{
	"greeting": ClientHello(),
	"hello":    {Kind: KindHello, Cluster: 0x1122334455667788, Incarnation: 0xdeadbeef, Hello: &Hello{Sender: 2, Incarnation: 0xdeadbeef, Bulk: true}},
	"text":     {Kind: KindMembership, Cluster: 7, Incarnation: 9, Membership: "!bACAAAAGAAAAAAB"},
	"raft":     {Kind: KindRaft, Cluster: 1<<64 - 1, Incarnation: 1<<32 - 1, Group: 255, Raft: []byte{0, 1, 2, 0xff}},
	"leads": {Kind: KindLeaders, Cluster: 7, Incarnation: 9, Leaders: []LeaderAnnouncement{
		{Group: 0, Term: 1, Index: 2, Members: []uint64{uint64(NewReplicaID(0, 9)), uint64(NewReplicaID(1, 10)), uint64(NewReplicaID(2, 11))}},
		{Group: 15, Term: 1 << 40, Index: 1 << 50, Members: []uint64{uint64(NewReplicaID(4, 1<<32-1))}},
	}},
	"asks":    RequestsFrame(recordedRequests()),
	"replies": ResponsesFrame(recordedResponses()),
	"admin-who": AdminFrame(&Admin{Operation: "who", Replica: 1, Incarnation: 9, Cluster: 7, Health: []GroupHealth{
		{Group: 3, IsLeader: true, Leader: 1, HasReplica: true, Replicas: []ReplicaID{NewReplicaID(0, 9), NewReplicaID(2, 5)}, Stable: true, AllInSync: true, Counters: 12, AppliedIndex: 99},
		{Group: 4, Leader: -1, Unavailable: true},
	}}),
	"admin-found": AdminFrame(&Admin{Operation: "found", Bootstrap: &Bootstrap{
		Cluster: 7, Members: []ReplicaID{NewReplicaID(0, 9), NewReplicaID(1, 10)},
		Groups: 16, Replicas: 3, Snapshots: map[int][]byte{3: {1, 2, 3}},
	}}),
	"admin-save": AdminFrame(&Admin{Operation: "save", Replica: 2, Incarnation: 9, Cluster: 7, Snapshots: map[int][]byte{15: {9, 8, 7}}}),
	"admin-take": AdminFrame(&Admin{
		Operation: "take", Batch: 41, Replica: 2, Incarnation: 9, Cluster: 7,
		Usage: []statemachine.CustomerUsage{{Customer: "gold 0011", Units: 12.25}, {Customer: "free 0012", Units: 1e-3}},
	}),
	"admin-failed": AdminFrame(&Admin{Operation: "take", Batch: 3, Replica: -1, Failure: "not the batch handed out last, nor the one after it"}),
}

// recordedRequests returns a request with each kind of command and all fields set, and one with few fields.
func recordedRequests() (all []Request) {
	for kind := statemachine.Tick; kind <= statemachine.CollectUsage; kind++ {
		n := uint64(kind)
		all = append(all, Request{Group: int(kind), ID: 1<<40 + n, Command: statemachine.Command{
			Kind: kind, Session: "a01.ff.3.1", Sequence: 100 + n,
			AckedBelow: 90 + n, Key: "name-" + kind.String(), Amount: 1.5 + float64(n), TTL: 60, Holder: "edge-3.7.1", Version: 1<<33 + n,
			Reserved: 0.1, Scope: "pool-a", Clock: 1234.56789,
		}})
	}
	return append(all, Request{Command: statemachine.Command{Kind: statemachine.Add, Key: "bare", Amount: -2}})
}

// recordedResponses returns a response with each code and all fields of the reply set, and two responses without a reply.
func recordedResponses() (all []Response) {
	for code := statemachine.Done; code <= statemachine.Invalid; code++ {
		n := float64(code)
		all = append(all, Response{Group: int(code), RequestID: 77 + uint64(code), Leader: int(code) - 1, Reply: statemachine.Reply{
			Code: code, Total: 1e9 + n,
			HolderTotal: 3.25 * n, Clock: 99.125, MarkerHolder: "edge-3.7.1", Usage: []statemachine.CustomerUsage{{Customer: "gold 0011", Units: n}}, Batch: 12,
		}})
	}
	return append(all, Response{Group: 1, RequestID: 5, NotLeader: true, Leader: -1}, Response{RequestID: 6, Unknown: true})
}

func TestFramesMatchRecordedBytes(t *testing.T) {
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
			got, err := frame.AppendTo(nil)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("encoded as\n%x\nwant the recorded bytes\n%x", got, want)
			}
			r := bytes.NewReader(want)
			decoded, err := ReadFrame(r, MaxFrameBytes)
			if err != nil || r.Len() != 0 {
				t.Fatal(r.Len(), err)
			}
			if !reflect.DeepEqual(decoded, frame) {
				t.Errorf("the recorded bytes decode to\n%+v\nwant\n%+v", decoded, frame)
			}
		})
	}
}
