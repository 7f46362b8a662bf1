package consensus

import (
	"context"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// Each decided value extends the one decided before it, whatever messages are lost, wherever proposers crash and however members
// change.
func TestDecisionsFormOneHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, start := newCluster(rapid.Int64().Draw(rt, "seed"), rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(rt, "members"))
		decided := start
		known := start
		nextID := uint64(100)
		rounds := roundsByProposer{}
		for mark := range uint64(rapid.IntRange(1, 30).Draw(rt, "proposals")) {
			c.setFaults(rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss"), rapid.IntRange(-1, 12).Draw(rt, "calls before death"))
			remove, add := uint64(0), uint64(0)
			if decided.IsBootstrapped() && rapid.IntRange(0, 3).Draw(rt, "change members") == 0 {
				remove = rapid.SampledFrom(decided.Members).Draw(rt, "removed").ID
				add = nextID
				nextID++
				c.set(add, &Acceptor{})
			}
			proposer := uint64(rapid.IntRange(1, 3).Draw(rt, "proposer"))
			from := known
			if rapid.Bool().Draw(rt, "knows the newest") {
				from = decided
			}
			record, err := c.proposer(proposer, rounds.of(proposer)).Propose(context.Background(), from, appendMark(mark+1, remove, add))
			if err != nil {
				continue
			}
			if !isPrefix(decided.InSync, record.InSync) {
				rt.Fatalf("decided %v after %v", record.InSync, decided.InSync)
			}
			known = decided
			decided = record
		}
	})
}

// The same property over 1,500 seeds with frequent changes of members, proposer crashes and outdated start records.
func TestDecisionsFormOneHistoryWhileMembersChange(t *testing.T) {
	for seed := range int64(1500) {
		c, start := newCluster(seed, 3)
		random := rand.New(rand.NewSource(seed))
		records := []Record{start}
		rounds := roundsByProposer{}
		for mark := range uint64(14) {
			c.setFaults([]float64{0, 0.05, 0.2}[random.Intn(3)], random.Intn(18)-2)
			newest := records[len(records)-1]
			remove, add := uint64(0), uint64(0)
			if newest.IsBootstrapped() && random.Intn(2) == 0 {
				remove = newest.Members[random.Intn(len(newest.Members))].ID
				add = 100 + mark
				c.set(add, &Acceptor{})
			}
			proposer := uint64(1 + random.Intn(3))
			from := records[max(0, len(records)-1-random.Intn(3))]
			record, err := c.proposer(proposer, rounds.of(proposer)).Propose(context.Background(), from, appendMark(mark+1, remove, add))
			if err != nil {
				continue
			}
			if !isPrefix(newest.InSync, record.InSync) {
				t.Fatalf("seed %d: decided %v after %v", seed, record.InSync, newest.InSync)
			}
			records = append(records, record)
		}
	}
}

func TestMinorityDecidesNothing(t *testing.T) {
	c, start := newCluster(1, 3)
	c.set(2, nil)
	c.set(3, nil)
	if _, err := c.proposer(1, firstIncarnationRounds()).Propose(context.Background(), start, appendMark(1, 0, 0)); err == nil {
		t.Fatal("one of three acceptors decided")
	}
}

// An acceptor that lost its disk comes back with another identity, which is in no record. It must not count as a vote.
func TestEmptyAcceptorDoesNotCountForTheLostOne(t *testing.T) {
	c, start := newCluster(1, 3)
	rounds := firstIncarnationRounds()
	first, err := c.proposer(1, rounds).Propose(context.Background(), start, appendMark(1, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	c.set(3, nil)
	c.set(4, &Acceptor{})
	c.set(2, nil)
	if _, err := c.proposer(1, rounds).Propose(context.Background(), first, appendMark(2, 0, 0)); err == nil {
		t.Fatal("decided with one acceptor and an empty one")
	}
	c.set(2, &Acceptor{Promised: c.get(1).Promised, Accepted: c.get(1).Accepted, Value: first})
	replaced, err := c.proposer(1, rounds).Propose(context.Background(), first, appendMark(2, 3, 4))
	if err != nil || !HasMember(replaced.Members, 4) || HasMember(replaced.Members, 3) {
		t.Fatalf("replacing the lost member gave %+v, %v", replaced, err)
	}
	if c.get(4).Value.Epoch == 0 && c.get(2).Value.Epoch != replaced.Epoch {
		t.Fatal("the change was decided without a majority of the new members")
	}
}

func TestProposalWithoutAcceptorsDecidesNothing(t *testing.T) {
	c, _ := newCluster(1, 3)
	if record, err := c.proposer(1, firstIncarnationRounds()).Propose(context.Background(), Record{}, appendMark(1, 0, 0)); err == nil {
		t.Fatalf("decided %+v without an acceptor", record)
	}
}
