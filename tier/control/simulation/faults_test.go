package simulation

import (
	"os"
	"strconv"
	"testing"
)

const faultSeedsVariable = "TIER_CONTROL_SEEDS"

func faultSeeds() int64 {
	if n, err := strconv.ParseInt(os.Getenv(faultSeedsVariable), 10, 64); err == nil {
		return n
	}
	return defaultSeeds
}

// While members are cut off in any direction and stand still, none hands out an old configuration past its lease, no confirmed
// order is lost or missed by a read, no live host or store is given up, and a connected majority goes on taking orders and keeps
// its primary. TIER_CONTROL_SEEDS sets how many seeds are played.
func TestControlKeepsItsGuaranteesUnderFaults(t *testing.T) {
	for seed := range faultSeeds() {
		playFaults(t, seed)
	}
}

// Seeds that were condemned once, in larger hunts: two candidates that preempted each other for ever; a record that a minority had
// accepted, which was never decided and which every later candidate wanted to replace.
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []int64{26223, 22636} {
		playFaults(t, seed)
	}
}

// playFaults plays a seed as a parallel subtest.
func playFaults(t *testing.T, seed int64) {
	t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
		t.Parallel()
		s := newNetwork(t, seed)
		s.planFaults()
		s.every(200, func() {
			s.checkHostLists()
			s.checkProgress()
		})
		s.play(runLength)
		s.checkFinalState()
	})
}
