package membership

import (
	"fmt"
	"math"
	"slices"
)

const (
	// broadcastDelay is the maximum delay of the first broadcast of an update, in seconds. Each recent accusation by this member
	// adds broadcastDelayPerAccusation, up to maxBroadcastDelay: a member that detected many failures waits longer, because
	// others have probably detected the same ones and report them first.
	broadcastDelay              = 0.1
	broadcastDelayPerAccusation = 0.4
	maxBroadcastDelay           = 3
	// broadcastInterval is the minimum time between two broadcasts and broadcastJitter its maximum random extension, in seconds.
	// overRateJitter replaces broadcastJitter while the rate of broadcasts exceeds gossip.maxRate.
	broadcastInterval = 0.3
	broadcastJitter   = 0.3
	overRateJitter    = 0.5
)

// gossip holds the updates to be broadcast to all members. Its counts of recent events decay by a factor of e per second.
type gossip struct {
	pending  []int // members with updates still to be broadcast
	lastSent []int // members in the last broadcast
	repeats  int   // remaining repetitions of the last broadcast
	nextAt   float64

	maxRate       float64 // limit on rate, above which this member postpones its broadcasts
	rate          float64 // recent broadcasts, received or sent
	rateAt        float64
	accusations   float64 // recent accusations by this member
	accusationsAt float64
}

func (g *gossip) hasPending() bool { return len(g.pending)+g.repeats > 0 }

func (g *gossip) countBroadcast(now float64) {
	g.rate = g.rate*math.Exp(g.rateAt-now) + 1
	g.rateAt = now
}

func (g *gossip) overRate(now float64) bool { return g.rate*math.Exp(g.rateAt-now) > g.maxRate }

func (g *gossip) countAccusation(now float64) {
	g.accusations = g.accusations*math.Exp(g.accusationsAt-now) + 1
	g.accusationsAt = now
}

// queueUpdate schedules the broadcast of a member's incarnation.
func (d *Detector) queueUpdate(now float64, k int) {
	g := &d.gossip
	if slices.Contains(g.pending, k) {
		return
	}
	g.pending = append(g.pending, k)
	if len(g.pending) == 1 {
		delay := min(maxBroadcastDelay, broadcastDelay+broadcastDelayPerAccusation*max(0, g.accusations-1))
		g.nextAt = now + d.random.Float64()*delay
	}
}

// broadcastUpdates broadcasts the pending updates, each twice. It postpones them while the rate of broadcasts is too high.
func (d *Detector) broadcastUpdates(now float64) {
	g := &d.gossip
	if !g.hasPending() || now < g.nextAt {
		return
	}
	if g.overRate(now) {
		g.nextAt = now + broadcastInterval + overRateJitter*d.random.Float64()
		return
	}
	if len(g.pending) > 0 {
		n := min(len(g.pending), maxEntries)
		g.lastSent = append(g.lastSent[:0], g.pending[:n]...)
		g.pending = append(g.pending[:0], g.pending[n:]...)
		g.repeats = 1
	} else {
		g.repeats--
	}
	d.send(Broadcast, d.updateText(g.lastSent))
	g.countBroadcast(now)
	g.nextAt = now + broadcastInterval + broadcastJitter*d.random.Float64()
}

// sendDead sends the list of dead members to a member that has restarted without state.
func (d *Detector) sendDead(to int) {
	var dead []int
	for i := range d.members {
		if d.members[i].incarnation.dead() {
			dead = append(dead, i)
		}
	}
	for batch := range slices.Chunk(dead, maxEntries) {
		d.send(to, d.updateText(batch))
	}
}

// applyEntry applies an entry of an update or a heartbeat from the member reporter.
func (d *Detector) applyEntry(now float64, reporter int, e entry) {
	if e.member == d.self {
		d.refute(now, reporter, e.incarnation)
		return
	}
	m := &d.members[e.member]
	if !e.incarnation.newer(m.incarnation) || e.member == reporter {
		return
	}
	if e.incarnation.dead() && !math.IsNaN(m.lastHeard) && d.silence(now, m) < pingAfter {
		// This gateway has just received a message from the accused member. It forwards the accusation, so that the member can
		// refute it.
		d.send(e.member, d.entryText(e))
		return
	}
	former := m.incarnation
	m.incarnation = e.incarnation
	switch {
	case e.incarnation.dead() && !former.dead():
		d.markDead(now, e.member)
	case !e.incarnation.dead() && former.dead():
		m.lastHeard = math.NaN()
		d.markReturned(e.member, former)
	}
}

// refute responds to an accusation of this gateway, or to an update with a later incarnation of it, with a newer incarnation. It
// also counts all dead members fully again for shares, because this gateway may have been cut off from them.
func (d *Detector) refute(now float64, accuser int, accusation incarnation) {
	self := &d.members[d.self]
	if !accusation.newer(self.incarnation) {
		return
	}
	d.pendingLog.note += fmt.Sprintf("; accused by %d, no member counts as gone", accuser)
	self.incarnation = accusation.refuted()
	d.resetDeadWeights(now)
	d.queueUpdate(now, d.self)
	d.gossip.nextAt = now
}
