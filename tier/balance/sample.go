package balance

import (
	"math"
	"time"
)

const (
	// fleetInfoAge is the average age, in seconds, of a gateway's information about the requests of other gateways.
	fleetInfoAge = 0.25
	// minSample is the smallest sample size: two random choices (Mitzenmacher, "How Useful Is Old Information?", 2000).
	minSample = 2
	// spilloverLoad is the load of the best sampled host of the local zone at or above which hosts of other zones are sampled too.
	spilloverLoad = 0.6
)

// chooseFromSample returns the best host of a random sample. All gateways see nearly the same loads. If each of them chose the least
// loaded host of all, they would all choose the same one until the next load update. The more requests are sent between two updates,
// the smaller the sample. It always includes the host with the prefix cache.
func chooseFromSample(hosts []*Host, request Request, now time.Time) *Host {
	var local, remote []*Host
	var sample []*Host
	for _, host := range hosts {
		switch {
		case host.ID == request.Preferred:
			sample = append(sample, host)
		case host.Zone == request.Zone:
			local = append(local, host)
		default:
			remote = append(remote, host)
		}
	}
	share := sampleShare(request.FleetRequestRate)
	if request.KnowsZone {
		sample = append(sample, local...)
	} else {
		sample = append(sample, draw(local, sampleSize(len(local), share), request.Random)...)
	}
	best := lowestScore(sample, request, now)
	if best != nil && best.load(now) < spilloverLoad {
		return best
	}
	sample = append(sample, draw(remote, sampleSize(len(remote), share), request.Random)...)
	return lowestScore(sample, request, now)
}

// sampleShare returns the share of the hosts that is sampled. It is small enough that the requests sent before the next load update
// can each go to a different host.
func sampleShare(fleetRequestRate float64) float64 {
	return 1 / math.Max(fleetRequestRate*fleetInfoAge, 1)
}

// sampleSize returns how many of the hosts are sampled.
func sampleSize(hosts int, share float64) int {
	return min(hosts, max(minSample, int(math.Round(float64(hosts)*share))))
}

// draw returns count hosts chosen at random without replacement. It reorders the slice.
func draw(hosts []*Host, count int, random func() float64) []*Host {
	for i := range count {
		other := i + min(int(random()*float64(len(hosts)-i)), len(hosts)-i-1)
		hosts[i], hosts[other] = hosts[other], hosts[i]
	}
	return hosts[:count]
}
