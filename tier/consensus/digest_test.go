package consensus

import (
	"math/rand"
	"testing"

	"otterseam/internal/digesttest"
)

// Records the state hashes along seeded random walks through the states of the exploration. A hash covers the encoded records,
// proposal numbers and acceptors. (The tests with an unreliable network call acceptors in parallel, so the same seed doesn't give
// the same run.)
func TestWalkDigests(t *testing.T) {
	const (
		walks = 60
		steps = 60
	)
	digesttest.Check(t, "walk", func(t *testing.T, seed int64, d *digesttest.Digest) {
		random := rand.New(rand.NewSource(seed))
		for walk := range walks {
			x := newExplorer(faults{rules: standardRules}, unrestrictedScenario(walk%2 == 0))
			state := x.initialState()
			for range steps {
				next := x.successors(state)
				d.Int(int64(len(next)))
				if len(next) == 0 {
					break
				}
				state = next[random.Intn(len(next))]
				if state.violation != "" {
					t.Fatal(state.violation)
				}
				d.Uint(state.hash())
				for _, sent := range state.sent {
					d.Uint(sent.hash)
				}
			}
			d.Uint(uint64(len(state.decided)))
			d.Uint(state.decided...)
		}
	})
}

// Records how many states the exploration visits, level by level.
func TestExplorationDigests(t *testing.T) {
	digesttest.Check(t, "exploration", func(t *testing.T, seed int64, d *digesttest.Digest) {
		depth := 1 + int(seed)/2
		found := newExplorer(faults{rules: standardRules}, unrestrictedScenario(seed%2 == 0)).run(depth, explorationMaxStates)
		if found.violation != "" {
			t.Fatal(found.violation)
		}
		d.Int(int64(found.states), int64(found.depth))
	})
}
