package policy

import (
	"math"
	"slices"
)

const (
	// loadCost is the relative increase of a host's cost with each attempt in flight.
	loadCost = 0.5
	// connectFailureCost is the relative increase of the cost of a host that has not answered this instance yet, multiplied by the
	// rate of failed connections.
	connectFailureCost = 100
	// zoneCost is added for a host in another zone. retriedHostCost is added for one that the invocation was already sent to.
	zoneCost        = 0.05
	retriedHostCost = 10
	// minCapacity keeps a starting host's cost finite.
	minCapacity = 0.01
)

// pickHost returns the host with the lowest cost among hosts, or nil if the invocation may be sent to none of them.
func (g *Gateway) pickHost(now float64, inv *Invocation, hosts []*Host) *Host {
	var best *Host
	lowest := math.Inf(1)
	for _, h := range hosts {
		probe := h.health.ejected || h.isSuspect() || g.instance.Overload.ProbesOnly()
		if !inv.mayRunAt(now, h) || probe && inv.operation.Effect == NonIdempotent {
			continue
		}
		if cost := g.hostCost(now, inv, h, lowest); cost < lowest {
			best = h
			lowest = cost
		}
	}
	return best
}

// hostCost returns the cost of sending an invocation to a host. If it is not below lowest, hostCost may return any value that is
// not below lowest.
func (g *Gateway) hostCost(now float64, inv *Invocation, h *Host, lowest float64) float64 {
	slowness := max(h.latency.slowness, 1/max(minCapacity, g.slowStart.capacity(now, h.warmUp.startedAt)))
	if slowness != h.latency.costSlowness {
		h.latency.costSlowness = slowness
		h.latency.cost = math.Pow(slowness, 2-g.peers.observedShare)
	}
	cost := h.latency.cost * (1 + loadCost*float64(len(h.inFlight)))
	chance := g.random.Float64()
	if !h.health.ejected && cost*chance >= lowest { // the cost can't become lower; saves two powers per host in large fleets
		return lowest
	}
	// Randomization keeps instances from all choosing the same host. It grows as each instance's view of the hosts shrinks.
	cost *= math.Pow(-math.Log(1-chance), 1-g.peers.observedShare)
	if h.health.answerGap == 0 { // if hosts are out of connections, prefers those that have answered
		cost *= 1 + connectFailureCost*g.hosts.connectFailureRate
	}
	if h.zone != g.instance.Zone {
		cost += zoneCost
	}
	if slices.ContainsFunc(inv.Attempts, func(a *Attempt) bool { return a.Host == h }) {
		cost += retriedHostCost
	} else if h.health.ejected {
		cost = 0 // an ejected host is due for a probe, which is rare
	}
	return cost
}
