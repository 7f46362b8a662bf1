package replication

import (
	"testing"

	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// trio is three servers of one group whose messages take no time.
type trio struct {
	now   float64
	nodes []*Node
}

func newTrio(b *testing.B) *trio {
	b.Helper()
	config := Config{Groups: 1, Replicas: 3, MaxLogEntries: 4096, SnapshotRate: 1e6, ReplaceAfter: 5}
	bootstrap := &protocol.Bootstrap{Cluster: 5, Groups: config.Groups, Replicas: config.Replicas}
	x := &trio{}
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

// settle passes messages on until there are none.
func (x *trio) settle() {
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

func (x *trio) tick() {
	x.now += tickInterval
	for _, n := range x.nodes {
		n.Tick(x.now)
	}
	x.settle()
}

// add adds to a counter, and reports whether it was answered within a second.
func (x *trio) add(server int) bool {
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

// An add that is submitted at one of three servers in turn, and answered.
func BenchmarkCommit(b *testing.B) {
	x := newTrio(b)
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
