package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetOf returns hosts spread over zones, each with a known number of requests of other gateways.
func fleetOf(now time.Time, zones int, others ...int) []*Host {
	all := hosts(len(others))
	for i, count := range others {
		all[i].Zone = string(rune('A' + i%zones))
		all[i].UpdateOthers(count, now)
	}
	return all
}

func TestRequestsOfOtherGatewaysExpire(t *testing.T) {
	now := time.Now()
	all := fleetOf(now, 1, 5, 0)
	all[1].Begin()
	if got := Choose(all, Request{Zone: "A", Random: zeroRandom}, now); got.ID != "b" {
		t.Fatal("requests of other gateways are not counted")
	}
	if got := Choose(all, Request{Zone: "A", Random: zeroRandom}, now.Add(otherRequestsTTL)); got.ID != "a" {
		t.Fatal("outdated requests of other gateways are counted")
	}
}

func TestLoadSpillsOverToOtherZones(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		others []int // by host; the hosts are in zones A and B alternately
		want   string
	}{
		"local zone has capacity": {[]int{4, 0, 5, 0}, "a"},
		"local zone is loaded":    {[]int{8, 2, 9, 3}, "b"},
		"all zones are loaded":    {[]int{8, 8, 9, 9}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			request := Request{Zone: "A", Random: zeroRandom, FleetRequestRate: 1, KnowsZone: true}
			if got := Choose(fleetOf(now, 2, test.others...), request, now); got.ID != test.want {
				t.Fatalf("chose %s, want %s", got.ID, test.want)
			}
		})
	}
}

// The more requests are sent between two load updates, the fewer hosts are sampled for each of them.
func TestSamplesShrinkWithTheFleetRequestRate(t *testing.T) {
	for rate, want := range map[float64]int{1: 100, 8: 50, 40: 10, 4000: minSample} {
		if got := sampleSize(100, sampleShare(rate)); got != want {
			t.Errorf("at %v requests per second %d of 100 hosts are sampled, want %d", rate, got, want)
		}
	}
	if got := sampleSize(1, sampleShare(4000)); got != 1 {
		t.Errorf("%d hosts are sampled of one", got)
	}
}

// Gateways that all see the same idle host at the same time do not all choose it.
func TestIdleHostAttractsNoThunderingHerd(t *testing.T) {
	const gateways = 300
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	others := make([]int, 120)
	for i := 1; i < len(others); i++ {
		others[i] = 4
	}
	chosen := 0
	for range gateways {
		request := Request{Zone: "A", Random: random.Float64, FleetRequestRate: 1000}
		if Choose(fleetOf(now, 1, others...), request, now).ID == hosts(1)[0].ID {
			chosen++
		}
	}
	if chosen > gateways/20 {
		t.Fatalf("%d of %d gateways chose the idle host", chosen, gateways)
	}
}

func TestHostWithThePrefixCacheIsInEverySample(t *testing.T) {
	now := time.Now()
	others := make([]int, 60)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		all := fleetOf(now, 3, others...)
		request := Request{Zone: "A", Preferred: all[31].ID, Random: random.Float64, FleetRequestRate: 1000}
		if got := Choose(all, request, now); got != all[31] {
			t.Fatalf("chose %s", got.ID)
		}
	}
}

// When all hosts are full, a request stays at the host with its prefix cache, unless that host's load is far above the others'. When
// the requests of other gateways are unknown, the request leaves a full host.
func TestPrefixCachesAreKeptWhenAllHostsAreFull(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		others []int
		rate   float64
		want   string
	}{
		"all full":                         {[]int{12, 12, 12}, 1, "b"},
		"far above the others":             {[]int{8, 12, 8}, 1, "a"},
		"all full, unknown other requests": {[]int{11, 12, 12}, 0, "a"},
		"slightly above the others":        {[]int{9, 12, 10}, 1, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			request := Request{Zone: "A", Preferred: "b", Random: zeroRandom, FleetRequestRate: test.rate, KnowsZone: true}
			if got := Choose(fleetOf(now, 1, test.others...), request, now); got.ID != test.want {
				t.Fatalf("chose %s, want %s", got.ID, test.want)
			}
		})
	}
}

func TestSampledChoiceIsAlwaysEligible(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Now()
		all := fleetOf(now, 2, rapid.SliceOfN(rapid.IntRange(0, 20), 1, 12).Draw(rt, "others")...)
		tried := map[string]bool{}
		left := 0
		for _, host := range all {
			host.Draining = rapid.Bool().Draw(rt, "draining")
			tried[host.ID] = rapid.Bool().Draw(rt, "tried")
			if !host.Draining && !tried[host.ID] {
				left++
			}
		}
		request := Request{
			Zone: "A", Tried: tried, FleetRequestRate: rapid.Float64Range(0.1, 5000).Draw(rt, "rate"), KnowsZone: rapid.Bool().Draw(rt, "knows"),
			Random: func() float64 { return rapid.Float64Range(0, 1).Draw(rt, "random") },
		}
		got := Choose(all, request, now)
		if (got == nil) != (left == 0) || (got != nil && (got.Draining || tried[got.ID])) {
			rt.Fatalf("chose %+v of %d eligible hosts", got, left)
		}
	})
}
