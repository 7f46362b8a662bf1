package policy

import (
	"math"
	"slices"
)

const (
	// Limit of the attempts in flight to a host from all instances together: its initial, least and greatest value.
	initialPerHost = 12
	minPerHost     = 2.5
	maxPerHost     = 32
	// The limit rises by a step with each answer. It falls by a factor if the mean ratio of answer times to latency targets
	// exceeds highLatencyRatio, or if a host rejects an attempt.
	perHostStep      = 0.3
	perHostDecrease  = 0.9
	highLatencyRatio = 0.4
	latencyRatioGain = 0.1
	// initialLatencyRatio is the mean ratio assumed before the first answer.
	initialLatencyRatio = 0.2

	// Limit of the attempts in flight to one host from this instance: its initial value, the initial total of all instances
	// (divided among them), and its least and greatest value.
	initialHostLimit      = 4
	initialHostLimitTotal = 12
	minHostLimit          = 1
	maxHostLimit          = 32
	// The limit rises by a step with a quick answer while nearly all slots are in use. It falls by a factor with a slow answer
	// or a failure. Answers are slow or quick if the host's mean slowness is above or below these multiples of its best one.
	hostLimitStep        = 0.1
	slowLimitDecrease    = 0.93
	failureLimitDecrease = 0.75
	slowFactor           = 1.7
	quickFactor          = 1.35
	// hostLimitHeadroom is the number of free slots below which a host's limit may rise.
	hostLimitHeadroom = 2

	// A starting host has coldSlots slots, and up to warmUpSlots more as it warms up.
	coldSlots   = 1
	warmUpSlots = 3
)

// concurrency limits this instance's attempts in flight to all hosts. It reduces them when all hosts are overloaded at once,
// which one instance can't detect from the few answers that it gets from each host.
type concurrency struct {
	inFlight     float64 // attempts of this instance in flight
	perHost      float64 // limit of the attempts in flight to one host from all instances together
	latencyRatio float64 // moving average of the ratio of answer times to latency targets
	dither       float64 // random, from 0 to below 1; rounds the limit of this instance up or down
}

func newConcurrency() concurrency {
	return concurrency{perHost: initialPerHost, latencyRatio: initialLatencyRatio}
}

// limit returns the number of attempts that this instance may have in flight.
func (l *concurrency) limit(hosts int, liveGateways float64) float64 {
	return math.Floor(max(1, l.perHost*float64(hosts)/liveGateways) + l.dither)
}

// observe updates the limit by an attempt's outcome. duration and target are the answer's time and its operation's latency
// target, in seconds.
func (l *concurrency) observe(outcome Outcome, duration, target float64) {
	if outcome != Succeeded && outcome != Rejected {
		return
	}
	l.latencyRatio += latencyRatioGain * (duration/target - l.latencyRatio)
	if l.latencyRatio > highLatencyRatio || outcome == Rejected {
		l.perHost = max(minPerHost, l.perHost*perHostDecrease)
	} else {
		l.perHost = min(maxPerHost, l.perHost+perHostStep)
	}
}

// hostsWithSlot returns the hosts to which an attempt may be started now.
func (g *Gateway) hostsWithSlot(now float64) []*Host {
	limit := g.concurrency.limit(len(g.hosts.ordered), g.peers.live)
	if len(g.queue.waiting) == 0 || g.concurrency.inFlight >= limit || !g.instance.Overload.AllowsAttempt(now) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(g.hosts.ordered), func(h *Host) bool { return !g.hasSlot(now, h) })
}

// hasSlot reports whether an attempt may be sent to a host now: within the host's limit, as a second attempt to a suspect host,
// or as a probe of an ejected one.
func (g *Gateway) hasSlot(now float64, h *Host) bool {
	warmUpFraction := g.slowStart.warmUpFraction(now, h.warmUp.startedAt)
	slots := max(minHostLimit, h.limit)
	if warmUpFraction < 1 {
		slots = min(slots, coldSlots+warmUpSlots*warmUpFraction)
	}
	if !h.active || now < h.health.backoffUntil ||
		warmUpFraction < 1 && g.slowStart.cumulativeCapacity(now, h.warmUp.startedAt) < h.warmUp.nextSendCapacity {
		return false
	}
	free := !h.health.ejected && float64(len(h.inFlight))+1 <= slots
	probe := h.health.ejected && now >= h.health.probeAt && len(h.inFlight) == 0
	return free || h.isSuspect() || probe
}

// adaptLimit updates a host's limit after a successful answer. A slow answer means that the host's queue has grown, and
// invocations should rather wait in this gateway.
func (h *Host) adaptLimit() {
	switch {
	case h.latency.slowness > slowFactor*h.latency.best:
		h.limit = max(minHostLimit, h.limit*slowLimitDecrease)
	case h.latency.slowness < quickFactor*h.latency.best && float64(len(h.inFlight))+hostLimitHeadroom > h.limit:
		h.limit = min(maxHostLimit, h.limit+hostLimitStep)
	}
}
