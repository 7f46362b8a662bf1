package placementsim

import "testing"

// busyFleet returns a scenario in which each gateway sends too few requests to know the load of most hosts.
func busyFleet(policy Policy) Scenario {
	return Scenario{
		Policy: policy, Gateways: 120, Hosts: 48, Zones: 6, Slots: 8, Load: 0.85, Service: 0.4, Slowdown: 0.5, Duration: 6, Seed: 1,
	}
}

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	for _, policy := range []Policy{OwnKnowledge, HomePlacement} {
		if first, again := Run(busyFleet(policy)), Run(busyFleet(policy)); *first != *again {
			t.Errorf("%s: %+v, then %+v", policy, first, again)
		}
	}
}

// When homes place requests, waits are short and close to those of the omniscient choice. With only a gateway's own knowledge they are
// several times longer.
func TestHomesComeCloseToAnOmniscientChoice(t *testing.T) {
	own, home, best := Run(busyFleet(OwnKnowledge)), Run(busyFleet(HomePlacement)), Run(busyFleet(Omniscient))
	if home.WaitMean > own.WaitMean/4 || home.WaitMean > best.WaitMean+0.01 {
		t.Errorf("mean wait: own %.4f, home %.4f, omniscient %.4f", own.WaitMean, home.WaitMean, best.WaitMean)
	}
	if home.BusiestToMean > 1.25*best.BusiestToMean {
		t.Errorf("busiest to mean: home %.2f, omniscient %.2f", home.BusiestToMean, best.BusiestToMean)
	}
	if home.RemoteShare > 0.25 {
		t.Errorf("%.2f of the requests went to other zones", home.RemoteShare)
	}
	if home.BytesPerSecond > 6000 {
		t.Errorf("%.0f bytes a second for each gateway", home.BytesPerSecond)
	}
}

// When the preferred homes of all zones fail at once, requests are still served, and the waits are no longer than without homes.
func TestOtherHomesReplaceFailedOnes(t *testing.T) {
	scenario := busyFleet(HomePlacement)
	scenario.HomesFailAt = 3
	own, failed := Run(busyFleet(OwnKnowledge)), Run(scenario)
	if failed.WaitMean > own.WaitMean {
		t.Errorf("mean wait %.4f with homes that fail, %.4f without homes", failed.WaitMean, own.WaitMean)
	}
	if failed.Requests < own.Requests*9/10 {
		t.Errorf("%d requests served, %d without homes", failed.Requests, own.Requests)
	}
}

// Placement by homes shortens the longest waits when some hosts take three times as long, although no host is reported as slow.
func TestHomesShortenWaitsWithSlowHosts(t *testing.T) {
	scenario := busyFleet(HomePlacement)
	scenario.SlowHosts = 0.1
	blind := busyFleet(OwnKnowledge)
	blind.SlowHosts = 0.1
	if home, own := Run(scenario), Run(blind); home.WaitP99 > own.WaitP99/2 {
		t.Errorf("p99 of waiting: home %.3f, own %.3f", home.WaitP99, own.WaitP99)
	}
}
