package lease_test

import (
	"math/rand/v2"
	"testing"

	"otterseam/tier/lease"
)

func TestElectionBackoffDelaysOnlyRepeatedFailures(t *testing.T) {
	var backoff lease.ElectionBackoff
	noRandom := func(int64) int64 {
		t.Fatal("a random number was generated for a proposal without delay")
		return 0
	}
	for range 3 {
		backoff.Fail(5, 1000, noRandom)
		if !backoff.MayPropose(5, 1000) {
			t.Fatal("one of the first proposals is delayed")
		}
	}
	longest := int64(0)
	for now := int64(1000); now < 60_000; {
		backoff.Fail(5, now, func(n int64) int64 { return n - 1 })
		failedAt := now
		for ; !backoff.MayPropose(5, now); now++ {
		}
		longest = max(longest, now-failedAt)
	}
	if longest < 1000 || longest > 1600 {
		t.Fatalf("the longest delay is %d ms", longest)
	}
	if !backoff.MayPropose(6, 1000) {
		t.Fatal("a proposal for a new epoch is delayed")
	}
	backoff.Fail(6, 1000, noRandom)
}

// Two candidates preempt each other whenever their proposals overlap. Without delays neither of them ever wins. With delays one of
// them must win within 20 s.
func TestTwoCandidatesDoNotPreemptEachOtherIndefinitely(t *testing.T) {
	const proposalTakes, tick = 60, 40
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var backoffs [2]lease.ElectionBackoff
		busyUntil, preempted := [2]int64{}, [2]bool{}
		won := int64(0)
		for now := int64(1); won == 0; now++ {
			if now > 20_000 {
				t.Fatalf("seed %d: no candidate has won after 20 s", seed)
			}
			for i := range backoffs {
				if busyUntil[i] == now {
					if !preempted[i] {
						won = now
					}
					backoffs[i].Fail(1, now, random.Int64N)
				}
				if now%tick == int64(7*i) && busyUntil[i] <= now && backoffs[i].MayPropose(1, now) {
					busyUntil[i] = now + proposalTakes
					preempted[i] = false
					preempted[1-i] = true
				}
			}
		}
	}
}
