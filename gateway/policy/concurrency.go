package policy

import (
	"math"
	"slices"
)

const (
	// Attempts in flight to a host from all instances together: at first, at least and at most.
	initialPerHost = 12
	minPerHost     = 2.5
	maxPerHost     = 32
	// They rise by a step with each answer, and fall by a factor where answers take more than highLatencyRatio of their
	// targets, or a host rejects.
	perHostStep      = 0.3
	perHostDecrease  = 0.9
	highLatencyRatio = 0.4
	latencyRatioGain = 0.1
	// initialLatencyRatio stands until answers tell.
	initialLatencyRatio = 0.2

	// Attempts in flight to one host from this instance: at first, divided among the instances, at least and at most.
	initialHostLimit  = 4
	initialHostShared = 12
	minHostLimit      = 1
	maxHostLimit      = 32
	// They rise by a step with a quick answer while all slots are needed, and fall by a factor with a slow one or a failure.
	// An answer is slow, or quick, by its slowness against the host's best.
	hostLimitStep        = 0.1
	slowLimitDecrease    = 0.93
	failureLimitDecrease = 0.75
	slowFactor           = 1.7
	quickFactor          = 1.35
	// hostLimitReserve is how close to its limit a host's attempts in flight must be for the limit to rise.
	hostLimitReserve = 2

	// A starting host has one slot, and warmSlots more as it warms up.
	coldSlots = 1
	warmSlots = 3
)

// concurrency bounds the attempts in flight to all hosts. Guards against all hosts pressed at once, which the few answers of
// one host here would not tell: fewer go out.
type concurrency struct {
	inFlight     float64 // attempts of this instance
	perHost      float64 // how many there may be to a host from all instances
	latencyRatio float64 // mean of answer times over latency targets, of late
	dither       float64 // from 0 to below 1: rounds the limit of this instance up or down by chance
}

func newConcurrency() concurrency {
	return concurrency{perHost: initialPerHost, latencyRatio: initialLatencyRatio}
}

// limit is how many attempts this instance may have in flight.
func (l *concurrency) limit(hosts int, liveGateways float64) float64 {
	return math.Floor(max(1, l.perHost*float64(hosts)/liveGateways) + l.dither)
}

// observe takes an answer: it took so many seconds, of an operation with that target.
func (l *concurrency) observe(outcome Outcome, took, target float64) {
	if outcome != Succeeded && outcome != Rejected {
		return
	}
	l.latencyRatio += latencyRatioGain * (took/target - l.latencyRatio)
	if l.latencyRatio > highLatencyRatio || outcome == Rejected {
		l.perHost = max(minPerHost, l.perHost*perHostDecrease)
	} else {
		l.perHost = min(maxPerHost, l.perHost+perHostStep)
	}
}

// hostsWithSlot gives the hosts to which an attempt may begin now.
func (g *Gateway) hostsWithSlot(now float64) []*Host {
	limit := g.concurrency.limit(len(g.hosts.ordered), g.peers.live)
	if len(g.queue.waiting) == 0 || g.concurrency.inFlight >= limit || !g.instance.Overload.AllowsAttempt(now) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(g.hosts.ordered), func(h *Host) bool { return !g.hasSlot(now, h) })
}

// hasSlot says whether a host may be sent something now: within its limit, beside an attempt that alone is silent, or to
// probe it.
func (g *Gateway) hasSlot(now float64, h *Host) bool {
	warmth := g.slowStart.warmth(now, h.warmUp.startedAt)
	slots := max(minHostLimit, h.limit)
	if warmth < 1 {
		slots = min(slots, coldSlots+warmSlots*warmth)
	}
	if !h.active || now < h.health.backoffUntil ||
		warmth < 1 && g.slowStart.growth(now, h.warmUp.startedAt) < h.warmUp.nextSendGrowth {
		return false
	}
	free := !h.health.ejected && float64(len(h.inFlight))+1 <= slots
	probe := h.health.ejected && now >= h.health.probeAt && len(h.inFlight) == 0
	return free || h.doubtful() || probe
}

// adapt moves a host's limit after a good answer: its queue has grown where it is slow, and work waits better here.
func (h *Host) adapt() {
	switch {
	case h.latency.slowness > slowFactor*h.latency.best:
		h.limit = max(minHostLimit, h.limit*slowLimitDecrease)
	case h.latency.slowness < quickFactor*h.latency.best && float64(len(h.inFlight))+hostLimitReserve > h.limit:
		h.limit = min(maxHostLimit, h.limit+hostLimitStep)
	}
}
