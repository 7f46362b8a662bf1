package consensus

import (
	"context"
	"errors"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// limitStore stores the limit of a proposer's rounds.
type limitStore struct {
	limit  uint64
	writes int
	fails  bool
}

var errDisk = errors.New("disk failed")

func (d *limitStore) reserve(limit uint64) error {
	if d.fails {
		return errDisk
	}
	d.limit = limit
	d.writes++
	return nil
}

// No round is allocated twice, over any number of restarts, and each is above all rounds that its incarnation allocated or
// observed before.
func TestNoRoundIsAllocatedTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		disk := &limitStore{}
		rounds := NewRoundAllocator(0, disk.reserve)
		used := map[uint64]bool{}
		highest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				disk.fails = rapid.Bool().Draw(rt, "disk fails")
			case 1:
				rounds = NewRoundAllocator(disk.limit, disk.reserve)
				highest = 0 // observed rounds are not durable
			case 2:
				seen := rapid.Uint64Range(0, 4*roundsReserved).Draw(rt, "seen")
				rounds.Observe(seen)
				highest = max(highest, seen)
			default:
				round, err := rounds.Next()
				if err != nil {
					continue
				}
				if used[round] || round <= highest {
					rt.Fatalf("round %d was allocated before or is not above %d", round, highest)
				}
				if round > disk.limit {
					rt.Fatalf("round %d was allocated while the durable limit was %d", round, disk.limit)
				}
				used[round] = true
				highest = round
			}
		}
	})
}

func TestIncarnationReservesItsRoundsOnce(t *testing.T) {
	disk := &limitStore{}
	rounds := NewRoundAllocator(0, disk.reserve)
	if err := rounds.Reserve(); err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		if _, err := rounds.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if disk.writes != 1 {
		t.Fatalf("%d writes", disk.writes)
	}
}

func TestConcurrentProposalsUseDifferentRounds(t *testing.T) {
	rounds := firstIncarnationRounds()
	const each, proposals = 200, 4
	allocated := make(chan uint64, each*proposals)
	var wait sync.WaitGroup
	for range proposals {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range each {
				round, _ := rounds.Next()
				allocated <- round
			}
		}()
	}
	wait.Wait()
	close(allocated)
	seen := map[uint64]bool{}
	for round := range allocated {
		if seen[round] {
			t.Fatalf("round %d was allocated twice", round)
		}
		seen[round] = true
	}
}

// A disk written by an older version holds no limit. The first incarnation of this version starts far above its acceptor's promise.
func TestDiskWithoutLimitStartsAboveRoundsItMayHaveUsed(t *testing.T) {
	if got := AssumedRoundLimit(Acceptor{}); got != 0 {
		t.Fatalf("a first incarnation starts above %d", got)
	}
	if got := AssumedRoundLimit(Acceptor{Promised: ProposalNumber{Round: 7, Proposer: 1}}); got < 7+maxAttempts*1000 {
		t.Fatalf("starts above %d", got)
	}
}

// A proposer whose own acceptor never stored its number restarts and proposes another value. A late accept of the previous
// incarnation must not replace the decided value.
func TestLateAcceptOfPreviousIncarnationReplacesNothing(t *testing.T) {
	c, start := newCluster(1, 3)
	disk := &limitStore{}
	first := NewRoundAllocator(disk.limit, disk.reserve)
	round, err := first.Next()
	if err != nil {
		t.Fatal(err)
	}
	previous := ProposalNumber{Round: round, Proposer: 1}
	// Acceptors 2 and 3 have promised; the proposer's own acceptor 1 has stored nothing.
	for _, id := range []uint64{2, 3} {
		if promise, err := c.Prepare(context.Background(), Member{ID: id}, previous); err != nil || !promise.Granted {
			t.Fatalf("%+v, %v", promise, err)
		}
	}
	decided, err := c.proposer(1, NewRoundAllocator(disk.limit, disk.reserve)).Propose(context.Background(), start, appendMark(2, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []uint64{1, 2, 3} {
		_, _ = c.Accept(context.Background(), Member{ID: id}, previous, Record{Epoch: 1, InSync: []uint64{1}, Members: start.Members})
	}
	read, err := c.proposer(2, firstIncarnationRounds()).Propose(context.Background(), start, func(r Record, _ map[uint64]bool) (Record, bool) { return r, false })
	if err != nil || !read.Equal(decided) {
		t.Fatalf("decided %+v, then read %+v, %v", decided, read, err)
	}
}
