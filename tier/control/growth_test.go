package control

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
	const hosts = 3*goneKept + 100
	l, copied := newLog(), NewState()
	apply := func(c Command) {
		l.apply(c)
		copied.Apply(l.index, c.Encode())
	}
	for i := range hosts {
		id := fmt.Sprint("host-", i)
		apply(beat(id, "a:1", false, 1))
		apply(Command{Kind: CommandRemoveHost, Key: id, Final: true})
		if i == hosts/2 {
			snapshot := l.state.Snapshot()
			copied = NewState()
			if err := copied.Restore(snapshot); err != nil {
				t.Fatal(err)
			}
		}
	}
	if known := len(l.state.hosts); known > goneKept+goneSlack {
		t.Fatalf("%d ids are known", known)
	}
	if !bytes.Equal(l.state.Snapshot(), copied.Snapshot()) {
		t.Fatal("a restored replica forgot others")
	}
	for i := hosts - goneKept; i < hosts; i++ {
		if got := l.apply(beat(fmt.Sprint("host-", i), "a:1", false, 2)).Code; got != codes.HostStale {
			t.Fatalf("a late heartbeat of host %d: %v", i, got)
		}
	}
}

func (l *log) putStore(identity uint64, node string) {
	l.apply(Command{Kind: CommandPutStore, Store: directory.Store{Identity: identity, Node: node}})
}

func (l *log) removeStore(identity uint64, node string) {
	l.apply(Command{Kind: CommandRemoveStore, Store: directory.Store{Identity: identity, Node: node}})
}

func (l *log) retires(node string) bool {
	_, found := l.state.View.Get(feed.SectionRetire, node)
	return found
}

// A machine that comes under the name of one that was retired and left is not emptied; one that is still there, or comes back with
// the disk that was retired, is.
func TestARetiredNameMayComeAgain(t *testing.T) {
	l := newLog()
	l.putStore(1, "a")
	l.putStore(2, "b")
	l.apply(Command{Kind: CommandRetire, Key: "a", Needed: 1})
	l.putStore(3, "a") // it lost its disk while it is being emptied
	l.removeStore(1, "a")
	if !l.retires("a") {
		t.Fatal("a machine with an emptied disk is no longer retired")
	}
	l.removeStore(3, "a")
	if !l.retires("a") {
		t.Fatal("whoever asks late is not answered")
	}
	l.putStore(3, "a")
	if !l.retires("a") {
		t.Fatal("the retired disk came back and is not retired")
	}
	l.removeStore(3, "a")
	l.putStore(4, "a")
	if l.retires("a") {
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
		if got := l.apply(Command{Kind: CommandRetire, Key: node, Needed: 1}).Code; got != codes.OK {
			t.Fatal(got)
		}
		l.removeStore(10+i, node)
	}
	if held := len(l.state.View.All(feed.SectionRetire)); held != retirementsKept {
		t.Fatalf("%d retirements are known", held)
	}
}

// The state, what subscribers are sent and what is remembered of hosts, after a month of 4,700 changes and 1,000 restarts of hosts a day is
// what it is after days.
func TestTheStateDoesNotGrowForMonths(t *testing.T) {
	const (
		days            = 30
		changesADay     = 4700
		restartsADay    = 1000
		hosts           = 200
		bytesOfAConfig  = 2000
		restartsAChange = changesADay / restartsADay
	)
	l := newLog()
	config := string(make([]byte, bytesOfAConfig))
	version, restarts := uint64(0), 0
	restart := func() {
		l.apply(Command{Kind: CommandRemoveHost, Key: fmt.Sprint("host-", restarts), Final: restarts%2 == 0})
		l.apply(beat(fmt.Sprint("host-", restarts+hosts), "a:1", false, 1))
		restarts++
	}
	for range hosts {
		restart()
	}
	public, whole := map[int]int{}, map[int]int{}
	for day := 1; day <= days; day++ {
		for change := range changesADay {
			if got := l.replace(version, version+1, config); got != codes.OK {
				t.Fatal(got)
			}
			version++
			if change%restartsAChange == 0 && change/restartsAChange < restartsADay {
				restart()
			}
		}
		public[day] = len(l.state.View.Since(0).Encode())
		whole[day] = len(l.state.Snapshot())
		if day == 1 || day%10 == 0 {
			t.Logf("day %2d: state %7d bytes; ids of gone hosts %4d; a whole view for a subscriber %6d bytes",
				day, whole[day], l.state.gone, public[day])
		}
	}
	if public[days] > public[1]+hosts*10 {
		t.Fatalf("what a subscriber is sent grew from %d to %d bytes", public[1], public[days])
	}
	if whole[days] > whole[days/3]+whole[days/3]/10 {
		t.Fatalf("the state grew from %d bytes on day %d to %d", whole[days/3], days/3, whole[days])
	}
	if known := len(l.state.hosts); known > hosts+goneKept+goneSlack {
		t.Fatalf("%d hosts are remembered", known)
	}
}
