package policy

import (
	"math"
	"slices"
)

const (
	// loadCost is what each attempt in flight adds to a host's cost, as a part of it.
	loadCost = 0.5
	// connectFailureCost multiplies the share of failed connections into the cost of a host that has not answered here yet.
	connectFailureCost = 100
	// zoneCost is added for a host in another zone, and triedCost for one that the invocation was sent to already.
	zoneCost  = 0.05
	triedCost = 10
	// minCapacity keeps a starting host's cost finite.
	minCapacity = 0.01
)

// pickHost gives the host with the least cost among those that have a slot; nil: the invocation may be sent to none of them.
func (g *Gateway) pickHost(now float64, inv *Invocation, hosts []*Host) *Host {
	var best *Host
	least := math.Inf(1)
	for _, h := range hosts {
		probe := h.health.ejected || h.doubtful() || g.instance.Overload.ProbesOnly()
		if !inv.mayRunAt(now, h) || probe && inv.operation.Effect == NonIdempotent {
			continue
		}
		if cost := g.hostCost(now, inv, h, least); cost < least {
			best = h
			least = cost
		}
	}
	return best
}

// hostCost is what speaks against sending an invocation to a host; least or more where it is not below least.
func (g *Gateway) hostCost(now float64, inv *Invocation, h *Host, least float64) float64 {
	slowness := max(h.latency.slowness, 1/max(minCapacity, g.slowStart.capacity(now, h.warmUp.startedAt)))
	if slowness != h.latency.costSlowness {
		h.latency.costSlowness = slowness
		h.latency.cost = math.Pow(slowness, 2-g.peers.observedShare)
	}
	cost := h.latency.cost * (1 + loadCost*float64(len(h.inFlight)))
	chance := g.random.Float64()
	if !h.health.ejected && cost*chance >= least { // what follows is never less: spares large fleets two powers a host
		return least
	}
	// Guards against all choosing the same host: the less one knows of hosts, the more it goes by chance.
	cost *= math.Pow(-math.Log(1-chance), 1-g.peers.observedShare)
	if h.health.answerGap == 0 { // guards against hosts that hold all the connections they take: stay where one is in
		cost *= 1 + connectFailureCost*g.hosts.connectFailureRate
	}
	if h.zone != g.instance.Zone {
		cost += zoneCost
	}
	if slices.ContainsFunc(inv.Attempts, func(a *Attempt) bool { return a.Host == h }) {
		cost += triedCost
	} else if h.health.ejected {
		cost = 0 // the sparing probe of an ejected host
	}
	return cost
}
