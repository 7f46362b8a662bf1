package policy

import (
	"maps"
	"slices"
	"strings"
)

// Host is a backend as this instance sees it.
type Host struct {
	Addr     string
	zone     string
	cell     int
	active   bool       // it may be sent new work, by the list
	inFlight []*Attempt // from this instance, in the order in which they were sent
	limit    float64    // how many of them there may be; 0: nothing is known of it
	warmUp   warmUp
	latency  hostLatency
	health   hostHealth
}

// hostLatency is how slow a host answers. Slowness is the time of an answer over its operation's base latency.
type hostLatency struct {
	slowness     float64 // of late
	best         float64 // the least slowness, forgotten slowly
	costSlowness float64 // for which cost was worked out
	cost         float64
}

// hostTable holds the hosts that are listed, and those that have left and have attempts in flight.
type hostTable struct {
	ordered            []*Host // by address
	byAddr             map[string]*Host
	connectFailureRate float64 // share of attempts of late that got no connection
}

// remove takes an attempt out of those in flight.
func (h *Host) remove(attempt *Attempt) {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(x *Attempt) bool { return x == attempt })
}

// UpdateHosts takes the list of hosts, or changes to it where it is not complete.
func (g *Gateway) UpdateHosts(now float64, list []HostEntry, complete bool) {
	for _, h := range g.hosts.ordered {
		h.active = h.active && !complete
	}
	meanWeight := 0.0
	for i := range list {
		meanWeight += list[i].Weight / float64(len(list))
	}
	for i := range list {
		g.updateHost(now, &list[i], meanWeight)
	}
	left := func(h *Host) bool { return !h.active && len(h.inFlight) == 0 }
	g.hosts.ordered = slices.DeleteFunc(g.hosts.ordered, left)
	maps.DeleteFunc(g.hosts.byAddr, func(_ string, h *Host) bool { return left(h) })
	slices.SortFunc(g.hosts.ordered, func(a, b *Host) int { return strings.Compare(a.Addr, b.Addr) })
	g.instance.Overload.SetFleet(g.peers.live, len(g.hosts.ordered))
}

func (g *Gateway) updateHost(now float64, entry *HostEntry, meanWeight float64) {
	h := g.hosts.byAddr[entry.Addr]
	if h == nil {
		h = &Host{Addr: entry.Addr}
		g.hosts.byAddr[entry.Addr] = h
		g.hosts.ordered = append(g.hosts.ordered, h)
	}
	if h.limit == 0 || entry.StartedAt != h.warmUp.startedAt {
		g.startIncarnation(now, h, entry, meanWeight)
	}
	h.zone = entry.Zone
	h.cell = entry.Cell
	h.active = entry.State == stateActive
}

// startIncarnation forgets what was learned of an earlier incarnation of a host. Until answers tell, its size does.
func (g *Gateway) startIncarnation(now float64, h *Host, entry *HostEntry, meanWeight float64) {
	h.limit = min(initialHostLimit, initialHostShared/g.peers.live)
	h.latency.slowness = 1
	h.latency.best = 1
	h.health.answerGap = 0
	h.health.failures = 0
	h.health.ejected = false
	h.health.backoffUntil = 0
	h.warmUp.startedAt = entry.StartedAt
	if entry.Weight > 0 {
		h.latency.slowness = meanWeight / entry.Weight
		h.latency.best = meanWeight / entry.Weight
	}
	h.warmUp.nextSendGrowth = g.slowStart.growth(now, h.warmUp.startedAt) + g.random.Float64()*g.growthGap()
	h.warmUp.nextReleaseGrowth = 0
}
