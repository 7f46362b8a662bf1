package state

import (
	"bytes"
	"fmt"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// The number of retained IDs of deregistered hosts is bounded. The newest IDs are retained, and a replica that was restored in between
// retains the same ones.
func TestDeregisteredHostIDsAreBounded(t *testing.T) {
	const hosts = 3*maxDeregistered + 100
	l, replica := newCommandLog(), New()
	apply := func(c Command) {
		l.apply(c)
		replica.Apply(l.index, c.Encode())
	}
	for i := range hosts {
		id := fmt.Sprint("host-", i)
		apply(heartbeat(id, false, 1))
		apply(RemoveHost{ID: id, Deregistered: true})
		if i == hosts/2 {
			snapshot := l.state.Snapshot()
			replica = New()
			if err := replica.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
		}
	}
	if retained := len(l.state.hosts); retained > maxDeregistered+deregisteredSlack {
		t.Fatalf("%d IDs are retained", retained)
	}
	if !bytes.Equal(l.state.Snapshot(), replica.Snapshot()) {
		t.Fatal("a restored replica retains other IDs")
	}
	for i := hosts - maxDeregistered; i < hosts; i++ {
		if got := l.apply(heartbeat(fmt.Sprint("host-", i), false, 2)).Code; got != codes.HostStale {
			t.Fatalf("a late heartbeat of host %d: %v", i, got)
		}
	}
}

func (l *commandLog) putStore(identity uint64, node string) {
	l.apply(PutStore{Store: directory.Store{Identity: identity, Node: node}})
}

func (l *commandLog) removeStore(identity uint64, node string) {
	l.apply(RemoveStore{Store: directory.Store{Identity: identity, Node: node}})
}

// The retirement of a machine does not apply to a new machine that later registers under its name. It applies to the same machine
// with another disk, and to a machine that returns with a retired disk.
func TestRetiredNodeNameMayBeReused(t *testing.T) {
	l := newCommandLog()
	l.putStore(1, "a")
	l.putStore(2, "b")
	l.apply(RetireNode{Node: "a", Needed: 1})
	l.putStore(3, "a") // the machine lost its disk during the retirement
	l.removeStore(1, "a")
	if !l.state.IsRetiring("a") {
		t.Fatal("a machine that registered another disk is no longer retiring")
	}
	l.removeStore(3, "a")
	if !l.state.IsRetiring("a") {
		t.Fatal("the retirement is not retained after the machine was removed")
	}
	l.putStore(3, "a")
	if !l.state.IsRetiring("a") {
		t.Fatal("the machine returned with a retired disk and is not retiring")
	}
	l.removeStore(3, "a")
	l.putStore(4, "a")
	if l.state.IsRetiring("a") {
		t.Fatal("a new machine with the same name is retiring")
	}
}

// The number of retained retirements of removed machines is bounded.
func TestRetirementsAreBounded(t *testing.T) {
	l := newCommandLog()
	l.putStore(1, "stays")
	for i := range uint64(1000) {
		node := fmt.Sprint("node-", i)
		l.putStore(10+i, node)
		if got := l.apply(RetireNode{Node: node, Needed: 1}).Code; got != codes.OK {
			t.Fatal(got)
		}
		l.removeStore(10+i, node)
	}
	if retained := len(l.state.View.All(feed.SectionRetirement)); retained != maxRetainedRetirements {
		t.Fatalf("%d retirements are retained", retained)
	}
}
