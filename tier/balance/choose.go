package balance

import (
	"math"
	"time"
)

// Bonuses and penalties change a host's score, which is in units of load: 1 is a host whose slots are all taken.
const (
	localZoneBonus      = 0.10
	idleConnectionBonus = 0.05

	// affinityBonus is that of the host that holds the prefix cache of the request. Where the load of the others is not known, it
	// has the bonus only while its load is below affinityMaxLoad. Where it is known, there is no such bound: when all hosts are
	// full, each request that leaves its prefix cache has another host read its prompt again, and they get fuller still.
	affinityBonus   = 0.35
	affinityMaxLoad = 0.85

	errorRatePenalty = 2.0 // of a host that always fails
	stallPenalty     = 1.0 // of a host whose requests are all stalled

	// tieBreak spreads the scores of hosts that are otherwise equal.
	tieBreak = 0.02
)

// Request is what a choice depends on besides the hosts.
type Request struct {
	Zone      string          // of this gateway
	Preferred string          // host with the prefix cache of the earlier turns; empty if not known
	Tried     map[string]bool // hosts that this request has been sent to
	Random    func() float64  // between 0 and 1
	// FleetRequestRate is the number of requests per second that all gateways together send to hosts. It is 0 if this gateway does
	// not know what the other gateways have in flight.
	FleetRequestRate float64
	// KnowsZone says that what is in flight at the hosts of the zone is known as of now: requests to them are placed here alone.
	KnowsZone bool
}

// Choose returns the host to send a request to, or nil if there is none. Hosts that back off or are ejected are used only when no
// other is left.
func Choose(hosts []*Host, request Request, now time.Time) *Host {
	candidates := eligible(hosts, request, now, false)
	if len(candidates) == 0 {
		candidates = eligible(hosts, request, now, true)
	}
	if request.FleetRequestRate > 0 {
		return chooseOfSample(candidates, request, now)
	}
	return lowestScore(candidates, request, now)
}

// eligible lists the hosts that may take a request, the unhealthy ones too if they are included.
func eligible(hosts []*Host, request Request, now time.Time, includeUnhealthy bool) []*Host {
	candidates := make([]*Host, 0, len(hosts))
	for _, host := range hosts {
		if host.Draining || request.Tried[host.ID] {
			continue
		}
		if !includeUnhealthy && (now.Before(host.backoffUntil) || host.isEjected(now, request.Random)) {
			continue
		}
		candidates = append(candidates, host)
	}
	return candidates
}

// lowestScore returns the host with the lowest score, nil of none.
func lowestScore(hosts []*Host, request Request, now time.Time) *Host {
	var best *Host
	bestScore := math.Inf(1)
	for _, host := range hosts {
		if score := host.score(request, now); score < bestScore {
			best = host
			bestScore = score
		}
	}
	return best
}

// score is the load of the host as it counts for a request.
func (h *Host) score(request Request, now time.Time) float64 {
	load := h.load(now)
	stallShare := h.stallShare()
	score := load + request.Random()*tieBreak + h.decayedErrorRate(now)*errorRatePenalty + stallShare*stallPenalty
	if h.Zone == request.Zone {
		score -= localZoneBonus
	}
	if h.HasIdleConnection != nil && h.HasIdleConnection() {
		score -= idleConnectionBonus
	}
	if h.ID == request.Preferred && stallShare < 1 && (request.FleetRequestRate > 0 || load < affinityMaxLoad) {
		score -= affinityBonus
	}
	return score
}
