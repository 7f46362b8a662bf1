package membership

import "math"

const (
	// watchers is how many members watch each: a death is missed only if all of them miss it.
	watchers = 2
	// initialMeanGap is the mean of periods between heartbeats before any are counted; gapSmoothing the weight of the newest.
	initialMeanGap = 1.1
	gapSmoothing   = 0.02
	// maxCountedGap is from how many periods on a gap says nothing of lost messages.
	maxCountedGap = 20
	// heartbeatJitter is the part of a period by which heartbeats are drawn apart.
	heartbeatJitter = 0.1
)

// heartbeats is the state of those sent and received.
type heartbeats struct {
	nextAt      float64
	windowStart int     // the member at which the next window of incarnations begins
	meanGap     float64 // mean of periods between heartbeats of late: over 1 by those that did not come
}

// lost is the part of the heartbeats of late that did not come.
func (h *heartbeats) lost() float64 { return 1 - 1/h.meanGap }

// count takes the gap between two heartbeats of a member into the mean, in periods.
func (h *heartbeats) count(gap float64) {
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
	// All of a round carry the same window: else each of two watchers would see every second one only.
	h.windowStart = (h.windowStart + min(window, len(d.members))) % len(d.members)
}

// nextAlive gives the next so many members of the ring that are alive.
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

// signOfLife takes a packet as a sign that its sender is alive, if it is of its newest life.
func (d *Detector) signOfLife(now float64, p *packet) {
	m := &d.members[p.sender]
	if m.incarnation.newer(p.incarnation) { // of a former life, or it does not know it was accused, or its clock went back
		d.send(p.sender, d.newsText([]int{p.sender}))
		return
	}
	newLife := p.incarnation.newer(m.incarnation)
	former := m.incarnation
	if p.kind == kindHeartbeat {
		if !newLife {
			d.heartbeats.count(math.Round((now - m.lastHeartbeat) / d.period))
		}
		m.lastHeartbeat = now
	}
	m.incarnation = p.incarnation
	m.lastHeard = now
	m.nextPingAt = 0
	m.unseen = false
	m.forgive()
	if newLife && former != 0 {
		d.markReturned(p.sender, former)
		if p.kind != kindNews { // news all hear: they must not all answer
			d.publish(now, p.sender)
			d.sendDead(p.sender)
		}
	}
	if p.kind == kindPing {
		d.send(p.sender, d.heartbeatText(kindAck))
	}
}
