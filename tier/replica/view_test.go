package replica

import "testing"

// newPrimary returns a primary whose entry that opens the epoch is durable on its own disk.
func newPrimary(t *testing.T, view View) (*Group, *historyMachine) {
	t.Helper()
	machine := &historyMachine{}
	g, err := NewGroup(view.Primary, machine, Snapshot{}, nil, Options{})
	if err != nil {
		t.Fatal(err)
	}
	g.SetView(view, 10)
	g.MarkDurable(g.LastIndex(), view.Epoch, 11)
	return g, machine
}

// With MinInSync 2, a primary that is the only in-sync replica commits nothing.
func TestNothingIsCommittedBelowMinInSync(t *testing.T) {
	g, machine := newPrimary(t, View{Epoch: 1, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2, 3}, MinInSync: 2})
	g.MarkDurable(g.Propose([]byte("a"), 12), 1, 13)
	if g.IsReady() || len(machine.applied) != 0 {
		t.Fatalf("ready %v, applied %v", g.IsReady(), machine.applied)
	}
}

// An in-sync set below the minimum can admit a replica although nothing is committed. Commits resume once a view has that replica
// in sync.
func TestGroupBelowMinInSyncAdmitsAnotherReplica(t *testing.T) {
	g, machine := newPrimary(t, View{Epoch: 1, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2, 3}, MinInSync: 2})
	index := g.Propose([]byte("a"), 12)
	g.MarkDurable(index, 1, 13)
	g.Step(3, Message{Kind: MessageAck, Epoch: 1, Index: index}, 14)
	if got := g.CaughtUp(15); len(got) != 1 || got[0] != 3 {
		t.Fatalf("caught up: %v", got)
	}
	g.Admit(3)
	if len(machine.applied) != 0 {
		t.Fatal("committed while the in-sync set has one replica: its loss would leave none that may become primary")
	}
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1, 3}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}, 16)
	if !g.IsReady() || len(machine.applied) != 1 {
		t.Fatalf("ready %v, applied %v", g.IsReady(), machine.applied)
	}
}

// A primary whose in-sync set falls below the minimum while it stays primary doesn't commit further commands.
func TestShrunkenInSyncSetStopsCommits(t *testing.T) {
	g, machine := newPrimary(t, View{Epoch: 1, Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}, MinInSync: 2})
	g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: 1}, 12)
	if !g.IsReady() {
		t.Fatal("not ready with two in-sync replicas")
	}
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 3}, MinInSync: 2}, 13)
	g.MarkDurable(g.Propose([]byte("a"), 14), 2, 15)
	if len(machine.applied) != 0 {
		t.Fatalf("applied %v with one in-sync replica", machine.applied)
	}
}

func TestMinInSyncFitsTheGroup(t *testing.T) {
	cases := []struct{ tolerate, replicas, want int }{{0, 3, 1}, {1, 1, 1}, {1, 2, 2}, {1, 3, 2}, {2, 5, 3}, {2, 2, 2}, {1, 0, 1}}
	for _, c := range cases {
		if got := MinInSync(c.tolerate, c.replicas); got != c.want {
			t.Errorf("tolerate %d with %d replicas: minimum %d, not %d", c.tolerate, c.replicas, got, c.want)
		}
	}
}

// A replica that shuts down must wait only if another replica is catching up to replace it.
func TestLeavingReplicaWaitsForReplicaThatCatchesUp(t *testing.T) {
	cases := []struct {
		name string
		view View
		want bool
	}{
		{"enough others", View{InSync: []uint64{1, 2, 3}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}, false},
		{"one is catching up", View{InSync: []uint64{1, 2}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}, true},
		{"none could catch up", View{InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}, MinInSync: 2}, false},
		{"it is not in sync", View{InSync: []uint64{2}, Replicas: []uint64{1, 2}, MinInSync: 2}, false},
	}
	for _, c := range cases {
		if got := c.view.WouldUnderReplicate(1); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
