package faultsim

import (
	"testing"

	"otterseam/internal/digesttest"
)

// digestOutcome adds what a play came to. The times of the repairs follow from all that was drawn and decided before them.
func digestOutcome(t *testing.T, d *digesttest.Digest, outcome Outcome) {
	t.Helper()
	if outcome.Fault != "" {
		t.Error(outcome.Fault)
	}
	d.Int(int64(outcome.Acknowledged), int64(outcome.Strikes), int64(len(outcome.Protected)))
	d.Int(outcome.Protected...)
	d.Int(int64(len(outcome.Full)))
	d.Int(outcome.Full...)
}

// The eager plays have the adversary strike more often, on a state that takes a while to copy.
const (
	eagerSpaced = 500 // milliseconds
	eagerLength = 20_000
	eagerState  = 64 << 10
)

func TestShardDigests(t *testing.T) {
	digesttest.Check(t, "shard", func(t *testing.T, seed int64, d *digesttest.Digest) {
		digestOutcome(t, d, PlayShard(seed, shardOptions(seed)))
		eager := shardOptions(seed)
		eager.Spaced, eager.Length, eager.StateSize = eagerSpaced, eagerLength, eagerState
		digestOutcome(t, d, PlayShard(seed, eager))
	})
}

func TestControlDigests(t *testing.T) {
	digesttest.Check(t, "control", func(t *testing.T, seed int64, d *digesttest.Digest) {
		digestOutcome(t, d, PlayControl(seed, controlOptions(seed)))
		eager := controlOptions(seed)
		eager.Spaced, eager.Length, eager.StateSize = eagerSpaced, eagerLength, eagerState
		digestOutcome(t, d, PlayControl(seed, eager))
	})
}
