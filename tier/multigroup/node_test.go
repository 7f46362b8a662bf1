package multigroup

import (
	"context"
	"errors"
	"testing"
	"time"

	"otterseam/harness/leakcheck"
	"otterseam/tier/codes"
	"otterseam/tier/replica"
)

// alone is the view of a group that has one replica.
func alone(n *Node) replica.View {
	only := []uint64{n.Identity}
	return replica.View{Epoch: 1, Primary: n.Identity, InSync: only, Replicas: only, MinInSync: 1}
}

// runNode runs a node and returns what ends it and waits for it.
func runNode(n *Node) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func waitReady(t *testing.T, n *Node) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !n.IsPrimary(testGroup); {
		if time.Now().After(deadline) {
			t.Fatal("never ready")
		}
		time.Sleep(time.Millisecond)
	}
}

// Run returns when the writer has ended too; what was committed is found at the next start.
func TestRunWaitsForTheWriter(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	n, _ := openTestNode(t, dir)
	n.SetView(testGroup, alone(n))
	stop := runNode(n)
	waitReady(t, n)
	if _, err := n.Submit(context.Background(), testGroup, []byte("a")); err != nil {
		t.Fatal(err)
	}
	last := lastIndex(n)
	stop()
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	again, _ := openTestNode(t, dir)
	if got := lastIndex(again); got != last {
		t.Errorf("the last entry is %d after a restart, was %d", got, last)
	}
}

// What a caller of Submit is told of a command that is not committed.
func TestSubmitTellsWhyNothingIsCommitted(t *testing.T) {
	closed, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name    string
		prepare func(t *testing.T, n *Node)
		group   uint32
		want    codes.Code
	}{
		{"a group that is not open", func(*testing.T, *Node) {}, testGroup + 1, codes.NotPrimary},
		{"a backup", func(*testing.T, *Node) {}, testGroup, codes.NotPrimary},
		{"too much is not committed", func(_ *testing.T, n *Node) { leadAlone(n); fill(n) }, testGroup, codes.Unavailable},
		{"the caller waits no longer", func(_ *testing.T, n *Node) { leadAlone(n) }, testGroup, codes.Timeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, _ := openTestNode(t, t.TempDir())
			c.prepare(t, n)
			if _, err := n.Submit(closed, c.group, []byte("a")); !errors.Is(err, c.want) {
				t.Errorf("error %v, not %v", err, c.want)
			}
		})
	}
}

// A node that does not lead a group says who does.
func TestNotPrimaryErrorNamesThePrimary(t *testing.T) {
	const other = uint64(77)
	n, _ := openTestNode(t, t.TempDir())
	n.SetView(testGroup, replica.View{Epoch: 3, Primary: other, InSync: []uint64{other}, Replicas: []uint64{other, n.Identity}})
	for group, primary := range map[uint32]uint64{testGroup: other, testGroup + 1: 0} {
		_, err := n.Submit(context.Background(), group, []byte("a"))
		var refused *NotPrimaryError
		if !errors.As(err, &refused) || refused.Group != group || refused.Primary != primary {
			t.Errorf("group %d: error %+v", group, err)
		}
		var code codes.Code
		if !errors.As(err, &code) || code != codes.NotPrimary || err.Error() != codes.NotPrimary.Error() {
			t.Errorf("group %d: code %v, text %q", group, code, err)
		}
	}
}

// leadAlone makes a node the primary of its own group, with the entry that opens the epoch committed.
func leadAlone(n *Node) {
	n.SetView(testGroup, alone(n))
	n.writeOnce(context.Background())
}

// fill proposes commands until no more are taken.
func fill(n *Node) {
	n.WithGroup(testGroup, func(g *replica.Group) {
		for g.HasCapacity() {
			g.Propose(make([]byte, 1<<20), Now())
		}
	})
}

// A group that is dropped fails those who wait, and is not found on disk any more.
func TestADroppedGroupFailsItsProposals(t *testing.T) {
	dir := t.TempDir()
	n, _ := openTestNode(t, dir)
	leadAlone(n)
	failed := make(chan error)
	go func() {
		_, err := n.Submit(context.Background(), testGroup, []byte("a"))
		failed <- err
	}()
	for lastIndex(n) < 2 {
		time.Sleep(time.Millisecond)
	}
	n.DropGroup(testGroup)
	if err := <-failed; !errors.Is(err, codes.Timeout) {
		t.Errorf("error %v", err)
	}
	n.writeOnce(context.Background())
	again, _ := openTestNode(t, dir)
	if got := lastIndex(again); got != 0 {
		t.Errorf("the last entry of a dropped group is %d", got)
	}
}
