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

// playAll plays seeds on half of the processors and returns the outcomes in order.
func playAll(count int, one func(seed int64) Outcome) []Outcome {
	outcomes := make([]Outcome, count)
	next := make(chan int)
	var wait sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range next {
				outcomes[seed] = one(int64(seed))
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

// percentile picks from figures that need not be in order.
func percentile(figures []int64, share int) int64 {
	if len(figures) == 0 {
		return 0
	}
	sorted := append([]int64(nil), figures...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, len(sorted)*share/100)]
}

// report checks outcomes and logs what was measured.
func report(t *testing.T, outcomes []Outcome) {
	t.Helper()
	acknowledged, strikes := 0, 0
	var protected, full []int64
	for seed, outcome := range outcomes {
		if outcome.Fault != "" {
			t.Errorf("seed %d: %s", seed, outcome.Fault)
		}
		acknowledged += outcome.Acknowledged
		strikes += outcome.Strikes
		protected = append(protected, outcome.Protected...)
		full = append(full, outcome.Full...)
	}
	t.Logf("%d seeds, %d disks lost, %d commands acknowledged; protected again p50 %d ms, p99 %d ms; all copies p50 %d ms, p99 %d ms",
		len(outcomes), strikes, acknowledged, percentile(protected, 50), percentile(protected, 99), percentile(full, 50), percentile(full, 99))
	if strikes < len(outcomes) || acknowledged < 100*len(outcomes) {
		t.Errorf("only %d disks were lost and %d commands acknowledged over %d seeds", strikes, acknowledged, len(outcomes))
	}
}

const searchedSeeds = 300

// firstFault looks for a seed whose play goes wrong, beginning with one that did before.
func firstFault(t *testing.T, hint int64, one func(seed int64) Outcome) bool {
	t.Helper()
	for attempt := int64(-1); attempt < searchedSeeds; attempt++ {
		seed := attempt
		if attempt < 0 {
			seed = hint
		}
		if outcome := one(seed); outcome.Fault != "" {
			t.Logf("seed %d: %.60s", seed, outcome.Fault)
			return true
		}
	}
	return false
}

// shardOptions vary with the seed.
func shardOptions(seed int64) ShardOptions {
	options := ShardOptions{Stores: 3 + int(seed%3), Tolerate: 1, Spaced: 5000, Length: 20_000}
	if seed%5 == 4 {
		options.Stores, options.Tolerate = 6, 2
	}
	if seed%2 == 1 {
		options.Spaced = 1200
	}
	return options
}

// Disks are lost 0 to 5 s apart, each time that of the replica that protects most and never more than the shard says that it
// bears, while stores leave, are killed together and are replaced: nothing acknowledged is lost and the shard is whole in the end.
func TestAShardBearsEachNextLoss(t *testing.T) {
	report(t, playAll(seeds(), func(seed int64) Outcome { return PlayShard(seed, shardOptions(seed)) }))
}

// Each fault put into the play of a shard is found.
func TestFaultsInAShardAreFound(t *testing.T) {
	bugs := []struct {
		name string
		bugs ShardBugs
		seed int64 // that found it last
	}{
		{"the view demands no number of copies", ShardBugs{NoMinCopies: true}, 15},
		{"commands don't wait for a replica on its way in", ShardBugs{AdmitLate: true}, 86},
		{"a replica is taken in whatever it holds", ShardBugs{AdmitLagging: true}, 1},
		{"a replica that is not in sync leads", ShardBugs{AnyLeads: true}, 0},
		{"silent replicas leave the set however few remain", ShardBugs{DropAnyone: true}, 5},
		{"silence counts as a lost disk", ShardBugs{LostBySilence: true}, 15},
		{"a machine that leaves for good ends at once", ShardBugs{LeaveAtOnce: true}, 1},
		{"a machine is retired when it no longer leads", ShardBugs{RetireEarly: true}, 29},
		{"a machine that lost its disk keeps its identity", ShardBugs{Bugs: Bugs{KeepIdentity: true}}, 7},
		{"a write counts as durable when it is begun", ShardBugs{Bugs: Bugs{EarlyDurable: true}}, 27},
	}
	for _, each := range bugs {
		t.Run(each.name, func(t *testing.T) {
			found := firstFault(t, each.seed, func(seed int64) Outcome {
				options := shardOptions(seed)
				options.Bugs = each.bugs
				return PlayShard(seed, options)
			})
			if !found {
				t.Error("not found")
			}
		})
	}
}

// The time until a shard bears the tolerated losses again, and until it has all its copies, by the size of its state.
func TestTimeToFullProtectionByShardSize(t *testing.T) {
	const plays = 12
	for _, size := range []int{0, 256 << 10, 4 << 20} {
		outcomes := playAll(plays, func(seed int64) Outcome {
			options := shardOptions(seed)
			options.StateSize = size
			options.Length = 12_000
			return PlayShard(seed, options)
		})
		var protected, full []int64
		for seed, outcome := range outcomes {
			if outcome.Fault != "" {
				t.Errorf("%d bytes, seed %d: %s", size, seed, outcome.Fault)
			}
			protected = append(protected, outcome.Protected...)
			full = append(full, outcome.Full...)
		}
		if len(full) < plays/2 {
			t.Errorf("%d bytes: only %d repairs came to their end", size, len(full))
		}
		t.Logf("%d bytes: %d repairs; protected again p50 %d ms, p99 %d ms; all copies p50 %d ms, p99 %d ms", size, len(full),
			percentile(protected, 50), percentile(protected, 99), percentile(full, 50), percentile(full, 99))
	}
}
