package faultsim

import "testing"

// controlOptions vary with the seed.
func controlOptions(seed int64) ControlOptions {
	options := ControlOptions{Members: 3, Tolerate: 1, Spaced: 5000, Length: 20_000}
	if seed%5 == 4 {
		options.Members, options.Tolerate = 5, 2
	}
	if seed%2 == 1 {
		options.Spaced = 1200
	}
	options.LateSeed = seed%7 == 3
	return options
}

// Disks are lost 0 to 5 s apart, each time that of the member that protects most and never more at once than tolerated, while
// members leave, are killed together and are replaced, and while the group is founded with a seed that comes late: nothing
// acknowledged is lost, and the group has its full number in the end.
func TestControlBearsEachNextLoss(t *testing.T) {
	report(t, playAll(seeds(), func(seed int64) Outcome { return PlayControl(seed, controlOptions(seed)) }))
}
