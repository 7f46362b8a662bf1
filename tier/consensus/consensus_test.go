package consensus

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

var errUnreachable = errors.New("unreachable")

// cluster is a set of acceptors reached over a network that breaks.
type cluster struct {
	mu        sync.Mutex
	random    *rand.Rand
	acceptors map[uint64]*Acceptor
	loss      float64 // share of calls whose request or answer is lost
	dieAfter  int     // calls until the proposer dies; below 0 for never
}

func (c *cluster) reach(id uint64, act func(*Acceptor) bool) (Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dieAfter == 0 {
		return Response{}, errUnreachable
	}
	c.dieAfter--
	acceptor := c.acceptors[id]
	if acceptor == nil || c.random.Float64() < c.loss {
		return Response{}, errUnreachable
	}
	given := act(acceptor)
	if c.random.Float64() < c.loss {
		return Response{}, errUnreachable
	}
	return Response{Granted: given, Promised: acceptor.Promised, Accepted: acceptor.Accepted, Value: acceptor.Value}, nil
}

func (c *cluster) Prepare(_ context.Context, to Member, number ProposalNumber) (Response, error) {
	return c.reach(to.ID, func(w *Acceptor) bool { return w.Prepare(number) })
}

func (c *cluster) Accept(_ context.Context, to Member, number ProposalNumber, value Record) (Response, error) {
	return c.reach(to.ID, func(w *Acceptor) bool { return w.Accept(number, value) })
}

// proposer proposes over the cluster.
func (c *cluster) proposer(id uint64, rounds *RoundAllocator) Proposer {
	return Proposer{ID: id, Rounds: rounds, Transport: c}
}

// set puts an acceptor in place, or takes it away; calls of an earlier proposal may still be under way.
func (c *cluster) set(id uint64, acceptor *Acceptor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptors[id] = acceptor
}

// get copies an acceptor.
func (c *cluster) get(id uint64) Acceptor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.acceptors[id]
}

// trouble sets what is lost and when the proposer dies.
func (c *cluster) trouble(loss float64, dieAfter int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = loss
	c.dieAfter = dieAfter
}

func newCluster(seed int64, members int) (*cluster, Record) {
	c := &cluster{random: rand.New(rand.NewSource(seed)), acceptors: map[uint64]*Acceptor{}, dieAfter: -1}
	var list []Member
	for id := uint64(1); id <= uint64(members); id++ {
		c.acceptors[id] = &Acceptor{}
		list = append(list, Member{ID: id})
	}
	return c, Record{Members: list}
}

// addMark is a change that extends the history kept in InSync, and perhaps replaces a member.
func addMark(mark uint64, remove, add uint64) Change {
	return func(current Record, _ map[uint64]bool) (Record, bool) {
		next := current
		next.Epoch++
		next.InSync = append(append([]uint64(nil), current.InSync...), mark)
		if remove != add && HasMember(current.Members, remove) {
			next.Members = nil
			for _, member := range current.Members {
				if member.ID != remove {
					next.Members = append(next.Members, member)
				}
			}
			next.Members = append(next.Members, Member{ID: add})
		}
		return next, true
	}
}

// firstIncarnation are the rounds of a proposer that never restarts.
func firstIncarnation() *RoundAllocator {
	return NewRoundAllocator(0, func(uint64) error { return nil })
}

// proposers are the rounds of several proposers.
type proposers map[uint64]*RoundAllocator

func (p proposers) of(id uint64) *RoundAllocator {
	if p[id] == nil {
		p[id] = firstIncarnation()
	}
	return p[id]
}

func isPrefix(short, long []uint64) bool {
	if len(short) > len(long) {
		return false
	}
	for i := range short {
		if short[i] != long[i] {
			return false
		}
	}
	return true
}

// Whatever is lost on the way, wherever proposers die and however members change, each decided value goes on from the one
// decided before.
func TestDecisionsFormOneHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, start := newCluster(rapid.Int64().Draw(rt, "seed"), rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(rt, "members"))
		decided := start
		known := start
		nextID := uint64(100)
		rounds := proposers{}
		for mark := range uint64(rapid.IntRange(1, 30).Draw(rt, "proposals")) {
			c.trouble(rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(rt, "loss"), rapid.IntRange(-1, 12).Draw(rt, "calls before death"))
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
			record, err := c.proposer(proposer, rounds.of(proposer)).Propose(context.Background(), from, addMark(mark+1, remove, add))
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

// The same over many seeds with members that change often, proposers that die and knowledge that is old.
func TestDecisionsFormOneHistoryWhileMembersChange(t *testing.T) {
	for seed := range int64(1500) {
		c, start := newCluster(seed, 3)
		random := rand.New(rand.NewSource(seed))
		records := []Record{start}
		rounds := proposers{}
		for mark := range uint64(14) {
			c.trouble([]float64{0, 0.05, 0.2}[random.Intn(3)], random.Intn(18)-2)
			newest := records[len(records)-1]
			remove, add := uint64(0), uint64(0)
			if newest.IsBootstrapped() && random.Intn(2) == 0 {
				remove = newest.Members[random.Intn(len(newest.Members))].ID
				add = 100 + mark
				c.set(add, &Acceptor{})
			}
			proposer := uint64(1 + random.Intn(3))
			from := records[max(0, len(records)-1-random.Intn(3))]
			record, err := c.proposer(proposer, rounds.of(proposer)).Propose(context.Background(), from, addMark(mark+1, remove, add))
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

func TestAMinorityDecidesNothing(t *testing.T) {
	c, start := newCluster(1, 3)
	c.set(2, nil)
	c.set(3, nil)
	if _, err := c.proposer(1, firstIncarnation()).Propose(context.Background(), start, addMark(1, 0, 0)); err == nil {
		t.Fatal("one of three acceptors decided")
	}
}

// An acceptor that lost its disk comes back under another identity, which no record names: it must not count.
func TestAnEmptyAcceptorDoesNotCountForTheOneBefore(t *testing.T) {
	c, start := newCluster(1, 3)
	rounds := firstIncarnation()
	first, err := c.proposer(1, rounds).Propose(context.Background(), start, addMark(1, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	c.set(3, nil)
	c.set(4, &Acceptor{})
	c.set(2, nil)
	if _, err := c.proposer(1, rounds).Propose(context.Background(), first, addMark(2, 0, 0)); err == nil {
		t.Fatal("decided with one acceptor and an empty one")
	}
	c.set(2, &Acceptor{Promised: c.get(1).Promised, Accepted: c.get(1).Accepted, Value: first})
	replaced, err := c.proposer(1, rounds).Propose(context.Background(), first, addMark(2, 3, 4))
	if err != nil || !HasMember(replaced.Members, 4) || HasMember(replaced.Members, 3) {
		t.Fatalf("replacing the lost member gave %+v, %v", replaced, err)
	}
	if c.get(4).Value.Epoch == 0 && c.get(2).Value.Epoch != replaced.Epoch {
		t.Fatal("the change was decided without a majority of the new members")
	}
}

func TestAcceptorRefusesLowerProposalNumbers(t *testing.T) {
	var w Acceptor
	if !w.Prepare(ProposalNumber{Round: 5, Proposer: 1}) || w.Prepare(ProposalNumber{Round: 4, Proposer: 9}) {
		t.Fatal("a lower number was promised")
	}
	if w.Accept(ProposalNumber{Round: 4, Proposer: 9}, Record{Epoch: 1}) {
		t.Fatal("a lower number was accepted")
	}
	if !w.Accept(ProposalNumber{Round: 5, Proposer: 1}, Record{Epoch: 1}) {
		t.Fatal("the promised number was not accepted")
	}
}

func TestAcceptorSurvivesItsEncoding(t *testing.T) {
	w := Acceptor{
		Promised: ProposalNumber{9, 2}, Accepted: ProposalNumber{8, 1},
		Value: Record{
			Epoch: 4, Primary: 2, InSync: []uint64{2, 3}, Members: []Member{{2, "a", "core-a"}, {3, "b", "core-b"}},
			Previous: []Member{{1, "c", "core-c"}}, MinInSync: 2, Learners: []Member{{4, "d", "core-d"}},
		},
	}
	again, err := DecodeAcceptor(w.Encode())
	if err != nil || again.Value.Epoch != 4 || len(again.Value.Previous) != 1 || again.Value.Members[1] != w.Value.Members[1] || again.Value.MinInSync != 2 || len(again.Value.Learners) != 1 || again.Promised != w.Promised {
		t.Fatalf("read %+v, %v", again, err)
	}
	for cut := range w.Encode() {
		if _, err := DecodeAcceptor(w.Encode()[:cut]); err == nil {
			t.Fatalf("%d bytes were taken for an acceptor", cut)
		}
	}
}
