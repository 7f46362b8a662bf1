package outlier

import (
	"os"
	"slices"
	"strconv"
	"testing"
)

// seeds is how many seeds are played: OUTLIER_SEEDS, or a few.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("OUTLIER_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 20
}

// A tenth of the hosts fail half of their requests: the fleet knows soon, at any size, and ejects nobody else.
func TestBadHostsAreEjectedSoon(t *testing.T) {
	for _, size := range []struct {
		gateways, hosts, zones int
		sameZone               float64
	}{{3, 12, 3, 0}, {68, 106, 5, 0}, {68, 106, 5, 0.95}, {410, 1100, 19, 0.95}} {
		var times []int64
		needless, played := 0, 0
		count := seeds()
		if size.gateways > 100 {
			count = max(count/10, 2)
		}
		for seed := range count {
			f := newFleet(seed, size.gateways, size.hosts, size.zones, 9)
			f.sameZone = size.sameZone
			bad := size.hosts / 10
			began := f.now
			f.run(3000, func(_, host int) bool { return host < bad && f.stream.Float64() < 0.5 })
			for host := range bad {
				at, ejected := f.ejectedAt[f.hosts[host]]
				if !ejected {
					at = f.now
				}
				times = append(times, at-began)
			}
			for host := range f.ejectedAt {
				if !slices.Contains(f.hosts[:bad], host) {
					needless++
				}
			}
			played += size.hosts - bad
		}
		slices.Sort(times)
		median, ninetieth := times[len(times)/2], times[len(times)*9/10]
		t.Logf("%+v: ejections after %d ms, nine in ten by %d ms; %d good hosts of %d ejected", size, median, ninetieth, needless, played)
		if median > 1200 || ninetieth > 2000 || needless*100 > played {
			t.Errorf("%+v: ejections after %d ms, nine in ten by %d ms; %d good hosts of %d ejected", size, median, ninetieth, needless, played)
		}
	}
}

// A fleet that fails everywhere makes nobody an outlier; errors that requests bring along don't either.
func TestAFleetThatFailsEverywhereEjectsNobody(t *testing.T) {
	for seed := range seeds() {
		for _, share := range []float64{0.01, 0.1, 0.6} {
			f := newFleet(seed, 68, 106, 5, 9)
			f.run(6000, func(_, _ int) bool { return f.stream.Float64() < share })
			if len(f.ejectedAt) > 5 { // one in twenty
				t.Errorf("seed %d: with a share of %v failing everywhere, %d hosts of 106 were ejected", seed, share, len(f.ejectedAt))
			}
		}
	}
}

// A gateway whose own network fails, and a zone cut off from another, eject nobody, or one host in a hundred.
func TestTheReportersOwnFaultEjectsNobody(t *testing.T) {
	for name, fails := range map[string]func(gateway, host int) bool{
		"one gateway":  func(gateway, _ int) bool { return gateway == 3 },
		"two gateways": func(gateway, _ int) bool { return gateway == 3 || gateway == 4 },
		"a zone cut":   func(gateway, host int) bool { return gateway%5 == 0 && host%5 == 1 },
	} {
		ejected, played := 0, 0
		for seed := range seeds() {
			f := newFleet(seed, 68, 106, 5, 9)
			f.run(5000, fails)
			ejected += len(f.ejectedAt)
			played += len(f.hosts)
		}
		t.Logf("%s: %d of %d hosts were ejected", name, ejected, played)
		if ejected*100 > played {
			t.Errorf("%s: %d of %d hosts were ejected", name, ejected, played)
		}
	}
}

// However many fail, a share of the service stays, and one host at least.
func TestMostOfAServiceIsNeverEjected(t *testing.T) {
	for _, hosts := range []int{1, 2, 5, 50} {
		f := newFleet(1, 20, hosts, 4, 40)
		most := 0
		for range 40 {
			f.run(100, func(_, host int) bool { return host >= hosts/2 })
			most = max(most, f.countEjected())
		}
		if allowed := maxEjected(hosts); most > allowed {
			t.Errorf("%d of %d hosts ejected", most, hosts)
		}
	}
}

// A host that fails on is ejected for longer each time; one that is well again is not ejected any more.
func TestEjectionsGrowAndEnd(t *testing.T) {
	f := newFleet(1, 20, 20, 4, 20)
	f.run(20_000, func(_, host int) bool { return host == 0 })
	bad := f.detector.hosts["h0"]
	if bad == nil || bad.ejections < 3 {
		t.Fatalf("%+v", bad)
	}
	lost := f.failed
	if lost > 60 {
		t.Errorf("%d requests were lost in 20 s", lost)
	}
	f.run(40_000, func(int, int) bool { return false })
	if f.countEjected() != 0 || f.failed != lost {
		t.Error("a host that is well again is still ejected")
	}
}
