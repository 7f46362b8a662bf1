package consensus

import (
	"context"
	"errors"
	"math/rand"
	"sync"
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

// set puts an acceptor in place, or takes it away; calls of an earlier proposal may still be in flight.
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

// setFaults sets what is lost and when the proposer dies.
func (c *cluster) setFaults(loss float64, dieAfter int) {
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
