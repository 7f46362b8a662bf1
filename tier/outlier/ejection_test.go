package outlier

import (
	"os"
	"slices"
	"strconv"
	"testing"
)

// seeds returns the number of seeds to simulate: the environment variable OUTLIER_SEEDS, or a small default.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("OUTLIER_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 20
}

// If a tenth of the hosts fail half of their requests, these hosts are ejected soon, in a fleet of any size, and few others are.
func TestBadHostsAreEjectedSoon(t *testing.T) {
	for _, size := range []struct {
		gateways, hosts, zones int
		sameZone               float64
	}{{3, 12, 3, 0}, {68, 106, 5, 0}, {68, 106, 5, 0.95}, {410, 1100, 19, 0.95}} {
		var times []int64
		needless, healthy := 0, 0
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
			healthy += size.hosts - bad
		}
		slices.Sort(times)
		median, ninetieth := times[len(times)/2], times[len(times)*9/10]
		t.Logf("%+v: ejections after %d ms, nine in ten by %d ms; %d of %d healthy hosts ejected", size, median, ninetieth, needless, healthy)
		if median > 1200 || ninetieth > 2000 || needless*100 > healthy {
			t.Errorf("%+v: ejections after %d ms, nine in ten by %d ms; %d of %d healthy hosts ejected", size, median, ninetieth, needless, healthy)
		}
	}
}

// If all hosts fail equally often, for example because the requests cause the errors, hardly any host is an outlier.
func TestFleetWithEqualFailuresEjectsFewHosts(t *testing.T) {
	for seed := range seeds() {
		for _, share := range []float64{0.01, 0.1, 0.6} {
			f := newFleet(seed, 68, 106, 5, 9)
			f.run(6000, func(_, _ int) bool { return f.stream.Float64() < share })
			if len(f.ejectedAt) > 5 { // one in twenty
				t.Errorf("seed %d: with a failure rate of %v at all hosts, %d hosts of 106 were ejected", seed, share, len(f.ejectedAt))
			}
		}
	}
}

// A gateway whose own network fails, or a partition between two zones, causes the ejection of at most one host in a hundred.
func TestReporterFaultEjectsFewHosts(t *testing.T) {
	for name, fails := range map[string]func(gateway, host int) bool{
		"one gateway":         func(gateway, _ int) bool { return gateway == 3 },
		"two gateways":        func(gateway, _ int) bool { return gateway == 3 || gateway == 4 },
		"a network partition": func(gateway, host int) bool { return gateway%5 == 0 && host%5 == 1 },
	} {
		ejected, total := 0, 0
		for seed := range seeds() {
			f := newFleet(seed, 68, 106, 5, 9)
			f.run(5000, fails)
			ejected += len(f.ejectedAt)
			total += len(f.hosts)
		}
		t.Logf("%s: %d of %d hosts were ejected", name, ejected, total)
		if ejected*100 > total {
			t.Errorf("%s: %d of %d hosts were ejected", name, ejected, total)
		}
	}
}

// However many hosts fail, no more than the maximum share of a service is ejected, and never the last host.
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

// A host that keeps failing is ejected for longer each time. A host that has recovered is no longer ejected.
func TestEjectionsGrowAndEnd(t *testing.T) {
	f := newFleet(1, 20, 20, 4, 20)
	f.run(20_000, func(_, host int) bool { return host == 0 })
	bad := f.detector.hosts["h0"]
	if bad == nil || bad.ejections < 3 {
		t.Fatalf("%+v", bad)
	}
	failures := f.failed
	if failures > 60 {
		t.Errorf("%d requests failed in 20 s", failures)
	}
	f.run(40_000, func(int, int) bool { return false })
	if f.countEjected() != 0 || f.failed != failures {
		t.Error("a host that has recovered is still ejected")
	}
}
