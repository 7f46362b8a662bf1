package state

import (
	"bytes"
	"fmt"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// Ids of hosts that deregistered are bounded; the newest are known, also by a replica that was restored in between.
func TestIDsOfGoneHostsAreBounded(t *testing.T) {
	const hosts = 3*departedKept + 100
	l, copied := newLog(), New()
	apply := func(c Command) {
		l.apply(c)
		copied.Apply(l.index, c.Encode())
	}
	for i := range hosts {
		id := fmt.Sprint("host-", i)
		apply(heartbeat(id, false, 1))
		apply(RemoveHost{ID: id, Deregistered: true})
		if i == hosts/2 {
			snapshot := l.state.Snapshot()
			copied = New()
			if err := copied.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
		}
	}
	if known := len(l.state.hosts); known > departedKept+departedSlack {
		t.Fatalf("%d ids are known", known)
	}
	if !bytes.Equal(l.state.Snapshot(), copied.Snapshot()) {
		t.Fatal("a restored replica forgot others")
	}
	for i := hosts - departedKept; i < hosts; i++ {
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

// A machine that comes under the name of one that was retired and left is not emptied; one that is still there, or comes back with
// the disk that was retired, is.
func TestARetiredNameMayComeAgain(t *testing.T) {
	l := newLog()
	l.putStore(1, "a")
	l.putStore(2, "b")
	l.apply(RetireNode{Node: "a", Needed: 1})
	l.putStore(3, "a") // it lost its disk while it is being emptied
	l.removeStore(1, "a")
	if !l.state.IsRetiring("a") {
		t.Fatal("a machine with an emptied disk is no longer retired")
	}
	l.removeStore(3, "a")
	if !l.state.IsRetiring("a") {
		t.Fatal("whoever asks late is not answered")
	}
	l.putStore(3, "a")
	if !l.state.IsRetiring("a") {
		t.Fatal("the retired disk came back and is not retired")
	}
	l.removeStore(3, "a")
	l.putStore(4, "a")
	if l.state.IsRetiring("a") {
		t.Fatal("another machine of the name is retired")
	}
}

// Retirements of machines that have left are bounded.
func TestRetirementsAreBounded(t *testing.T) {
	l := newLog()
	l.putStore(1, "stays")
	for i := range uint64(1000) {
		node := fmt.Sprint("node-", i)
		l.putStore(10+i, node)
		if got := l.apply(RetireNode{Node: node, Needed: 1}).Code; got != codes.OK {
			t.Fatal(got)
		}
		l.removeStore(10+i, node)
	}
	if held := len(l.state.View.All(feed.SectionRetirement)); held != retirementsKept {
		t.Fatalf("%d retirements are known", held)
	}
}
