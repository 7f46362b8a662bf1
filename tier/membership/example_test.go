package membership_test

import (
	"fmt"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// A spare process becomes a learner, and a voter once it holds the state.
func ExamplePolicy_Next() {
	no := func(uint64) bool { return false }
	alive := []consensus.Member{{ID: 1, Address: "a"}, {ID: 2, Address: "b"}, {ID: 3, Address: "c"}}
	policy := membership.Policy{Tolerate: 1}
	record := policy.InitialRecord(1, alive[:2])
	seen := membership.Observation{
		Alive: alive, HasState: map[uint64]bool{}, DiskLost: no, Silent: no, Departed: no, Draining: no,
	}
	step, _ := policy.Next(record, seen)
	fmt.Println("voters", len(step.Record.Members), "learners", len(step.Record.Learners))

	seen.HasState[3] = true
	step, _ = policy.Next(step.Record, seen)
	fmt.Println("voters", len(step.Record.Members), "learners", len(step.Record.Learners), "admit", step.Admit)
	// Output:
	// voters 2 learners 1
	// voters 3 learners 0 admit 3
}

// A machine that answers at the same address with another identity has lost its disk. Silence proves nothing.
func ExampleIdentityTracker() {
	tracker := membership.NewIdentityTracker()
	tracker.ObserveListed(consensus.Member{ID: 5, Address: "10.0.0.1:7401", Node: "ctl-a"}, 1000)
	fmt.Println(tracker.DiskLost(5))
	tracker.ObserveAnswer(consensus.Member{ID: 6, Address: "10.0.0.1:7401", Node: "ctl-a"}, 2000)
	fmt.Println(tracker.DiskLost(5))
	// Output:
	// false
	// true
}
