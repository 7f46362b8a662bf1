package faultsim

import "testing"

// controlOptions returns the options of a seed.
func controlOptions(seed int64) ControlOptions {
	options := ControlOptions{Members: 3, ToleratedLosses: 1, MaxFaultInterval: 5000, Duration: 20_000}
	if seed%5 == 4 {
		options.Members, options.ToleratedLosses = 5, 2
	}
	if seed%2 == 1 {
		options.MaxFaultInterval = 1200
	}
	options.LateSeed = seed%7 == 3
	return options
}

// Guards against lost acknowledged commands and incomplete recovery. Disks are lost 0 to 5 s apart, preferably those of the members
// that the group depends on most, and never more at once than tolerated. Meanwhile members are drained, killed together and replaced,
// and some groups bootstrap with a seed that starts late.
func TestControlSurvivesConsecutiveDiskLosses(t *testing.T) {
	checkOutcomes(t, simulateAll(seeds(), func(seed int64) Outcome { return SimulateControl(seed, controlOptions(seed)) }))
}

// Each defect that is injected into control is detected.
func TestControlDefectsAreDetected(t *testing.T) {
	bugs := []struct {
		name string
		bugs ControlBugs
		seed int64 // the last one that detected it
	}{
		{"no minimum number of in-sync replicas is required", ControlBugs{NoMinInSync: true}, 115},
		{"a replica is admitted however far it lags", ControlBugs{AdmitLagging: true}, 0},
		{"a member that replaces a lost vote counts as in sync at once", ControlBugs{NewMembersInSync: true}, 11},
		{"a lost disk blocks the decisions that wait for its vote", ControlBugs{IgnoreDiskLoss: true}, 3},
		{"a member that is not in sync may take over", ControlBugs{AnyMemberLeads: true}, 15},
		{"a primary ignores its own change if it did not learn of the decision", ControlBugs{IgnoreOwnChange: true}, 44},
		{"a machine that lost its disk keeps its identity", ControlBugs{Bugs: Bugs{KeepIdentity: true}}, 9},
		{"a write counts as durable when it starts", ControlBugs{Bugs: Bugs{EarlyDurable: true}}, 80},
	}
	for _, test := range bugs {
		t.Run(test.name, func(t *testing.T) {
			detected := detectsViolation(t, test.seed, func(seed int64) Outcome {
				options := controlOptions(seed)
				options.Bugs = test.bugs
				return SimulateControl(seed, options)
			})
			if !detected {
				t.Error("the defect was not detected")
			}
		})
	}
}
