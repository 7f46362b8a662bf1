package balance

import (
	"math"
	"time"
)

// Bonuses and penalties that change a host's score. The score is in units of load, where 1 means that all slots of the host are in
// use. The host with the lowest score is chosen.
const (
	localZoneBonus      = 0.10
	idleConnectionBonus = 0.05

	// affinityBonus is the bonus of the host that holds the prefix cache of the request. If the requests of other gateways are
	// unknown, the bonus applies only while the host's load is below affinityMaxLoad. If they are known, there is no such bound:
	// when all hosts are full, a request that is sent away from its prefix cache makes another host process the prompt again, which
	// increases the load further.
	affinityBonus   = 0.35
	affinityMaxLoad = 0.85

	errorRatePenalty = 2.0 // at an error rate of 1
	stallPenalty     = 1.0 // when all requests of this gateway at the host are stalled

	// tieBreak is the range of the random term that separates hosts with equal scores.
	tieBreak = 0.02
)

// Request holds the inputs of a choice other than the hosts.
type Request struct {
	Zone      string          // zone of this gateway
	Preferred string          // ID of the host with the prefix cache of the earlier turns; empty if unknown
	Tried     map[string]bool // IDs of the hosts that this request was already sent to
	Random    func() float64  // returns a random number between 0 and 1
	// FleetRequestRate is the number of requests per second that all gateways together send to hosts. It is 0 if this gateway does
	// not know what the other gateways have in flight.
	FleetRequestRate float64
	// KnowsZone is set if the number of requests in flight at the hosts of the zone is up to date, because this process alone
	// places requests on them.
	KnowsZone bool
}

// Choose returns the host to send a request to, or nil if there is none. Hosts that are backing off or ejected are used only if no
// other host is left.
func Choose(hosts []*Host, request Request, now time.Time) *Host {
	candidates := eligible(hosts, request, now, false)
	if len(candidates) == 0 {
		candidates = eligible(hosts, request, now, true)
	}
	if request.FleetRequestRate > 0 {
		return chooseFromSample(candidates, request, now)
	}
	return lowestScore(candidates, request, now)
}

// eligible returns the hosts that may receive the request. It leaves out draining hosts and hosts already tried, and, unless
// includeUnhealthy is set, hosts that are backing off or ejected.
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

// lowestScore returns the host with the lowest score, or nil if there are no hosts.
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

// score returns the cost of sending a request to the host: its load, adjusted by bonuses and penalties.
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
