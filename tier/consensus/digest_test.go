package consensus

import (
	"math/rand"
	"testing"

	"otterseam/internal/digesttest"
)

// Walks drawn by a seed through the states that the exploration plays, with each state's hash: it is taken over the encoded
// records, ballots and witnesses. (The simulation with a network that breaks asks witnesses in parallel and isn't the same play
// for the same seed.)
func TestWalkDigests(t *testing.T) {
	const (
		walks = 60
		steps = 60
	)
	digesttest.Check(t, "walk", func(t *testing.T, seed int64, d *digesttest.Digest) {
		random := rand.New(rand.NewSource(seed))
		for walk := range walks {
			x := newExplorer(faults{rules: standardRules}, wholeWorld(walk%2 == 0))
			state := x.first()
			for range steps {
				next := x.steps(state)
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

// How many states there are, level by level.
func TestExplorationDigests(t *testing.T) {
	digesttest.Check(t, "exploration", func(t *testing.T, seed int64, d *digesttest.Digest) {
		depth := 1 + int(seed)/2
		found := newExplorer(faults{rules: standardRules}, wholeWorld(seed%2 == 0)).run(depth, mostStates)
		if found.violation != "" {
			t.Fatal(found.violation)
		}
		d.Int(int64(found.states), int64(found.depth))
	})
}
