package membership

import (
	"strings"
	"testing"
)

// testPart is the part of the messages that is for membership in these tests.
const (
	testMessageRate = 60
	testPart        = 0.1
)

func newTestDetector(self, members int, seed uint64) *Detector {
	return New(Config{Self: self, Members: members, MessageRate: testMessageRate, Part: testPart, Seed: seed})
}

// startedDetector is member 0 of so many, with its life begun.
func startedDetector(members int, now float64) *Detector {
	d := newTestDetector(0, members, 1)
	d.start(now)
	return d
}

// cluster is members on one clock, with links between them that may be cut one way. Messages arrive at once.
type cluster struct {
	now       float64
	detectors []*Detector // nil: it does not run
	stopped   []bool
	cut       func(from, to int) bool
	logged    []string
	maxShares float64 // the largest sum of shares, 1 being the whole
}

func noCut(int, int) bool { return false }

// newCluster gives members that have had time to hear of each other.
func newCluster(t *testing.T, members int) *cluster {
	t.Helper()
	c := &cluster{now: 5000, stopped: make([]bool, members), cut: noCut}
	for i := range members {
		c.detectors = append(c.detectors, newTestDetector(i, members, uint64(i)))
	}
	c.run(10)
	if wrong := c.wrongBeliefs(); wrong != 0 {
		t.Fatalf("%d wrong beliefs from the start", wrong)
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
		c.maxShares = max(c.maxShares, shares)
	}
}

// deliver brings messages, and the answers to them some steps deep.
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

// restart begins a new life of a member that has kept nothing.
func (c *cluster) restart(k int, seed uint64) {
	c.detectors[k] = newTestDetector(k, len(c.detectors), seed)
}

// wrongBeliefs counts beliefs of those that run which are not so.
func (c *cluster) wrongBeliefs() (n int) {
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

// divisor is by how many a member divides what all share.
func (c *cluster) divisor(k int) float64 {
	return c.detectors[k].ShareDivisor(c.now, 0, len(c.detectors))
}
