package membership

import (
	"fmt"
	"math"
)

// Durations of silence, in heartbeat periods.
const (
	// pingAfter is the silence after which a member is pinged.
	pingAfter = 1.4
	// suspectAfter is the silence after which a member is suspected and members further back in the ring are watched as well.
	suspectAfter = 2.2
	// accuseAfter is the silence after which a member is accused. It is extended by accusePerLossRate times the loss rate of
	// heartbeats, which counts up to maxLossRate.
	accuseAfter       = 3.3
	accusePerLossRate = 8
	maxLossRate       = 0.6
	// unseenSuspectAfter is the silence after which a member is suspected if nothing was received from it since watching began.
	unseenSuspectAfter = 1
	// startAllowance is the additional silence allowed to a member never heard from, because it may not have started yet.
	startAllowance = 2
	// isolatedAfter is the silence of all members after which this gateway considers itself isolated.
	isolatedAfter = 3
)

const (
	// extraWatched is the number of additional members watched for each suspected one. maxWatched limits the total.
	extraWatched = 2
	maxWatched   = 16
	// memberPingsPerPeriod is the maximum number of pings to one member per period.
	memberPingsPerPeriod = 3
	// maxTolerance limits member.tolerance, which grows with each accusation by this gateway that the member refutes. Each
	// message from the member multiplies it by toleranceDecay.
	maxTolerance   = 8
	toleranceDecay = 0.995
	// longPause is the length of a pause of this process, in seconds, after which dead members count fully for shares again.
	longPause = 1
)

// pingBudget is a token bucket that limits the rate of pings. It holds at most maxPings tokens and gains pingsPerPeriod tokens
// per heartbeat period.
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

// localHealth records whether this gateway receives any messages.
type localHealth struct {
	lastHeard float64 // time of the last message from any member
	isolated  bool    // no messages have been received for isolatedAfter periods
}

// silence returns for how long a member has been silent, in periods, or NaN if its silence is not measured.
func (d *Detector) silence(now float64, m *member) float64 { return (now - m.lastHeard) / d.period }

// silenceAllowed returns the silence, in periods, after which a member is accused. It grows with the loss rate of heartbeats.
func (d *Detector) silenceAllowed(m *member) float64 {
	return (accuseAfter + accusePerLossRate*min(maxLossRate, d.heartbeats.lossRate())) * m.tolerance
}

// watchRing checks the live predecessors of this member in the ring. The more of them are silent, the more it checks, because
// most watchers of those further back may have failed as well.
func (d *Detector) watchRing(now float64) {
	n := len(d.members)
	limit := watchers
	for i, watched := 1, 0; i < n && watched < limit; i++ {
		k := (d.self - i + n) % n
		m := &d.members[k]
		if m.incarnation.dead() {
			continue
		}
		watched++
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

// watch starts to measure the silence of a member that was not watched within the last period. Such a member may not know yet
// that it should send heartbeats here, so its earlier silence does not count.
func (d *Detector) watch(now float64, m *member) {
	if now-m.watchedAt > d.period {
		heardRecently := m.lastHeard > now-d.period // false for NaN
		if !heardRecently {
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
		m.nextPingAt = now + d.period/memberPingsPerPeriod
		d.send(k, d.heartbeatText(kindPing))
	}
}

func (d *Detector) accuse(now float64, k int) {
	m := &d.members[k]
	m.incarnation = m.incarnation.accused()
	m.accusedAt = now
	d.markDead(now, k)
	d.gossip.countAccusation(now)
	d.queueUpdate(now, k)
}

// markDead records that a member is dead.
func (d *Detector) markDead(now float64, k int) {
	m := &d.members[k]
	m.deadSince = now
	m.lastHeard = math.NaN()
	m.nextPingAt = 0
	d.dead++
	d.Changes++
	d.pendingLog.dead = append(d.pendingLog.dead, k)
}

// markReturned records that a member that was accused or has restarted is alive.
func (d *Detector) markReturned(k int, former incarnation) {
	m := &d.members[k]
	if former.dead() {
		d.dead--
	}
	if m.accusedAt > 0 && former.dead() && m.incarnation == former.refuted() {
		// A link that fails in one direction would cause repeated accusations. Each refutation therefore doubles the silence
		// allowed before the next accusation.
		m.tolerance = min(maxTolerance, 2*m.tolerance)
	}
	m.accusedAt = 0
	d.Changes++
	d.pendingLog.alive = append(d.pendingLog.alive, k)
}

// decayTolerance reduces the tolerance after a message from the member.
func (m *member) decayTolerance() {
	if m.tolerance > 1 {
		m.tolerance = max(1, m.tolerance*toleranceDecay)
	}
}

// reconnect limits the rate of pings to dead members.
type reconnect struct {
	lastAt         float64
	intervalFactor float64 // random factor on the interval until the next ping
}

const (
	// fleetReconnectRate is the mean rate of pings per second that one dead member gets from all others together.
	fleetReconnectRate = 2
	// reconnectPeriods is the minimum mean interval, in periods, between two pings by one member to dead members.
	reconnectPeriods = 4
)

// pingDead pings one of the dead members from time to time. Otherwise neither side would notice that a partition has healed,
// because neither sends anything to the other.
func (d *Detector) pingDead(now float64) {
	if d.dead == 0 {
		return
	}
	r := &d.reconnect
	interval := max(reconnectPeriods*d.period, float64(d.AliveCount())/(fleetReconnectRate*float64(d.dead)))
	if now < r.lastAt+r.intervalFactor*interval {
		return
	}
	r.lastAt = now
	r.intervalFactor = 0.5 + d.random.Float64()
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

// checkIsolation determines whether this gateway has stopped receiving messages from all members. All others rarely fail at the
// same time, so the gateway then assumes that its own link has failed: it accuses nobody, and counts dead members as alive for
// shares.
func (d *Detector) checkIsolation(now float64) {
	isolated := now-d.health.lastHeard > isolatedAfter*d.period
	if isolated && !d.health.isolated {
		d.pendingLog.note += "; no messages from any member, so no member counts as gone"
	}
	d.health.isolated = isolated
	if isolated {
		d.resetDeadWeights(now)
	}
}

// recordReceive records that a message was received, which ends an isolation. The time of the isolation does not count as silence
// of any member.
func (d *Detector) recordReceive(now float64) {
	if d.health.isolated {
		d.discountSilence(now - d.health.lastHeard)
		d.pings.tokens = maxPings
	}
	d.health.lastHeard = now
	d.health.isolated = false
}

// handlePause handles a pause of this process, in seconds, during which it made no tick. The pause does not count as silence of
// any member. After a long one, dead members count fully for shares again, because they may have returned during the pause.
func (d *Detector) handlePause(now, pause float64) {
	d.health.lastHeard += pause
	d.discountSilence(pause)
	if pause > longPause {
		d.pendingLog.note += fmt.Sprintf("; paused for %.2f s, no member counts as gone", pause)
		d.resetDeadWeights(now)
	}
}

// discountSilence shifts all times by some seconds, so that these don't count as silence of any member.
func (d *Detector) discountSilence(seconds float64) {
	for i := range d.members {
		m := &d.members[i]
		m.lastHeard += seconds
		m.watchedAt += seconds
		m.lastHeartbeat += seconds
		m.nextPingAt = 0
	}
}

// resetDeadWeights makes all dead members count fully for shares again. Their weights then fade anew.
func (d *Detector) resetDeadWeights(now float64) {
	for i := range d.members {
		d.members[i].deadSince = max(d.members[i].deadSince, now)
	}
}
