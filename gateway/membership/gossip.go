package membership

import (
	"fmt"
	"math"
	"slices"
)

const (
	// newsDelay is the time within which news are told, in seconds; newsDelayPerAccusation is added for each accusation of late,
	// up to maxNewsDelay: who has found more speaks later, since others will have found the same.
	newsDelay              = 0.1
	newsDelayPerAccusation = 0.4
	maxNewsDelay           = 3
	// newsSpacing and newsSpacingJitter are the seconds between two broadcasts; heldJitter is the latter while there are many.
	newsSpacing       = 0.3
	newsSpacingJitter = 0.3
	heldJitter        = 0.5
)

// gossip holds the news that all members should hear. Counts of late fade by a factor of e a second.
type gossip struct {
	pending []int // members of whom all should hear
	last    []int // those of the last broadcast
	repeats int   // how often the last broadcast is still to be repeated
	nextAt  float64

	maxRate       float64 // broadcasts a second from which on this member holds back
	rate          float64 // those heard or sent of late
	rateAt        float64
	accusations   float64 // made here of late
	accusationsAt float64
}

func (g *gossip) waiting() bool { return len(g.pending)+g.repeats > 0 }

func (g *gossip) countBroadcast(now float64) {
	g.rate = g.rate*math.Exp(g.rateAt-now) + 1
	g.rateAt = now
}

func (g *gossip) crowded(now float64) bool { return g.rate*math.Exp(g.rateAt-now) > g.maxRate }

func (g *gossip) countAccusation(now float64) {
	g.accusations = g.accusations*math.Exp(g.accusationsAt-now) + 1
	g.accusationsAt = now
}

// publish has all hear of a member soon.
func (d *Detector) publish(now float64, k int) {
	g := &d.gossip
	if slices.Contains(g.pending, k) {
		return
	}
	g.pending = append(g.pending, k)
	if len(g.pending) == 1 {
		delay := min(maxNewsDelay, newsDelay+newsDelayPerAccusation*max(0, g.accusations-1))
		g.nextAt = now + d.random.Float64()*delay
	}
}

// spreadNews broadcasts the news, and once more a little later; it holds back while many speak.
func (d *Detector) spreadNews(now float64) {
	g := &d.gossip
	if !g.waiting() || now < g.nextAt {
		return
	}
	if g.crowded(now) {
		g.nextAt = now + newsSpacing + heldJitter*d.random.Float64()
		return
	}
	if len(g.pending) > 0 {
		n := min(len(g.pending), maxEntries)
		g.last = append(g.last[:0], g.pending[:n]...)
		g.pending = append(g.pending[:0], g.pending[n:]...)
		g.repeats = 1
	} else {
		g.repeats--
	}
	d.send(Broadcast, d.newsText(g.last))
	g.countBroadcast(now)
	g.nextAt = now + newsSpacing + newsSpacingJitter*d.random.Float64()
}

// sendDead tells a member that comes back empty of those that are dead.
func (d *Detector) sendDead(to int) {
	var dead []int
	for i := range d.members {
		if d.members[i].incarnation.dead() {
			dead = append(dead, i)
		}
	}
	for batch := range slices.Chunk(dead, maxEntries) {
		d.send(to, d.newsText(batch))
	}
}

// learn takes what another member says of one.
func (d *Detector) learn(now float64, by int, e entry) {
	if e.member == d.self {
		d.refute(now, by, e.incarnation)
		return
	}
	m := &d.members[e.member]
	if !e.incarnation.newer(m.incarnation) || e.member == by {
		return
	}
	if e.incarnation.dead() && !math.IsNaN(m.lastHeard) && d.silence(now, m) < pingAfter {
		// Everyone may think so but this gateway has just heard it: it shall speak for itself.
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

// refute answers an accusation of this gateway, or news of a later life of its name, with a newer incarnation. It doubts the
// deaths it believes before it acts on shares: the accused may have been cut off.
func (d *Detector) refute(now float64, by int, accusation incarnation) {
	self := &d.members[d.self]
	if !accusation.newer(self.incarnation) {
		return
	}
	d.news.note += fmt.Sprintf("; given up by %d, nobody counts as gone", by)
	self.incarnation = accusation.refuted()
	d.doubtDeaths(now)
	d.publish(now, d.self)
	d.gossip.nextAt = now
}
