package faultsim

import (
	"os"
	"runtime"
	"sort"
	"strconv"
	"sync"
	"testing"
)

const (
	seedsVariable = "TIER_SEEDS"
	standardSeeds = 120
)

func seeds() int {
	if n, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		return n
	}
	return standardSeeds
}

// simulateAll simulates seeds on half of the processors and returns the outcomes in the order of the seeds.
func simulateAll(count int, simulate func(seed int64) Outcome) []Outcome {
	outcomes := make([]Outcome, count)
	next := make(chan int)
	var wait sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range next {
				outcomes[seed] = simulate(int64(seed))
			}
		}()
	}
	for seed := range count {
		next <- seed
	}
	close(next)
	wait.Wait()
	return outcomes
}

// percentile returns a percentile of values in any order, or 0 if there are none.
func percentile(values []int64, percent int) int64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]int64(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// checkOutcomes checks that outcomes have no violations and that enough happened, and logs the recovery times.
func checkOutcomes(t *testing.T, outcomes []Outcome) {
	t.Helper()
	acknowledged, disksLost := 0, 0
	var protected, full []int64
	for seed, outcome := range outcomes {
		if outcome.Violation != "" {
			t.Errorf("seed %d: %s", seed, outcome.Violation)
		}
		acknowledged += outcome.Acknowledged
		disksLost += outcome.DisksLost
		protected = append(protected, outcome.ProtectedAfter...)
		full = append(full, outcome.FullAfter...)
	}
	t.Logf("%d seeds, %d disks lost, %d commands acknowledged; protected again p50 %d ms, p99 %d ms; fully replicated p50 %d ms, p99 %d ms",
		len(outcomes), disksLost, acknowledged, percentile(protected, 50), percentile(protected, 99), percentile(full, 50), percentile(full, 99))
	if disksLost < len(outcomes) || acknowledged < 100*len(outcomes) {
		t.Errorf("only %d disks were lost and %d commands acknowledged over %d seeds", disksLost, acknowledged, len(outcomes))
	}
}

const searchedSeeds = 300

// detectsViolation reports whether the simulation of any seed detects a violation. It begins with a seed that did before.
func detectsViolation(t *testing.T, hint int64, simulate func(seed int64) Outcome) bool {
	t.Helper()
	for attempt := int64(-1); attempt < searchedSeeds; attempt++ {
		seed := attempt
		if attempt < 0 {
			seed = hint
		}
		if outcome := simulate(seed); outcome.Violation != "" {
			t.Logf("seed %d: %.60s", seed, outcome.Violation)
			return true
		}
	}
	return false
}
