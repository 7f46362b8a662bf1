package simulation

import (
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// playLinear plays a seed and returns what the operators saw.
func playLinear(t testing.TB, seed int64, fault linearFault) *linearHistory {
	s := newMembers(t, seed)
	history := &linearHistory{fault: fault}
	s.addLinearOperators(history)
	s.planOrderFaults(fault)
	s.play(linearLength)
	return history
}

const (
	linearSeedsVariable = "TIER_ORDER_SEEDS"
	linearStandardSeeds = 100
	linearCheckLimit    = time.Minute
)

func linearSeeds() int64 {
	if n, err := strconv.ParseInt(os.Getenv(linearSeedsVariable), 10, 64); err == nil {
		return n
	}
	return linearStandardSeeds
}

// What several operators see through any member is the history of one register that knows the orders it answered. TIER_ORDER_SEEDS
// sets how many seeds are played.
func TestOrdersAreLinearizable(t *testing.T) {
	var clearAnswers atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range linearSeeds() {
			t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
				t.Parallel()
				history := playLinear(t, seed, noLinearFault)
				if got := history.judge(); got != porcupine.Ok {
					t.Fatalf("%s, %d calls", got, len(history.operations))
				}
				clearAnswers.Add(history.clear())
			})
		}
	})
	if least := 2 * linearSeeds() * operatorCount; clearAnswers.Load() < least {
		t.Fatalf("only %d calls got a clear answer", clearAnswers.Load())
	}
	t.Logf("%d seeds, %d calls with a clear answer", linearSeeds(), clearAnswers.Load())
}

const linearFaultSeeds = 60

func TestWrongOrdersAreFound(t *testing.T) {
	for name, fault := range map[string]linearFault{
		"a member reads its own state":             readsWithoutCommit,
		"an order is answered when it is proposed": answersBeforeCommit,
		"an unclear order is refused":              refusesWhatIsUnclear,
		"the answers are forgotten":                forgetsAnswers,
		"a restart loses the last writes":          losesWrites,
		"an order is taken on any base":            takesAnyBase,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(linearFaultSeeds) {
				history := playLinear(t, seed, fault)
				if got := history.judge(); got == porcupine.Illegal {
					t.Logf("found by seed %d", seed)
					return
				}
			}
			t.Fatalf("not found by %d seeds", linearFaultSeeds)
		})
	}
}
