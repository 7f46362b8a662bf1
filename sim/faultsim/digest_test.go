package faultsim

import (
	"testing"

	"otterseam/internal/digesttest"
)

// digestOutcome adds an outcome to a digest. Its recovery times depend on everything that was drawn and decided before them.
func digestOutcome(t *testing.T, d *digesttest.Digest, outcome Outcome) {
	t.Helper()
	if outcome.Violation != "" {
		t.Error(outcome.Violation)
	}
	d.Int(int64(outcome.Acknowledged), int64(outcome.DisksLost), int64(len(outcome.ProtectedAfter)))
	d.Int(outcome.ProtectedAfter...)
	d.Int(int64(len(outcome.FullAfter)))
	d.Int(outcome.FullAfter...)
}

// In the simulations with frequent faults the adversary destroys disks more often, on a state that takes a while to copy.
const (
	frequentFaultInterval   = 500 // milliseconds
	frequentFaultDuration   = 20_000
	frequentFaultStateBytes = 64 << 10
)

func TestShardDigests(t *testing.T) {
	digesttest.Check(t, "shard", func(t *testing.T, seed int64, d *digesttest.Digest) {
		digestOutcome(t, d, SimulateShard(seed, shardOptions(seed)))
		frequent := shardOptions(seed)
		frequent.MaxFaultInterval, frequent.Duration, frequent.StateBytes = frequentFaultInterval, frequentFaultDuration, frequentFaultStateBytes
		digestOutcome(t, d, SimulateShard(seed, frequent))
	})
}

func TestControlDigests(t *testing.T) {
	digesttest.Check(t, "control", func(t *testing.T, seed int64, d *digesttest.Digest) {
		digestOutcome(t, d, SimulateControl(seed, controlOptions(seed)))
		frequent := controlOptions(seed)
		frequent.MaxFaultInterval, frequent.Duration, frequent.StateBytes = frequentFaultInterval, frequentFaultDuration, frequentFaultStateBytes
		digestOutcome(t, d, SimulateControl(seed, frequent))
	})
}
