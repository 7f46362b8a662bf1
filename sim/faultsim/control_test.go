package faultsim

import "testing"

// controlOptions vary with the seed.
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

// Disks are lost 0 to 5 s apart, each time that of the member that protects most and never more at once than tolerated, while
// members leave, are killed together and are replaced, and while the group is founded with a seed that comes late: nothing
// acknowledged is lost, and the group has its full number in the end.
func TestControlSurvivesConsecutiveDiskLosses(t *testing.T) {
	checkOutcomes(t, simulateAll(seeds(), func(seed int64) Outcome { return SimulateControl(seed, controlOptions(seed)) }))
}

// Each defect put into control is found.
func TestDefectsInControlAreFound(t *testing.T) {
	bugs := []struct {
		name string
		bugs ControlBugs
		seed int64 // that found it last
	}{
		{"no number of copies is demanded", ControlBugs{NoMinInSync: true}, 115},
		{"a replica is admitted whatever it holds", ControlBugs{AdmitLagging: true}, 0},
		{"who takes a lost vote counts as in sync at once", ControlBugs{NewMembersInSync: true}, 11},
		{"a lost disk blocks what waits for its vote", ControlBugs{IgnoreDiskLoss: true}, 3},
		{"a member that is not in sync takes over", ControlBugs{AnyMemberLeads: true}, 15},
		{"a primary does not follow its own undecided change", ControlBugs{IgnoreOwnChange: true}, 44},
		{"a machine that lost its disk keeps its identity", ControlBugs{Bugs: Bugs{KeepIdentity: true}}, 9},
		{"a write counts as durable when it is begun", ControlBugs{Bugs: Bugs{EarlyDurable: true}}, 80},
	}
	for _, each := range bugs {
		t.Run(each.name, func(t *testing.T) {
			found := findsViolation(t, each.seed, func(seed int64) Outcome {
				options := controlOptions(seed)
				options.Bugs = each.bugs
				return SimulateControl(seed, options)
			})
			if !found {
				t.Error("not found")
			}
		})
	}
}
