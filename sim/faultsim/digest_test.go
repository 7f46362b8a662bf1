package faultsim

import (
	"testing"

	"otterseam/internal/digesttest"
)

// digestOutcome adds what a simulation ended with. The times of recovery follow from all that was drawn and decided before them.
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

// The eager simulations have the adversary take disks more often, on a state that takes a while to copy.
const (
	eagerSpaced = 500 // milliseconds
	eagerLength = 20_000
	eagerState  = 64 << 10
)

func TestShardDigests(t *testing.T) {
	digesttest.Check(t, "shard", func(t *testing.T, seed int64, d *digesttest.Digest) {
		digestOutcome(t, d, SimulateShard(seed, shardOptions(seed)))
		eager := shardOptions(seed)
		eager.MaxFaultInterval, eager.Duration, eager.StateBytes = eagerSpaced, eagerLength, eagerState
		digestOutcome(t, d, SimulateShard(seed, eager))
	})
}

func TestControlDigests(t *testing.T) {
	digesttest.Check(t, "control", func(t *testing.T, seed int64, d *digesttest.Digest) {
		digestOutcome(t, d, SimulateControl(seed, controlOptions(seed)))
		eager := controlOptions(seed)
		eager.MaxFaultInterval, eager.Duration, eager.StateBytes = eagerSpaced, eagerLength, eagerState
		digestOutcome(t, d, SimulateControl(seed, eager))
	})
}
