package consensus

import (
	"context"
	"errors"
	"math/rand"
	"sync"
)

var errUnreachable = errors.New("unreachable")

// cluster is a set of acceptors behind an unreliable network.
type cluster struct {
	mu               sync.Mutex
	random           *rand.Rand
	acceptors        map[uint64]*Acceptor
	loss             float64 // probability that a request is lost, and that a response is lost
	callsBeforeCrash int     // calls until the proposer crashes; negative for never
}

func (c *cluster) call(id uint64, vote func(*Acceptor) bool) (Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callsBeforeCrash == 0 {
		return Response{}, errUnreachable
	}
	c.callsBeforeCrash--
	acceptor := c.acceptors[id]
	if acceptor == nil || c.random.Float64() < c.loss {
		return Response{}, errUnreachable
	}
	grantedVote := vote(acceptor)
	if c.random.Float64() < c.loss {
		return Response{}, errUnreachable
	}
	return Response{Granted: grantedVote, Promised: acceptor.Promised, Accepted: acceptor.Accepted, Value: acceptor.Value}, nil
}

func (c *cluster) Prepare(_ context.Context, to Member, number ProposalNumber) (Response, error) {
	return c.call(to.ID, func(a *Acceptor) bool { return a.Prepare(number) })
}

func (c *cluster) Accept(_ context.Context, to Member, number ProposalNumber, value Record) (Response, error) {
	return c.call(to.ID, func(a *Acceptor) bool { return a.Accept(number, value) })
}

// proposer returns a proposer that uses the cluster as its transport.
func (c *cluster) proposer(id uint64, rounds *RoundAllocator) Proposer {
	return Proposer{ID: id, Rounds: rounds, Transport: c}
}

// set adds or replaces an acceptor, or removes it if acceptor is nil. It locks because calls of an earlier proposal may still be
// in flight.
func (c *cluster) set(id uint64, acceptor *Acceptor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptors[id] = acceptor
}

// get returns a copy of an acceptor.
func (c *cluster) get(id uint64) Acceptor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.acceptors[id]
}

// setFaults sets the loss probability and when the proposer crashes.
func (c *cluster) setFaults(loss float64, callsBeforeCrash int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss = loss
	c.callsBeforeCrash = callsBeforeCrash
}

func newCluster(seed int64, members int) (*cluster, Record) {
	c := &cluster{random: rand.New(rand.NewSource(seed)), acceptors: map[uint64]*Acceptor{}, callsBeforeCrash: -1}
	var list []Member
	for id := uint64(1); id <= uint64(members); id++ {
		c.acceptors[id] = &Acceptor{}
		list = append(list, Member{ID: id})
	}
	return c, Record{Members: list}
}

// appendMark returns a change that appends a mark to the history kept in InSync. It also replaces member remove by add if they
// differ.
func appendMark(mark uint64, remove, add uint64) Change {
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

// firstIncarnationRounds returns the round allocator of a proposer that never restarts.
func firstIncarnationRounds() *RoundAllocator {
	return NewRoundAllocator(0, func(uint64) error { return nil })
}

// roundsByProposer holds the round allocators of several proposers.
type roundsByProposer map[uint64]*RoundAllocator

func (p roundsByProposer) of(id uint64) *RoundAllocator {
	if p[id] == nil {
		p[id] = firstIncarnationRounds()
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
