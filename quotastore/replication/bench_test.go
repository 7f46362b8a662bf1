package replication

import (
	"testing"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// benchCluster simulates three servers with one group and a network without latency.
type benchCluster struct {
	now   float64
	nodes []*Node
}

func newBenchCluster(b *testing.B) *benchCluster {
	b.Helper()
	config := Config{Groups: 1, Replicas: 3, MaxLogEntries: 4096, SnapshotRate: 1e6, ReplaceAfter: 5}
	bootstrap := &protocol.Bootstrap{Cluster: 5, Groups: config.Groups, Replicas: config.Replicas}
	x := &benchCluster{}
	for i := range 3 {
		n, err := New(i, testIncarnation, 0, peers(3, 3), config, uint64(i+1), nil)
		if err != nil {
			b.Fatal(err)
		}
		x.nodes = append(x.nodes, n)
		bootstrap.Members = append(bootstrap.Members, protocol.NewReplicaID(i, testIncarnation))
	}
	for _, n := range x.nodes {
		if _, err := n.Bootstrap(0, bootstrap); err != nil {
			b.Fatal(err)
		}
	}
	for range 100 {
		x.tick()
	}
	return x
}

// settle delivers messages until there are none left.
func (x *benchCluster) settle() {
	for busy := true; busy; {
		busy = false
		for _, n := range x.nodes {
			for ready := n.Ready(); ready != nil; ready = n.Ready() {
				n.Advance(ready)
			}
		}
		for i, n := range x.nodes {
			for _, m := range n.TakeMessages() {
				busy = true
				x.nodes[m.To].Receive(x.now, i, m.Frame)
			}
		}
	}
}

func (x *benchCluster) tick() {
	x.now += tickInterval
	for _, n := range x.nodes {
		n.Tick(x.now)
	}
	x.settle()
}

// add submits an add, and reports whether it was answered within 40 ticks.
func (x *benchCluster) add(server int) bool {
	answered := false
	add := statemachine.Command{Kind: statemachine.Add, Key: "n", Amount: 1, TTL: 60}
	x.nodes[server].Submit(0, add, func(outcome Outcome, _ statemachine.Reply) { answered = outcome == Answered })
	x.settle()
	for range 40 {
		if answered {
			break
		}
		x.tick()
	}
	return answered
}

// BenchmarkCommit submits adds at each of three servers in turn, and waits for the reply to each.
func BenchmarkCommit(b *testing.B) {
	x := newBenchCluster(b)
	i := 0
	for b.Loop() {
		if i++; i%50 == 0 {
			x.tick()
		}
		if !x.add(i % 3) {
			b.Fatal("an add was not answered")
		}
	}
}
