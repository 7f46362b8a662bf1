package faultsim

import "testing"

// shardOptions returns the options of a seed.
func shardOptions(seed int64) ShardOptions {
	options := ShardOptions{Stores: 3 + int(seed%3), ToleratedLosses: 1, MaxFaultInterval: 5000, Duration: 20_000}
	if seed%5 == 4 {
		options.Stores, options.ToleratedLosses = 6, 2
	}
	if seed%2 == 1 {
		options.MaxFaultInterval = 1200
	}
	return options
}

// Guards against lost acknowledged commands and incomplete recovery. Disks are lost 0 to 5 s apart, preferably those of the replicas
// that the shard depends on most, and never more at once than the shard claims to survive. Meanwhile stores are drained, killed
// together and replaced.
func TestShardSurvivesConsecutiveDiskLosses(t *testing.T) {
	checkOutcomes(t, simulateAll(seeds(), func(seed int64) Outcome { return SimulateShard(seed, shardOptions(seed)) }))
}

// Each defect that is injected into a shard is detected.
func TestShardDefectsAreDetected(t *testing.T) {
	bugs := []struct {
		name string
		bugs ShardBugs
		seed int64 // the last one that detected it
	}{
		{"the view requires no minimum number of in-sync replicas", ShardBugs{NoMinInSync: true}, 15},
		{"commits don't wait for a replica until the map admits it", ShardBugs{AdmitLate: true}, 86},
		{"a replica is admitted however far it lags", ShardBugs{AdmitLagging: true}, 1},
		{"a replica that is not in sync may become primary", ShardBugs{AnyReplicaLeads: true}, 0},
		{"silent replicas are removed from the in-sync set however few remain", ShardBugs{IgnoreInSyncFloor: true}, 5},
		{"a silent store counts as one whose disk is lost", ShardBugs{SilenceIsDiskLoss: true}, 15},
		{"a process ends without draining and its machine is removed", ShardBugs{LeaveWithoutDrain: true}, 1},
		{"a retiring machine is removed as soon as it is not the primary", ShardBugs{RetireEarly: true}, 29},
		{"a machine that lost its disk keeps its identity", ShardBugs{Bugs: Bugs{KeepIdentity: true}}, 7},
		{"a write counts as durable when it starts", ShardBugs{Bugs: Bugs{EarlyDurable: true}}, 27},
	}
	for _, test := range bugs {
		t.Run(test.name, func(t *testing.T) {
			detected := detectsViolation(t, test.seed, func(seed int64) Outcome {
				options := shardOptions(seed)
				options.Bugs = test.bugs
				return SimulateShard(seed, options)
			})
			if !detected {
				t.Error("the defect was not detected")
			}
		})
	}
}

// Logs how long a shard takes to survive the tolerated losses again and to have all its replicas, by the size of its state. At least
// half as many recoveries as runs have to complete.
func TestTimeToFullReplicationByStateSize(t *testing.T) {
	const runs = 12
	for _, size := range []int{0, 256 << 10, 4 << 20} {
		outcomes := simulateAll(runs, func(seed int64) Outcome {
			options := shardOptions(seed)
			options.StateBytes = size
			options.Duration = 12_000
			return SimulateShard(seed, options)
		})
		var protected, full []int64
		for seed, outcome := range outcomes {
			if outcome.Violation != "" {
				t.Errorf("%d bytes, seed %d: %s", size, seed, outcome.Violation)
			}
			protected = append(protected, outcome.ProtectedAfter...)
			full = append(full, outcome.FullAfter...)
		}
		if len(full) < runs/2 {
			t.Errorf("%d bytes: only %d recoveries completed", size, len(full))
		}
		t.Logf("%d bytes: %d recoveries; protected again p50 %d ms, p99 %d ms; fully replicated p50 %d ms, p99 %d ms", size, len(full),
			percentile(protected, 50), percentile(protected, 99), percentile(full, 50), percentile(full, 99))
	}
}
