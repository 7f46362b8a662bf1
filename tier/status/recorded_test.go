package status

import (
	"context"
	"net"
	"reflect"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

// serveRecorded starts a server that answers calls of one kind with recorded bytes, and returns its address.
func serveRecorded(t *testing.T, kind rpc.Kind, name string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	content := recorded.Read(t, name)
	go rpc.Serve(listener, func(m rpc.Message) {
		if m.Kind != kind || len(m.Payload) > 0 {
			t.Errorf("received a call of kind %d with payload %q", m.Kind, m.Payload)
		}
		m.Answer(codes.OK, content)
	})
	return listener.Addr().String()
}

// Decodes the recorded answer of a control process. A test of package control checks that control sends the same bytes.
func TestRecordedLocate(t *testing.T) {
	want := consensus.Record{
		Epoch: 0x0102030405060708, Primary: 0x1111111111111111, InSync: []uint64{0x1111111111111111, 0x2222222222222222},
		Members: []consensus.Member{
			{ID: 0x1111111111111111, Address: "10.0.0.1:7401", Node: "ctl-a"},
			{ID: 0x2222222222222222, Address: "10.0.0.2:7402", Node: "ctl-b"},
			{ID: 0x3333333333333333, Address: "10.0.0.3:7403", Node: "ctl-c"},
		},
		Previous:  []consensus.Member{{ID: 0x4444444444444444, Address: "10.0.0.4:7404", Node: "ctl-d"}},
		MinInSync: 2, Learners: []consensus.Member{{ID: 0x5555555555555555, Address: "10.0.0.5:7405", Node: "ctl-e"}},
		ClusterID: 0xfedcba9876543210,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	address := serveRecorded(t, controlclient.KindLocate, "locate-answer")
	if got := NewestRecord(ctx, []string{address}); !reflect.DeepEqual(got, want) {
		t.Fatalf("read %+v", got)
	}
}

// Decodes the recorded timeline of a process. A test of package timeline checks that a process sends the same bytes.
func TestRecordedTimeline(t *testing.T) {
	address := serveRecorded(t, timeline.KindTimeline, "timeline")
	got := readRecovery(context.Background(), []string{address})
	want := []Recovery{{address, map[string]int64{
		"process-up": 0, "disk-read": 74, "majority-contacted": 185, "primary-decided": 333, "primary-ready": 518, "view-received": 740,
		"shard-led": 999, "first-begin-committed": 1295, "first-request-sent": 1628,
	}}}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("read %+v", got)
	}
}
