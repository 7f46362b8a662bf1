package multigroup

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// bulkMachine is a state machine with a state of a given size. It counts commands.
type bulkMachine struct {
	state   []byte
	applied atomic.Int64
}

func (m *bulkMachine) Apply(uint64, []byte) any { return m.applied.Add(1) }
func (m *bulkMachine) Snapshot() []byte         { return append([]byte(nil), m.state...) }

func (m *bulkMachine) Restore(state []byte) error {
	m.state = state
	return nil
}

// benchNode is a node with one group that uses real sockets and files.
type benchNode struct {
	node    *Node
	machine *bulkMachine
	address string
}

func startBenchNode(b *testing.B, ctx context.Context, stateBytes int) *benchNode {
	b.Helper()
	logger, _ := test.NewNullLogger()
	node, err := Open(b.TempDir(), rpc.NewClients(nil), logrus.NewEntry(logger), true)
	if err != nil {
		b.Fatal(err)
	}
	machine := &bulkMachine{state: make([]byte, stateBytes)}
	if err := node.OpenGroup(testGroup, machine, replica.Options{EagerCommit: true, RetainedBytes: 8 << 20}); err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	handle := func(m rpc.Message) { node.HandleMessage(m.Payload, nil) }
	go rpc.Serve(listener, handle)
	go node.Run(ctx)
	return &benchNode{node: node, machine: machine, address: listener.Addr().String()}
}

// makePrimary makes a node the primary of a group whose backups are not in sync yet.
func makePrimary(primary *benchNode, backups ...*benchNode) {
	view := replica.View{Epoch: 1, Primary: primary.node.Identity, InSync: []uint64{primary.node.Identity}, Replicas: []uint64{primary.node.Identity}}
	for _, backup := range backups {
		view.Replicas = append(view.Replicas, backup.node.Identity)
		primary.node.SetAddress(backup.node.Identity, backup.address)
		backup.node.SetAddress(primary.node.Identity, primary.address)
	}
	primary.node.SetView(testGroup, view)
}

func hasCaughtUpBackup(primary *benchNode) bool {
	found := false
	primary.node.WithGroup(testGroup, func(g *replica.Group) { found = len(g.CaughtUp(Now())) > 0 })
	return found
}

// submitUntil submits commands one after the other until a condition holds, and returns how many it submitted.
func submitUntil(b *testing.B, ctx context.Context, primary *benchNode, command []byte, done func() bool) int {
	b.Helper()
	count := 0
	for !done() {
		if _, err := primary.node.Submit(ctx, testGroup, command); err != nil {
			b.Fatal(err)
		}
		count++
	}
	return count
}

// trimLog submits commands until the primary has trimmed its first log entries, so that an empty backup needs a snapshot.
func trimLog(b *testing.B, ctx context.Context, primary *benchNode) {
	b.Helper()
	ready := func() bool { return primary.node.IsPrimary(testGroup) }
	for !ready() {
		if ctx.Err() != nil {
			b.Fatal("the primary did not become ready")
		}
	}
	submitUntil(b, ctx, primary, make([]byte, 64<<10), func() bool { return primary.machine.applied.Load() > 300 })
}

// BenchmarkCatchingUpBySize measures how long an empty backup takes to catch up, by the size of the state, on real sockets and files.
func BenchmarkCatchingUpBySize(b *testing.B) {
	for _, megabytes := range []int{1, 10, 50} {
		b.Run(fmt.Sprint(megabytes, "MB"), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				ctx, cancel := context.WithCancel(context.Background())
				primary := startBenchNode(b, ctx, megabytes<<20)
				makePrimary(primary)
				trimLog(b, ctx, primary)
				backup := startBenchNode(b, ctx, 0)
				b.StartTimer()
				view := replica.View{
					Epoch: 2, Primary: primary.node.Identity, InSync: []uint64{primary.node.Identity},
					Replicas: []uint64{primary.node.Identity, backup.node.Identity},
				}
				primary.node.SetAddress(backup.node.Identity, backup.address)
				backup.node.SetAddress(primary.node.Identity, primary.address)
				primary.node.SetView(testGroup, view)
				submitUntil(b, ctx, primary, []byte("a"), func() bool { return hasCaughtUpBackup(primary) })
				b.StopTimer()
				cancel()
				b.StartTimer()
			}
		})
	}
}

// BenchmarkChangesDuringATransfer measures the rate of sequential 1 KB commands, without a backup and while a backup is sent a
// snapshot of 50 MB.
func BenchmarkChangesDuringATransfer(b *testing.B) {
	for _, transfers := range []bool{false, true} {
		b.Run(fmt.Sprint("transfer=", transfers), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			primary := startBenchNode(b, ctx, 50<<20)
			makePrimary(primary)
			trimLog(b, ctx, primary)
			changes, spent := 0, time.Duration(0)
			epoch := uint64(2)
			for b.Loop() {
				limit := time.Now().Add(300 * time.Millisecond)
				done := func() bool { return time.Now().After(limit) }
				if transfers {
					backup := startBenchNode(b, ctx, 0)
					primary.node.SetAddress(backup.node.Identity, backup.address)
					backup.node.SetAddress(primary.node.Identity, primary.address)
					primary.node.SetView(testGroup, replica.View{
						Epoch: epoch, Primary: primary.node.Identity, InSync: []uint64{primary.node.Identity},
						Replicas: []uint64{primary.node.Identity, backup.node.Identity},
					})
					epoch++
					done = func() bool { return hasCaughtUpBackup(primary) }
				}
				start := time.Now()
				changes += submitUntil(b, ctx, primary, make([]byte, 1<<10), done)
				spent += time.Since(start)
			}
			b.ReportMetric(float64(changes)/spent.Seconds(), "changes/s")
		})
	}
}
