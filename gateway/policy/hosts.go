package policy

import (
	"maps"
	"slices"
	"strings"
)

// Host is this instance's state of a backend host.
type Host struct {
	Addr     string
	zone     string
	cell     int
	active   bool       // listed as one that may get new attempts
	inFlight []*Attempt // from this instance, in the order of sending
	limit    float64    // maximum number of attempts in flight; 0: not initialized yet
	warmUp   warmUp
	latency  hostLatency
	health   hostHealth
}

// hostLatency measures how slowly a host answers. Slowness is the ratio of an answer's time to its operation's base latency.
type hostLatency struct {
	slowness     float64 // moving average
	best         float64 // least slowness; rises slowly
	costSlowness float64 // slowness for which cost was computed
	cost         float64
}

// hostTable holds the listed hosts, and removed hosts that still have attempts in flight.
type hostTable struct {
	ordered            []*Host // by address
	byAddr             map[string]*Host
	connectFailureRate float64 // moving average of the fraction of attempts that got no connection
}

// remove removes an attempt from those in flight.
func (h *Host) remove(attempt *Attempt) {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(x *Attempt) bool { return x == attempt })
}

// UpdateHosts applies a list of hosts. If complete is set it replaces the known list, otherwise it holds only changes.
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
	removable := func(h *Host) bool { return !h.active && len(h.inFlight) == 0 }
	g.hosts.ordered = slices.DeleteFunc(g.hosts.ordered, removable)
	maps.DeleteFunc(g.hosts.byAddr, func(_ string, h *Host) bool { return removable(h) })
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

// startIncarnation resets the state of a host that has started anew. Its weight determines the slowness that is assumed until it
// answers.
func (g *Gateway) startIncarnation(now float64, h *Host, entry *HostEntry, meanWeight float64) {
	h.limit = min(initialHostLimit, initialHostLimitTotal/g.peers.live)
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
	h.warmUp.nextSendCapacity = g.slowStart.cumulativeCapacity(now, h.warmUp.startedAt) + g.random.Float64()*g.capacityGap()
	h.warmUp.nextReleaseCapacity = 0
}
