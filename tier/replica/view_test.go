package replica

import "testing"

// newPrimary makes a primary that has opened its epoch on its own disk.
func newPrimary(t *testing.T, view View) (*Group, *journalMachine) {
	t.Helper()
	machine := &journalMachine{}
	g, err := NewGroup(view.Primary, machine, Snapshot{}, nil, Options{})
	if err != nil {
		t.Fatal(err)
	}
	g.SetView(view, 10)
	g.MarkDurable(g.LastIndex(), view.Epoch, 11)
	return g, machine
}

// With one tolerated loss, a primary that is in sync alone acknowledges nothing.
func TestNothingIsCommittedBelowMinInSync(t *testing.T) {
	g, machine := newPrimary(t, View{Epoch: 1, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2, 3}, MinInSync: 2})
	g.MarkDurable(g.Propose([]byte("a"), 12), 1, 13)
	if g.IsReady() || len(machine.applied) != 0 {
		t.Fatalf("ready %v, applied %v", g.IsReady(), machine.applied)
	}
}

// An in-sync set that is too small takes in a replica although nothing commits, and commits once the next view holds it.
func TestAGroupBelowMinInSyncAdmitsAnotherReplica(t *testing.T) {
	g, machine := newPrimary(t, View{Epoch: 1, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 2, 3}, MinInSync: 2})
	index := g.Propose([]byte("a"), 12)
	g.MarkDurable(index, 1, 13)
	g.Step(3, Message{Kind: MessageAck, Epoch: 1, Index: index}, 14)
	if got := g.CaughtUp(15); len(got) != 1 || got[0] != 3 {
		t.Fatalf("caught up: %v", got)
	}
	g.Admit(3)
	if len(machine.applied) != 0 {
		t.Fatal("committed while the in-sync set in force has one replica: its loss would leave none that may lead")
	}
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1, 3}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}, 16)
	if !g.IsReady() || len(machine.applied) != 1 {
		t.Fatalf("ready %v, applied %v", g.IsReady(), machine.applied)
	}
}

// A primary whose in-sync set falls below its copies in the same reign holds what comes then.
func TestAShrunkenInSyncSetHoldsCommands(t *testing.T) {
	g, machine := newPrimary(t, View{Epoch: 1, Primary: 1, InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}, MinInSync: 2})
	g.Step(2, Message{Kind: MessageAck, Epoch: 1, Index: 1}, 12)
	if !g.IsReady() {
		t.Fatal("not ready with two copies")
	}
	g.SetView(View{Epoch: 2, Primary: 1, InSync: []uint64{1}, Replicas: []uint64{1, 3}, MinInSync: 2}, 13)
	g.MarkDurable(g.Propose([]byte("a"), 14), 2, 15)
	if len(machine.applied) != 0 {
		t.Fatalf("applied %v on one copy", machine.applied)
	}
}

func TestMinInSyncFitsTheGroup(t *testing.T) {
	cases := []struct{ tolerate, replicas, want int }{{0, 3, 1}, {1, 1, 1}, {1, 2, 2}, {1, 3, 2}, {2, 5, 3}, {2, 2, 2}, {1, 0, 1}}
	for _, c := range cases {
		if got := MinInSync(c.tolerate, c.replicas); got != c.want {
			t.Errorf("tolerate %d with %d replicas: %d copies, not %d", c.tolerate, c.replicas, got, c.want)
		}
	}
}

// A replica that ends is waited for only where another one is on its way in.
func TestALeavingReplicaWaitsForOneThatCatchesUp(t *testing.T) {
	cases := []struct {
		name string
		view View
		want bool
	}{
		{"enough others", View{InSync: []uint64{1, 2, 3}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}, false},
		{"one is being filled", View{InSync: []uint64{1, 2}, Replicas: []uint64{1, 2, 3}, MinInSync: 2}, true},
		{"nobody could be filled", View{InSync: []uint64{1, 2}, Replicas: []uint64{1, 2}, MinInSync: 2}, false},
		{"it is not in sync", View{InSync: []uint64{2}, Replicas: []uint64{1, 2}, MinInSync: 2}, false},
	}
	for _, c := range cases {
		if got := c.view.WouldUnderReplicate(1); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
