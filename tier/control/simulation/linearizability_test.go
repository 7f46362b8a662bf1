package simulation

import (
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// playHistory simulates a seed and returns the history of the operators' calls.
func playHistory(t testing.TB, seed int64, fault protocolFault) *callHistory {
	s := newMembersOnly(t, seed)
	history := &callHistory{fault: fault}
	s.addConfigOperators(history)
	s.planHistoryFaults(fault)
	s.play(historyRunLength)
	return history
}

const (
	historySeedsVariable = "TIER_ORDER_SEEDS"
	defaultHistorySeeds  = 100
	checkTimeout         = time.Minute
)

func historySeeds() int64 {
	if n, err := strconv.ParseInt(os.Getenv(historySeedsVariable), 10, 64); err == nil {
		return n
	}
	return defaultHistorySeeds
}

// The calls of several operators through any member are linearizable with respect to a register that remembers the results of changes.
// TIER_ORDER_SEEDS sets the number of seeds.
func TestConfigCallsAreLinearizable(t *testing.T) {
	var definiteResults atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range historySeeds() {
			t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
				t.Parallel()
				history := playHistory(t, seed, noFault)
				if got := history.check(); got != porcupine.Ok {
					t.Fatalf("check result %s for %d calls", got, len(history.operations))
				}
				definiteResults.Add(history.definiteResults())
			})
		}
	})
	if minResults := 2 * historySeeds() * operatorCount; definiteResults.Load() < minResults {
		t.Fatalf("only %d calls got a definite answer", definiteResults.Load())
	}
	t.Logf("%d seeds, %d calls with a definite answer", historySeeds(), definiteResults.Load())
}

const maxFaultSeeds = 60

func TestLinearizabilityCheckFindsFaults(t *testing.T) {
	for name, fault := range map[string]protocolFault{
		"reads are answered without a commit":            readsWithoutCommit,
		"changes are answered before they are committed": answersBeforeCommit,
		"uncertain changes are rejected":                 rejectsUncertainChanges,
		"results of changes are forgotten":               forgetsAnswers,
		"a restart loses the last writes to disk":        losesWrites,
		"changes are applied to any base":                ignoresBase,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(maxFaultSeeds) {
				history := playHistory(t, seed, fault)
				if got := history.check(); got == porcupine.Illegal {
					t.Logf("found by seed %d", seed)
					return
				}
			}
			t.Fatalf("not found by %d seeds", maxFaultSeeds)
		})
	}
}
