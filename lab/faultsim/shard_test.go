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
	}{
		{"the view demands no number of copies", ShardBugs{NoMinCopies: true}},
		{"commands don't wait for a replica on its way in", ShardBugs{AdmitLate: true}},
		{"a replica is taken in whatever it holds", ShardBugs{AdmitLagging: true}},
		{"a replica that is not in sync leads", ShardBugs{AnyLeads: true}},
		{"silent replicas leave the set however few remain", ShardBugs{DropAnyone: true}},
		{"silence counts as a lost disk", ShardBugs{LostBySilence: true}},
		{"a machine that leaves for good ends at once", ShardBugs{LeaveAtOnce: true}},
		{"a machine is retired when it no longer leads", ShardBugs{RetireEarly: true}},
		{"a machine that lost its disk keeps its identity", ShardBugs{Bugs: Bugs{KeepIdentity: true}}},
		{"a write counts as durable when it is begun", ShardBugs{Bugs: Bugs{EarlyDurable: true}}},
	}
	for _, each := range bugs {
		t.Run(each.name, func(t *testing.T) {
			for seed := range int64(300) {
				options := shardOptions(seed)
				options.Bugs = each.bugs
				if outcome := PlayShard(seed, options); outcome.Fault != "" {
					t.Logf("seed %d: %.60s", seed, outcome.Fault)
					return
				}
			}
			t.Error("not found")
		})
	}
}
