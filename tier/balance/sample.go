package balance

import (
	"math"
	"time"
)

const (
	// fleetDelay is how old, in seconds, what a gateway knows of the others' requests is on average.
	fleetDelay = 0.25
	// minSample is the smallest sample: two random choices (Mitzenmacher, "How useful is old information?", 2000).
	minSample = 2
	// crowdedLoad is the load of the best host of a sample of the own zone from which on hosts of other zones are sampled too.
	crowdedLoad = 0.6
)

// chooseOfSample returns the best host of a random sample. All gateways see nearly the same loads: were each to take the least loaded
// host of all, they would all take the same one until the next loads arrive. The sample is the smaller the more requests are sent
// meanwhile. The host with the prefix cache is in each sample.
func chooseOfSample(hosts []*Host, request Request, now time.Time) *Host {
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
	if best != nil && best.load(now) < crowdedLoad {
		return best
	}
	sample = append(sample, draw(remote, sampleSize(len(remote), share), request.Random)...)
	return lowestScore(sample, request, now)
}

// sampleShare is the share of the hosts that is sampled, so that each of the requests that are sent before the next loads arrive can
// have a host of its own.
func sampleShare(fleetBegins float64) float64 {
	return 1 / math.Max(fleetBegins*fleetDelay, 1)
}

func sampleSize(hosts int, share float64) int {
	return min(hosts, max(minSample, int(math.Round(float64(hosts)*share))))
}

// draw takes some hosts at random. It reorders the slice.
func draw(hosts []*Host, count int, random func() float64) []*Host {
	for i := range count {
		other := i + min(int(random()*float64(len(hosts)-i)), len(hosts)-i-1)
		hosts[i], hosts[other] = hosts[other], hosts[i]
	}
	return hosts[:count]
}
