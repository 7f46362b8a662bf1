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

// singleReplicaView returns the view of a group with n as its only replica.
func singleReplicaView(n *Node) replica.View {
	only := []uint64{n.Identity}
	return replica.View{Epoch: 1, Primary: n.Identity, InSync: only, Replicas: only, MinInSync: 1}
}

// runNode runs a node and returns a function that stops it and waits until it has ended.
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
			t.Fatal("the node did not become ready as primary")
		}
		time.Sleep(time.Millisecond)
	}
}

// Run returns only after the writer has ended. Committed entries are found at the next start.
func TestRunWaitsForTheWriter(t *testing.T) {
	leakcheck.Check(t)
	dir := t.TempDir()
	n, _ := openTestNode(t, dir)
	n.SetView(testGroup, singleReplicaView(n))
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
	reopened, _ := openTestNode(t, dir)
	if got := lastIndex(reopened); got != last {
		t.Errorf("the last entry is %d after a restart, was %d", got, last)
	}
}

// Submit returns the documented error for a command that is not committed.
func TestSubmitErrors(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name    string
		prepare func(t *testing.T, n *Node)
		group   uint32
		want    codes.Code
	}{
		{"a group that is not open", func(*testing.T, *Node) {}, testGroup + 1, codes.NotPrimary},
		{"a backup", func(*testing.T, *Node) {}, testGroup, codes.NotPrimary},
		{"too many uncommitted commands", func(_ *testing.T, n *Node) { becomePrimary(n); fillPendingLog(n) }, testGroup, codes.Unavailable},
		{"the caller's context is cancelled", func(_ *testing.T, n *Node) { becomePrimary(n) }, testGroup, codes.Timeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, _ := openTestNode(t, t.TempDir())
			c.prepare(t, n)
			if _, err := n.Submit(cancelled, c.group, []byte("a")); !errors.Is(err, c.want) {
				t.Errorf("error %v, not %v", err, c.want)
			}
		})
	}
}

// The error of a node that is not the primary of a group names the primary.
func TestNotPrimaryErrorNamesThePrimary(t *testing.T) {
	const other = uint64(77)
	n, _ := openTestNode(t, t.TempDir())
	n.SetView(testGroup, replica.View{Epoch: 3, Primary: other, InSync: []uint64{other}, Replicas: []uint64{other, n.Identity}})
	for group, primary := range map[uint32]uint64{testGroup: other, testGroup + 1: 0} {
		_, err := n.Submit(context.Background(), group, []byte("a"))
		var notPrimaryErr *NotPrimaryError
		if !errors.As(err, &notPrimaryErr) || notPrimaryErr.Group != group || notPrimaryErr.Primary != primary {
			t.Errorf("group %d: error %+v", group, err)
		}
		var code codes.Code
		if !errors.As(err, &code) || code != codes.NotPrimary || err.Error() != codes.NotPrimary.Error() {
			t.Errorf("group %d: code %v, text %q", group, code, err)
		}
	}
}

// becomePrimary makes a node the primary of a group without backups and commits the first entry of the epoch.
func becomePrimary(n *Node) {
	n.SetView(testGroup, singleReplicaView(n))
	n.writeOnce(context.Background())
}

// fillPendingLog proposes commands until the group has no capacity left.
func fillPendingLog(n *Node) {
	n.WithGroup(testGroup, func(g *replica.Group) {
		for g.HasCapacity() {
			g.Propose(make([]byte, 1<<20), Now())
		}
	})
}

// DropGroup fails pending proposals and removes the group from disk.
func TestDropGroupFailsPendingProposals(t *testing.T) {
	dir := t.TempDir()
	n, _ := openTestNode(t, dir)
	becomePrimary(n)
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
	reopened, _ := openTestNode(t, dir)
	if got := lastIndex(reopened); got != 0 {
		t.Errorf("the last entry of a dropped group is %d", got)
	}
}
