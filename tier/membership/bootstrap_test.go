package membership

import (
	"testing"

	"otterseam/tier/consensus"
)

func bootstrapping(self uint64, heard ...uint64) BootstrapInput {
	b := BootstrapInput{Self: member(self), Candidates: map[string]consensus.Member{}}
	for _, id := range []uint64{1, 2, 3} {
		b.Seeds = append(b.Seeds, member(id).Address)
	}
	for _, id := range heard {
		b.Candidates[member(id).Address] = member(id)
	}
	return b
}

// The first of the seeds bootstraps with all of them at once; others, and fewer, only after a wait; half of them never.
func TestWhoBootstrapsTheGroup(t *testing.T) {
	waited := func(b BootstrapInput) BootstrapInput {
		b.WaitElapsed = true
		return b
	}
	for name, step := range map[string]struct {
		input   BootstrapInput
		members int // 0 if it must not bootstrap
	}{
		"the first with all":                {bootstrapping(1, 2, 3), 3},
		"the second leaves it to the first": {bootstrapping(2, 1, 3), 0},
		"the first waits for the third":     {bootstrapping(1, 2), 0},
		"two of three after the wait":       {waited(bootstrapping(2, 1)), 2},
		"one of three after the wait":       {waited(bootstrapping(1)), 0},
	} {
		members, may := step.input.Members()
		if may != (step.members > 0) || may && len(members) != step.members {
			t.Errorf("%s: %v %v", name, members, may)
		}
	}
}

func TestASingleSeedBootstrapsAlone(t *testing.T) {
	b := BootstrapInput{Self: member(1), Seeds: []string{member(1).Address}}
	if all, may := b.Members(); !may || len(all) != 1 {
		t.Fatalf("%v %v", all, may)
	}
}
