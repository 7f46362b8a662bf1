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
	if wrong := c.wrongStates(); wrong != 0 {
		t.Errorf("%d wrong states 2 s after the failure", wrong)
	}
	if got := c.divisor(0); got < 11 || got > 12 {
		t.Errorf("divisor %.2f 2 s after the failure, want 11 to 12", got)
	}
	c.run(5)
	if got := c.divisor(0); math.Abs(got-12*math.Sqrt(11.0/12)) > 1e-9 {
		t.Errorf("divisor %.3f 7 s after the failure, want 12 times the square root of the live fraction", got)
	}
	c.restart(5, 99)
	c.run(1)
	if wrong := c.wrongStates(); wrong != 0 || c.divisor(0) != 12 {
		t.Errorf("%d wrong states after the return, divisor %.2f", wrong, c.divisor(0))
	}
}

// Seven in ten members fail at the same time and return at the same time. All members detect it, and the sum of the shares stays
// within the bounds given at ShareDivisor.
func TestDeathAndReturnOfMostMembers(t *testing.T) {
	c := newCluster(t, 40)
	for i := range 28 {
		c.kill((i * 7) % 40)
	}
	c.run(10)
	if wrong := c.wrongStates(); wrong != 0 {
		t.Errorf("%d wrong states 10 s after the failure", wrong)
	}
	if c.maxTotalShare > 1.0001 {
		t.Errorf("sum of shares %.3f during the failure", c.maxTotalShare)
	}
	for i, d := range c.detectors {
		if d == nil {
			c.restart(i, uint64(100+i))
		}
	}
	c.run(10)
	if wrong := c.wrongStates(); wrong != 0 || c.maxTotalShare > 1.25 {
		t.Errorf("%d wrong states 10 s after the return, sum of shares up to %.3f", wrong, c.maxTotalShare)
	}
}

// The two sides of a partition together use at most sqrt(2) times the total. After the partition has healed, all states are
// correct again, even if a member restarts at that time.
func TestPartitionBoundsSharesAndHeals(t *testing.T) {
	splitEvenFromOdd := func(a, b int) bool { return a%2 != b%2 }
	c := newCluster(t, 20)
	c.cut = splitEvenFromOdd
	c.run(15)
	if wrong := c.wrongStates(); wrong != 20*10 {
		t.Errorf("%d members considered dead across the partition, want 200", wrong)
	}
	if c.maxTotalShare > math.Sqrt2+1e-9 || c.maxTotalShare < 1.3 {
		t.Errorf("sum of shares %.3f", c.maxTotalShare)
	}
	c.cut = noCut
	c.run(12)
	if wrong := c.wrongStates(); wrong != 0 {
		t.Errorf("%d wrong states 12 s after the partition healed", wrong)
	}
	c.cut = splitEvenFromOdd
	c.run(15)
	c.kill(3)
	c.run(1)
	c.cut = noCut
	c.run(0.3)
	c.restart(3, 77)
	c.run(12)
	if wrong := c.wrongStates(); wrong != 0 || c.divisor(0) != 20 {
		t.Errorf("%d wrong states after the second partition healed, divisor %.2f", wrong, c.divisor(0))
	}
}

// Only one member still receives messages from another one, and all others accuse it. The accused member is informed and refutes
// the accusations. Each refutation raises the accuser's tolerance, so that accusations and refutations do not alternate forever.
func TestOneWayLinkSettles(t *testing.T) {
	c := newCluster(t, 8)
	c.cut = func(from, to int) bool { return from == 2 && to != 6 }
	c.run(90)
	if !c.hasLogged("accused by") {
		t.Error("the accused member was never informed")
	}
	early := c.detectors[4].Changes
	c.run(90)
	if late := c.detectors[4].Changes - early; late > 24 {
		t.Errorf("%d state changes in the last 90 s", late)
	}
}

// A member that gets too little CPU time reads its messages late. It must not treat that as silence of the others, and the others
// must not accuse it.
func TestStarvedMemberMakesNoAccusations(t *testing.T) {
	c := newCluster(t, 10)
	for range 60 {
		c.stopped[4] = true
		c.run(0.9)
		c.stopped[4] = false
		c.run(0.1)
	}
	if wrong := c.wrongStates(); wrong != 0 || c.hasLogged("gone") {
		t.Errorf("%d wrong states; log: %v", wrong, c.logged)
	}
}

// A paused process resumes. Dead members count fully again in its shares, and it logs the pause and the accusation by others.
func TestPausedMemberCountsDeadMembersAgain(t *testing.T) {
	c := newCluster(t, 10)
	for i := range 6 {
		c.kill(i)
	}
	c.run(12)
	if got := c.divisor(8); got > 10*math.Sqrt(0.4)+1e-9 {
		t.Fatalf("divisor %.2f with four of ten members alive", got)
	}
	c.stopped[8] = true
	c.run(6)
	c.logged = nil
	c.stopped[8] = false
	c.detectors[8].Tick(c.now)
	if got := c.divisor(8); got != 10 {
		t.Errorf("divisor %.2f after the pause, want 10", got)
	}
	c.run(2)
	if !c.hasLogged("paused for") || !c.hasLogged("accused by") {
		t.Errorf("log: %v", c.logged)
	}
	if wrong := c.wrongStates(); wrong != 0 {
		t.Errorf("%d wrong states", wrong)
	}
}

// Three difficult cases of restarts: two within one clock tick, a message sent before a restart that arrives after it, and a
// clock that went back.
func TestIncarnationsOrderRestarts(t *testing.T) {
	c := newCluster(t, 6)
	previousHeartbeat := c.detectors[3].heartbeatText(kindHeartbeat)
	c.kill(3)
	c.run(4)
	c.restart(3, 7)
	c.detectors[3].start(c.now)
	first := c.detectors[3].members[3].incarnation
	c.restart(3, 8)
	c.detectors[3].start(c.now)
	if c.detectors[3].members[3].incarnation != first {
		t.Fatal("the two starts got different incarnations")
	}
	c.run(2)
	if wrong := c.wrongStates(); wrong != 0 {
		t.Errorf("two restarts in one tick: %d wrong states", wrong)
	}
	c.detectors[0].Receive(c.now, 3, previousHeartbeat)
	c.run(1)
	if c.wrongStates() != 0 || c.detectors[0].members[3].incarnation.newer(c.detectors[3].members[3].incarnation) {
		t.Error("a message from before the restart was attributed to the current process")
	}
	c.kill(3)
	c.run(4)
	c.restart(3, 9)
	c.detectors[3].start(1000) // over an hour back
	c.detectors[3].tickedAt = c.now
	c.detectors[3].heartbeats.nextAt = c.now
	c.run(3)
	if wrong := c.wrongStates(); wrong != 0 {
		t.Errorf("clock went back: %d wrong states", wrong)
	}
}

// Corrupt or forged messages are dropped and counted, and change no state.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	c := newCluster(t, 6)
	d := c.detectors[0]
	before := slices.Clone(d.members)
	good := c.detectors[2].updateText([]int{4})
	malformed := []struct {
		name, text string
		from       int
	}{
		{"no kind", "!", 2},
		{"no header", "!b", 2},
		{"unknown kind", "!x" + good[2:], 2},
		{"truncated message", good[:len(good)-1], 2},
		{"too long by one", good + "A", 2},
		{"no such member", "!b" + strings.Repeat("_", 7), 2},
		{"over the limit", strings.Repeat("!", 300), 2},
		{"no such sender", "!n" + "__" + good[4:], 2},
		{"accuses itself", "!nAAAAAAB", 2},
		{"not printable", "!\x00\xff", 2},
		{"from this member itself", d.heartbeatText(kindHeartbeat), 2},
		{"sender index of another member", good, 3},
	}
	for i, m := range malformed {
		if !d.Receive(c.now, m.from, m.text) {
			t.Errorf("%s: not recognised as a message of this package", m.name)
		}
		if d.Malformed != i+1 {
			t.Fatalf("%s: %d malformed messages counted, want %d", m.name, d.Malformed, i+1)
		}
	}
	for i := range before {
		was, is := before[i], d.members[i]
		if was.incarnation != is.incarnation || was.deadSince != is.deadSince {
			t.Errorf("the state of member %d changed", i)
		}
	}
	if d.Receive(c.now, 2, "=plan key") || d.Receive(c.now, 2, "") || (*Detector)(nil).Receive(0, 1, good) {
		t.Error("a message of another package was accepted")
	}
}
