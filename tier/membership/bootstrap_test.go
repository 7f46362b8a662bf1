package membership

import (
	"testing"

	"otterseam/tier/consensus"
)

func newBootstrapInput(self uint64, answered ...uint64) BootstrapInput {
	b := BootstrapInput{Self: member(self), Candidates: map[string]consensus.Member{}}
	for _, id := range []uint64{1, 2, 3} {
		b.Seeds = append(b.Seeds, member(id).Address)
	}
	for _, id := range answered {
		b.Candidates[member(id).Address] = member(id)
	}
	return b
}

// The seed with the lowest address bootstraps at once if all seeds answered. Other seeds, or a part of them, bootstrap only after a wait,
// and half of the seeds or fewer never do.
func TestBootstrapMembers(t *testing.T) {
	waited := func(b BootstrapInput) BootstrapInput {
		b.WaitElapsed = true
		return b
	}
	for name, test := range map[string]struct {
		input   BootstrapInput
		members int // 0 if it must not bootstrap
	}{
		"lowest address, all seeds":          {newBootstrapInput(1, 2, 3), 3},
		"second address, all seeds":          {newBootstrapInput(2, 1, 3), 0},
		"lowest address, two of three seeds": {newBootstrapInput(1, 2), 0},
		"two of three seeds after the wait":  {waited(newBootstrapInput(2, 1)), 2},
		"one of three seeds after the wait":  {waited(newBootstrapInput(1)), 0},
	} {
		members, allowed := test.input.Members()
		if allowed != (test.members > 0) || allowed && len(members) != test.members {
			t.Errorf("%s: %v %v", name, members, allowed)
		}
	}
}

func TestSingleSeedBootstrapsAlone(t *testing.T) {
	b := BootstrapInput{Self: member(1), Seeds: []string{member(1).Address}}
	if members, allowed := b.Members(); !allowed || len(members) != 1 {
		t.Fatalf("%v %v", members, allowed)
	}
}
