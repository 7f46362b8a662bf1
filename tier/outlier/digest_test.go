package outlier

import (
	"testing"

	"otterseam/internal/digesttest"
)

// digestFleet simulates a fleet and adds its state to the digest at regular intervals.
func digestFleet(d *digesttest.Digest, f *fleet, samples int, fails func(gateway, host int) bool) {
	const sampleInterval = 50 // milliseconds
	for range samples {
		f.run(sampleInterval, fails)
		d.Int(f.now, int64(f.failed), int64(f.countEjected()))
		for _, host := range f.hosts {
			d.Int(f.ejectedUntil[host], f.ejectedAt[host])
		}
		for i := range f.gateways {
			d.Int(f.pending[i])
		}
	}
	for _, gateway := range f.gateways {
		d.Bytes(gateway.Flush().Encode())
	}
}

// Digests of which hosts are ejected, when and for how long, in fleets where some hosts fail, where all hosts fail, and where two
// zones are partitioned.
func TestFleetDigests(t *testing.T) {
	digesttest.Check(t, "bad-hosts", func(_ *testing.T, seed int64, d *digesttest.Digest) {
		f := newFleet(uint64(seed), 20, 40, 4, 30)
		f.sameZone = 0.5 * float64(seed%2)
		digestFleet(d, f, 200, func(_, host int) bool { return host < 4 && f.stream.Float64() < 0.5 })
		digestFleet(d, f, 100, func(int, int) bool { return false })
	})
	digesttest.Check(t, "everywhere", func(_ *testing.T, seed int64, d *digesttest.Digest) {
		f := newFleet(uint64(seed), 68, 106, 5, 9)
		digestFleet(d, f, 60, func(int, int) bool { return f.stream.Float64() < 0.3 })
	})
	digesttest.Check(t, "zone-cut", func(_ *testing.T, seed int64, d *digesttest.Digest) {
		f := newFleet(uint64(seed), 68, 106, 5, 9)
		digestFleet(d, f, 60, func(gateway, host int) bool { return gateway%5 == 0 && host%5 == 1 })
	})
}
