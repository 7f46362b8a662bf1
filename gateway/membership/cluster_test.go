package membership

import (
	"strings"
	"testing"
)

// The message rate in these tests, and the fraction of it for membership.
const (
	testMessageRate = 60
	testPart        = 0.1
)

func newTestDetector(self, members int, seed uint64) *Detector {
	return New(Config{Self: self, Members: members, MessageRate: testMessageRate, Part: testPart, Seed: seed})
}

// startedDetector returns a started detector of member 0.
func startedDetector(members int, now float64) *Detector {
	d := newTestDetector(0, members, 1)
	d.start(now)
	return d
}

// cluster simulates members with a common clock. Links may be cut in one direction, and messages arrive without delay.
type cluster struct {
	now           float64
	detectors     []*Detector // nil for a member that is not running
	stopped       []bool
	cut           func(from, to int) bool
	logged        []string
	maxTotalShare float64 // maximum sum of the shares of all members, as a fraction of the total
}

func noCut(int, int) bool { return false }

// newCluster returns a cluster whose members have had time to discover each other.
func newCluster(t *testing.T, members int) *cluster {
	t.Helper()
	c := &cluster{now: 5000, stopped: make([]bool, members), cut: noCut}
	for i := range members {
		c.detectors = append(c.detectors, newTestDetector(i, members, uint64(i)))
	}
	c.run(10)
	if wrong := c.wrongStates(); wrong != 0 {
		t.Fatalf("%d wrong states after the start", wrong)
	}
	return c
}

func (c *cluster) run(seconds float64) {
	for until := c.now + seconds; c.now < until; c.now += 0.05 {
		shares := 0.0
		for i, d := range c.detectors {
			if d != nil && !c.stopped[i] {
				c.deliver(i, d.Tick(c.now), 0)
				if line := d.LogLine(c.now); line != "" {
					c.logged = append(c.logged, line)
				}
			}
		}
		for _, d := range c.detectors {
			if d != nil {
				shares += 1 / d.ShareDivisor(c.now, 0, len(c.detectors))
			}
		}
		c.maxTotalShare = max(c.maxTotalShare, shares)
	}
}

// deliver delivers messages and the replies to them, up to a limited depth.
func (c *cluster) deliver(from int, messages []Message, depth int) {
	for _, message := range messages {
		for to, d := range c.detectors {
			if d == nil || to == from || c.stopped[to] || c.cut(from, to) {
				continue
			}
			if message.To != Broadcast && message.To != to {
				continue
			}
			d.Receive(c.now, from, message.Text)
			if depth < 8 {
				c.deliver(to, d.Tick(c.now), depth+1)
			}
		}
	}
}

func (c *cluster) kill(k int) { c.detectors[k] = nil }

// restart starts a new process of a member without persistent state.
func (c *cluster) restart(k int, seed uint64) {
	c.detectors[k] = newTestDetector(k, len(c.detectors), seed)
}

// wrongStates counts the states in the views of running members that don't match reality.
func (c *cluster) wrongStates() (n int) {
	for i, d := range c.detectors {
		for k := range c.detectors {
			if d != nil && i != k && (d.StateOf(c.now, k) == Dead) != (c.detectors[k] == nil) {
				n++
			}
		}
	}
	return n
}

func (c *cluster) hasLogged(text string) bool {
	return strings.Contains(strings.Join(c.logged, "\n"), text)
}

// divisor returns a member's divisor for a quantity shared by all members.
func (c *cluster) divisor(k int) float64 {
	return c.detectors[k].ShareDivisor(c.now, 0, len(c.detectors))
}
