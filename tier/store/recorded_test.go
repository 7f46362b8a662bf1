package store

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/internal/recorded"
	"otterseam/tier/limits"
	"otterseam/tier/multigroup"
	"otterseam/tier/programs"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/storage"
	"otterseam/tier/timeline"
)

const recordedShard = 37

// newPrimaryStore returns a store that is primary of one shard, which retains the result of one turn.
func newPrimaryStore(ctx context.Context, t *testing.T) *Server {
	t.Helper()
	dir := t.TempDir()
	state := programs.NewState()
	state.Apply(1, programs.End{
		Now: time.Now().UnixMilli(), Request: "request-2", Program: "program-a", Session: "session-1", Actual: 10, Retain: true,
		RetentionMS: 600_000, Input: []byte("input 2"), Output: []byte("output 2\n"), Host: "host-7",
	}.Encode())
	journal, _, err := storage.OpenJournal(filepath.Join(dir, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	snapshot := storage.Record{Kind: storage.RecordSnapshot, Group: recordedShard, Index: 1, Epoch: 1, Data: state.Snapshot()}
	if err := journal.Append([]storage.Record{snapshot}); err != nil {
		t.Fatal(err)
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	logger, _ := test.NewNullLogger()
	log := logrus.NewEntry(logger)
	host, err := multigroup.Open(dir, rpc.NewClients(nil), log, false)
	if err != nil {
		t.Fatal(err)
	}
	processLimits := limits.Of(&settings.Settings{})
	s := &Server{
		node: host, log: log, timeline: timeline.New(log), commands: newCommandBudget(processLimits.CommandBytes(), 1), answers: newCommandBudget(processLimits.CommandBytes(), 1), turns: newTurnAdmission(processLimits),
	}
	s.openShard(recordedShard)
	go host.Run(ctx)
	only := []uint64{host.Identity}
	host.SetView(recordedShard, replica.View{Epoch: 2, Primary: host.Identity, InSync: only, Replicas: only, MinInSync: 1})
	for !host.IsPrimary(recordedShard) {
		if ctx.Err() != nil {
			t.Fatal("the shard did not become ready")
		}
		time.Sleep(time.Millisecond)
	}
	return s
}

// A store decodes the recorded call of a gateway. Its answer is the recorded one followed by the ChainTTL, which depends on the clock and
// which gateways of older versions don't read.
func TestRecordedProgramCall(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go rpc.Serve(listener, newPrimaryStore(ctx, t).handle)
	client := rpc.NewClient(listener.Addr().String(), nil)
	defer client.Close()
	answer, err := client.Call(ctx, KindProgram, recorded.Read(t, "program-call"))
	if err != nil {
		t.Fatal(err)
	}
	result, err := programs.DecodeResult(answer)
	if err != nil || result.ChainTTL <= 600_000 || result.ChainTTL > 610_001 {
		t.Fatalf("a retention of 600 s and 10 s of clock skew: ChainTTL %d, %v", result.ChainTTL, err)
	}
	older := recorded.Read(t, "program-answer")
	recorded.Check(t, "program-answer", answer[:min(len(older), len(answer))])
	result.ChainTTL = 609_915
	recorded.Check(t, "program-answer-chain-ttl", result.Encode())
	if encoded := recorded.Read(t, "program-answer-chain-ttl"); len(answer) != len(encoded) {
		t.Fatalf("the answer has %d bytes, the recorded one %d", len(answer), len(encoded))
	}
}

// Stores of different builds tell each other what they hold.
func TestRecordedRetainedUsage(t *testing.T) {
	usage := RetainedUsage{Store: 0x0102030405060708, Bytes: 35 << 20}
	recorded.CheckBoth(t, "retained-usage", usage, RetainedUsage.Encode, DecodeRetainedUsage)
	if KindRetainedUsage != 44 {
		t.Errorf("the kind of the message is %d", KindRetainedUsage)
	}
}
