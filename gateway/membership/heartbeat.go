package membership

import "math"

const (
	// watchers is the number of members that watch each member. A failure stays undetected only if none of them detects it.
	watchers = 2
	// initialMeanGap is the initial value of heartbeats.meanGap, and gapSmoothing the weight of each new gap in it.
	initialMeanGap = 1.1
	gapSmoothing   = 0.02
	// maxCountedGap is the length of a gap, in periods, from which on it is not attributed to lost messages.
	maxCountedGap = 20
	// heartbeatJitter is the random variation of the heartbeat interval, as a fraction of the period.
	heartbeatJitter = 0.1
)

// heartbeats is the state of sending and receiving heartbeats.
type heartbeats struct {
	nextAt      float64
	windowStart int     // first member of the next window of incarnations
	meanGap     float64 // moving average of the gap between heartbeats, in periods; lost heartbeats raise it above 1
}

// lossRate returns the fraction of recent heartbeats that were lost.
func (h *heartbeats) lossRate() float64 { return 1 - 1/h.meanGap }

// recordGap adds a gap between two heartbeats of a member, in periods, to the moving average.
func (h *heartbeats) recordGap(gap float64) {
	if gap >= 1 && gap < maxCountedGap {
		h.meanGap += gapSmoothing * (gap - h.meanGap)
	}
}

func (d *Detector) sendHeartbeats(now float64) {
	h := &d.heartbeats
	if now < h.nextAt {
		return
	}
	h.nextAt = now + d.period*(1-heartbeatJitter/2+heartbeatJitter*d.random.Float64())
	for _, to := range d.nextAlive(watchers) {
		d.send(to, d.heartbeatText(kindHeartbeat))
	}
	// All heartbeats of a round carry the same window. Otherwise each of the two watchers would receive only every second window.
	h.windowStart = (h.windowStart + min(window, len(d.members))) % len(d.members)
}

// nextAlive returns the next limit live members of the ring.
func (d *Detector) nextAlive(limit int) (alive []int) {
	n := len(d.members)
	for i := 1; i < n && len(alive) < limit; i++ {
		k := (d.self + i) % n
		if !d.members[k].incarnation.dead() {
			alive = append(alive, k)
		}
	}
	return alive
}

// recordSender records that the sender of a packet is alive, provided that the packet carries its newest incarnation.
func (d *Detector) recordSender(now float64, p *packet) {
	m := &d.members[p.sender]
	if m.incarnation.newer(p.incarnation) { // before a restart, unaware of an accusation, or its clock went back
		d.send(p.sender, d.updateText([]int{p.sender}))
		return
	}
	newLife := p.incarnation.newer(m.incarnation)
	former := m.incarnation
	if p.kind == kindHeartbeat {
		if !newLife {
			d.heartbeats.recordGap(math.Round((now - m.lastHeartbeat) / d.period))
		}
		m.lastHeartbeat = now
	}
	m.incarnation = p.incarnation
	m.lastHeard = now
	m.nextPingAt = 0
	m.unseen = false
	m.decayTolerance()
	if newLife && former != 0 {
		d.markReturned(p.sender, former)
		if p.kind != kindUpdate { // all members receive a broadcast and must not all reply to it
			d.queueUpdate(now, p.sender)
			d.sendDead(p.sender)
		}
	}
	if p.kind == kindPing {
		d.send(p.sender, d.heartbeatText(kindAck))
	}
}
