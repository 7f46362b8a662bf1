package membership

import (
	"fmt"
	"math"
)

// Silence is counted in periods of the heartbeats.
const (
	// pingAfter is the silence after which a member is asked whether it is alive.
	pingAfter = 1.4
	// suspectAfter is that after which it is suspected, and members further back in the ring are watched as well.
	suspectAfter = 2.2
	// accuseAfter is that after which it is accused; accusePerLost is added for the part of the heartbeats that gets lost, of
	// which maxLostCounted counts.
	accuseAfter    = 3.3
	accusePerLost  = 8
	maxLostCounted = 0.6
	// unseenSuspectAfter is that after which one that was never heard is suspected.
	unseenSuspectAfter = 1
	// startAllowance is for how many periods more one that was never heard of is waited for: it need not be up yet.
	startAllowance = 2
	// isolatedAfter is the silence of all after which this gateway counts as cut off.
	isolatedAfter = 3
)

const (
	// extraWatched is how many more members are watched for each suspected one, maxWatched at most.
	extraWatched = 2
	maxWatched   = 16
	// pingSpacing is the part of a period between two pings of a member.
	pingSpacing = 3
	// maxTolerance bounds the factor on the silence allowed to a member that refuted an accusation of this gateway; it falls by
	// toleranceDecay with each sign of life.
	maxTolerance   = 8
	toleranceDecay = 0.995
	// longPause is from how many seconds on a gateway that was stopped doubts what it believes.
	longPause = 1
)

// pingBudget bounds the pings that may be sent.
type pingBudget struct{ tokens float64 }

const (
	maxPings       = 16
	pingsPerPeriod = 8
)

func (b *pingBudget) refill(elapsed, period float64) {
	b.tokens = min(maxPings, b.tokens+pingsPerPeriod/period*elapsed)
}

func (b *pingBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// localHealth says whether this gateway hears anybody.
type localHealth struct {
	lastHeard float64 // when anybody was heard
	isolated  bool    // nobody is
}

// silence is for how long a member has been silent, in periods; NaN where none of it was waited for.
func (d *Detector) silence(now float64, m *member) float64 { return (now - m.lastHeard) / d.period }

// silenceAllowed is after how many periods of silence a member is accused: the more messages get lost, the later.
func (d *Detector) silenceAllowed(m *member) float64 {
	return (accuseAfter + accusePerLost*min(maxLostCounted, d.heartbeats.lost())) * m.tolerance
}

// watchRing looks after those before this member in the ring, and further back the more of them are silent: most of their
// watchers may have died with them.
func (d *Detector) watchRing(now float64) {
	n := len(d.members)
	limit := watchers
	for i, seen := 1, 0; i < n && seen < limit; i++ {
		k := (d.self - i + n) % n
		m := &d.members[k]
		if m.incarnation.dead() {
			continue
		}
		seen++
		d.watch(now, m)
		silence := d.silence(now, m)
		if silence < pingAfter && !m.unseen {
			continue
		}
		if silence > suspectAfter || m.unseen && silence > unseenSuspectAfter {
			limit = min(maxWatched, limit+extraWatched)
		}
		d.pingOrAccuse(now, k, silence)
	}
}

// watch begins to wait for a member that was not looked after of late, which it may not know.
func (d *Detector) watch(now float64, m *member) {
	if now-m.watchedAt > d.period {
		heardLately := m.lastHeard > now-d.period // false for NaN
		if !heardLately {
			m.lastHeard = now
			if m.incarnation == 0 {
				m.lastHeard = now + startAllowance*d.period
			}
			m.unseen = true
			m.nextPingAt = 0
		}
	}
	m.watchedAt = now
}

func (d *Detector) pingOrAccuse(now float64, k int, silence float64) {
	m := &d.members[k]
	switch {
	case silence > d.silenceAllowed(m) && !d.health.isolated:
		d.accuse(now, k)
	case now >= m.nextPingAt && d.pings.take():
		m.nextPingAt = now + d.period/pingSpacing
		d.send(k, d.heartbeatText(kindPing))
	}
}

func (d *Detector) accuse(now float64, k int) {
	m := &d.members[k]
	m.incarnation = m.incarnation.accused()
	m.accusedAt = now
	d.markDead(now, k)
	d.gossip.countAccusation(now)
	d.publish(now, k)
}

// markDead notes that a member counts as dead from now on.
func (d *Detector) markDead(now float64, k int) {
	m := &d.members[k]
	m.deadSince = now
	m.lastHeard = math.NaN()
	m.nextPingAt = 0
	d.dead++
	d.Changes++
	d.news.dead = append(d.news.dead, k)
}

// markReturned notes that a member that was accused, or whose former life is over, is alive.
func (d *Detector) markReturned(k int, former incarnation) {
	m := &d.members[k]
	if former.dead() {
		d.dead--
	}
	if m.accusedAt > 0 && former.dead() && m.incarnation == former.refuted() {
		// A link that is dead one way would have it accused again and again: who is refuted waits longer the next time.
		m.tolerance = min(maxTolerance, 2*m.tolerance)
	}
	m.accusedAt = 0
	d.Changes++
	d.news.alive = append(d.news.alive, k)
}

// forgive lets the tolerance fall back with a sign of life.
func (m *member) forgive() {
	if m.tolerance > 1 {
		m.tolerance = max(1, m.tolerance*toleranceDecay)
	}
}

// reconnect paces pings to members that count as dead.
type reconnect struct {
	lastAt  float64
	spacing float64 // factor on the usual time until the next
}

const (
	// fleetReconnectRate is how many pings a second a dead member gets at most, from all together.
	fleetReconnectRate = 2
	// reconnectPeriods is how many periods one member leaves between two such pings at least.
	reconnectPeriods = 4
)

// pingDead asks one of the dead now and then: after a partition has healed neither side would hear of it, since each sends
// the other nothing.
func (d *Detector) pingDead(now float64) {
	if d.dead == 0 {
		return
	}
	r := &d.reconnect
	interval := max(reconnectPeriods*d.period, float64(d.AliveCount())/(fleetReconnectRate*float64(d.dead)))
	if now < r.lastAt+r.spacing*interval {
		return
	}
	r.lastAt = now
	r.spacing = 0.5 + d.random.Float64()
	n := len(d.members)
	first := int(d.random.Float64() * float64(n))
	for i := range n {
		k := (first + i) % n
		if d.members[k].incarnation.dead() {
			d.send(k, d.heartbeatText(kindPing))
			return
		}
	}
}

// checkIsolation notes whether anybody is heard at all. All others at once are seldom dead, so while none is heard this gateway's
// own link is taken to be, nobody is accused, and the dead count as alive for shares.
func (d *Detector) checkIsolation(now float64) {
	isolated := now-d.health.lastHeard > isolatedAfter*d.period
	if isolated && !d.health.isolated {
		d.news.note += "; nobody is heard, so nobody counts as gone"
	}
	d.health.isolated = isolated
	if isolated {
		d.doubtDeaths(now)
	}
}

// heardAnybody ends an isolation. What could not be heard in it counts as nobody's silence.
func (d *Detector) heardAnybody(now float64) {
	if d.health.isolated {
		d.excuseSilence(now - d.health.lastHeard)
		d.pings.tokens = maxPings
	}
	d.health.lastHeard = now
	d.health.isolated = false
}

// wasStopped is told that this process made no tick for so long. What it could not hear then counts as nobody's silence, and
// after a long pause the dead count as alive for shares until their silence is seen again.
func (d *Detector) wasStopped(now, pause float64) {
	d.health.lastHeard += pause
	d.excuseSilence(pause)
	if pause > longPause {
		d.news.note += fmt.Sprintf("; asleep for %.2f s, nobody counts as gone", pause)
		d.doubtDeaths(now)
	}
}

// excuseSilence lets some seconds count as nobody's silence.
func (d *Detector) excuseSilence(seconds float64) {
	for i := range d.members {
		m := &d.members[i]
		m.lastHeard += seconds
		m.watchedAt += seconds
		m.lastHeartbeat += seconds
		m.nextPingAt = 0
	}
}

// doubtDeaths lets all that are dead count as alive for shares again, and less only as time goes on.
func (d *Detector) doubtDeaths(now float64) {
	for i := range d.members {
		d.members[i].deadSince = max(d.members[i].deadSince, now)
	}
}
