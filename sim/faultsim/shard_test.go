package faultsim

import "testing"

// shardOptions vary with the seed.
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

// Disks are lost 0 to 5 s apart, each time that of the replica that protects most and never more than the shard says that it
// survives, while stores leave, are killed together and are replaced: nothing acknowledged is lost and the shard has all its replicas in the end.
func TestAShardSurvivesConsecutiveDiskLosses(t *testing.T) {
	checkOutcomes(t, simulateAll(seeds(), func(seed int64) Outcome { return SimulateShard(seed, shardOptions(seed)) }))
}

// Each defect put into a shard is found.
func TestDefectsInAShardAreFound(t *testing.T) {
	bugs := []struct {
		name string
		bugs ShardBugs
		seed int64 // that found it last
	}{
		{"the view demands no number of copies", ShardBugs{NoMinInSync: true}, 15},
		{"commands don't wait for a replica that is being admitted", ShardBugs{AdmitLate: true}, 86},
		{"a replica is admitted whatever it holds", ShardBugs{AdmitLagging: true}, 1},
		{"a replica that is not in sync leads", ShardBugs{AnyReplicaLeads: true}, 0},
		{"silent replicas leave the set however few remain", ShardBugs{IgnoreInSyncFloor: true}, 5},
		{"silence counts as a lost disk", ShardBugs{SilenceIsDiskLoss: true}, 15},
		{"a machine that leaves for good ends at once", ShardBugs{LeaveWithoutDrain: true}, 1},
		{"a machine is retired when it no longer leads", ShardBugs{RetireEarly: true}, 29},
		{"a machine that lost its disk keeps its identity", ShardBugs{Bugs: Bugs{KeepIdentity: true}}, 7},
		{"a write counts as durable when it is begun", ShardBugs{Bugs: Bugs{EarlyDurable: true}}, 27},
	}
	for _, each := range bugs {
		t.Run(each.name, func(t *testing.T) {
			found := findsViolation(t, each.seed, func(seed int64) Outcome {
				options := shardOptions(seed)
				options.Bugs = each.bugs
				return SimulateShard(seed, options)
			})
			if !found {
				t.Error("not found")
			}
		})
	}
}

// The time until a shard survives the tolerated losses again, and until it has all its replicas, by the size of its state.
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
			t.Errorf("%d bytes: only %d repairs came to their end", size, len(full))
		}
		t.Logf("%d bytes: %d repairs; protected again p50 %d ms, p99 %d ms; all copies p50 %d ms, p99 %d ms", size, len(full),
			percentile(protected, 50), percentile(protected, 99), percentile(full, 50), percentile(full, 99))
	}
}
