package membership

import (
	"math"
	"slices"
	"strings"
	"testing"
)

func TestDeathAndReturnOfAMember(t *testing.T) {
	c := newCluster(t, 12)
	c.kill(5)
	c.run(2)
	if wrong := c.wrongBeliefs(); wrong != 0 {
		t.Errorf("%d do not know after 2 s", wrong)
	}
	if by := c.divisor(0); by < 11 || by > 12 {
		t.Errorf("at first it goes on counting: divided by %.2f", by)
	}
	c.run(5)
	if by := c.divisor(0); math.Abs(by-12*math.Sqrt(11.0/12)) > 1e-9 {
		t.Errorf("then by the root of what is alive: %.3f", by)
	}
	c.restart(5, 99)
	c.run(1)
	if wrong := c.wrongBeliefs(); wrong != 0 || c.divisor(0) != 12 {
		t.Errorf("it is back, and %d do not know; divided by %.2f", wrong, c.divisor(0))
	}
}

// Seven in ten die at once and come back at once: all is known, and the shares together stay within what share.go says.
func TestDeathAndReturnOfMostMembers(t *testing.T) {
	c := newCluster(t, 40)
	for i := range 28 {
		c.kill((i * 7) % 40)
	}
	c.run(10)
	if wrong := c.wrongBeliefs(); wrong != 0 {
		t.Errorf("%d wrong beliefs 10 s after the death", wrong)
	}
	if c.maxShares > 1.0001 {
		t.Errorf("shares of %.3f while they were dying", c.maxShares)
	}
	for i, d := range c.detectors {
		if d == nil {
			c.restart(i, uint64(100+i))
		}
	}
	c.run(10)
	if wrong := c.wrongBeliefs(); wrong != 0 || c.maxShares > 1.25 {
		t.Errorf("%d wrong beliefs 10 s after the return, shares up to %.3f", wrong, c.maxShares)
	}
}

// Two sides of a partition never take the whole twice: together at most the root of two. Healed, all is as before, also when a
// restart is under way.
func TestPartitionBoundsSharesAndHeals(t *testing.T) {
	evenFromOdd := func(a, b int) bool { return a%2 != b%2 }
	c := newCluster(t, 20)
	c.cut = evenFromOdd
	c.run(15)
	if wrong := c.wrongBeliefs(); wrong != 20*10 {
		t.Errorf("%d beliefs across the partition", wrong)
	}
	if c.maxShares > math.Sqrt2+1e-9 || c.maxShares < 1.3 {
		t.Errorf("shares of %.3f", c.maxShares)
	}
	c.cut = noCut
	c.run(12)
	if wrong := c.wrongBeliefs(); wrong != 0 {
		t.Errorf("%d wrong beliefs 12 s after it healed", wrong)
	}
	c.cut = evenFromOdd
	c.run(15)
	c.kill(3)
	c.run(1)
	c.cut = noCut
	c.run(0.3)
	c.restart(3, 77)
	c.run(12)
	if wrong := c.wrongBeliefs(); wrong != 0 || c.divisor(0) != 20 {
		t.Errorf("%d wrong beliefs after it healed, divided by %.2f", wrong, c.divisor(0))
	}
}

// All think that one is dead but one, which hears it: it is told, speaks for itself, and who is refuted grows tolerant, so
// that it does not go to and fro for ever.
func TestOneWayLinkSettles(t *testing.T) {
	c := newCluster(t, 8)
	c.cut = func(from, to int) bool { return from == 2 && to != 6 }
	c.run(90)
	if !c.hasLogged("given up by") {
		t.Error("it was never told")
	}
	early := c.detectors[4].Changes
	c.run(90)
	if late := c.detectors[4].Changes - early; late > 24 {
		t.Errorf("%d changes in the last 90 s", late)
	}
}

// One that is starved of processor time reads late. It must not take that for the others' silence; nor do they accuse it.
func TestStarvedMemberAccusesNobody(t *testing.T) {
	c := newCluster(t, 10)
	for range 60 {
		c.stopped[4] = true
		c.run(0.9)
		c.stopped[4] = false
		c.run(0.1)
	}
	if wrong := c.wrongBeliefs(); wrong != 0 || c.hasLogged("gone") {
		t.Errorf("%d wrong beliefs; %v", wrong, c.logged)
	}
}

// A stopped one wakes: before it acts on shares nobody counts as dead for it, and it says that it was accused.
func TestStoppedMemberDoubtsDeathsWhenItWakes(t *testing.T) {
	c := newCluster(t, 10)
	for i := range 6 {
		c.kill(i)
	}
	c.run(12)
	if by := c.divisor(8); by > 10*math.Sqrt(0.4)+1e-9 {
		t.Fatalf("four of ten divide by %.2f", by)
	}
	c.stopped[8] = true
	c.run(6)
	c.logged = nil
	c.stopped[8] = false
	c.detectors[8].Tick(c.now)
	if by := c.divisor(8); by != 10 {
		t.Errorf("awake it divides by %.2f", by)
	}
	c.run(2)
	if !c.hasLogged("asleep for") || !c.hasLogged("given up by") {
		t.Errorf("it says %v", c.logged)
	}
	if wrong := c.wrongBeliefs(); wrong != 0 {
		t.Errorf("%d wrong beliefs", wrong)
	}
}

// Incarnations: two in one tick of the clock, a clock that went back, and a message of a former life that comes after the new one.
func TestIncarnationsOrderLives(t *testing.T) {
	c := newCluster(t, 6)
	formerLife := c.detectors[3].heartbeatText(kindHeartbeat)
	c.kill(3)
	c.run(4)
	c.restart(3, 7)
	c.detectors[3].start(c.now)
	first := c.detectors[3].members[3].incarnation
	c.restart(3, 8)
	c.detectors[3].start(c.now)
	if c.detectors[3].members[3].incarnation != first {
		t.Fatal("not the same tick")
	}
	c.run(2)
	if wrong := c.wrongBeliefs(); wrong != 0 {
		t.Errorf("two lives in one tick: %d wrong beliefs", wrong)
	}
	c.detectors[0].Receive(c.now, 3, formerLife)
	c.run(1)
	if c.wrongBeliefs() != 0 || c.detectors[0].members[3].incarnation.newer(c.detectors[3].members[3].incarnation) {
		t.Error("a message of a former life was taken for the present one's")
	}
	c.kill(3)
	c.run(4)
	c.restart(3, 9)
	c.detectors[3].start(1000) // an hour ago
	c.detectors[3].tickedAt = c.now
	c.detectors[3].heartbeats.nextAt = c.now
	c.run(3)
	if wrong := c.wrongBeliefs(); wrong != 0 {
		t.Errorf("a clock that went back: %d wrong beliefs", wrong)
	}
}

// Spoilt or forged messages are dropped and counted, and change nothing.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	c := newCluster(t, 6)
	d := c.detectors[0]
	before := slices.Clone(d.members)
	good := c.detectors[2].newsText([]int{4})
	malformed := []struct {
		name, text string
		from       int
	}{
		{"no kind", "!", 2},
		{"no head", "!b", 2},
		{"unknown kind", "!x" + good[2:], 2},
		{"cut short", good[:len(good)-1], 2},
		{"too long by one", good + "A", 2},
		{"no such member", "!b" + strings.Repeat("_", 7), 2},
		{"over the limit", strings.Repeat("!", 300), 2},
		{"no such sender", "!n" + "__" + good[4:], 2},
		{"accuses itself", "!nAAAAAAB", 2},
		{"not printable", "!\x00\xff", 2},
		{"of this member itself", d.heartbeatText(kindHeartbeat), 2},
		{"signed with another's number", good, 3},
	}
	for i, m := range malformed {
		if !d.Receive(c.now, m.from, m.text) {
			t.Errorf("%s: left to others", m.name)
		}
		if d.Malformed != i+1 {
			t.Fatalf("%s: %d malformed messages are counted, want %d", m.name, d.Malformed, i+1)
		}
	}
	for i := range before {
		was, is := before[i], d.members[i]
		if was.incarnation != is.incarnation || was.deadSince != is.deadSince {
			t.Errorf("member %d is believed otherwise", i)
		}
	}
	if d.Receive(c.now, 2, "=plan key") || d.Receive(c.now, 2, "") || (*Detector)(nil).Receive(0, 1, good) {
		t.Error("a message for others was taken")
	}
}
