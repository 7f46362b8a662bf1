package consensus_test

import (
	"context"
	"fmt"

	"otterseam/tier/consensus"
)

// memory is a transport to acceptors in the same process. An acceptor that is not in the map doesn't respond.
type memory map[uint64]*consensus.Acceptor

func (m memory) call(id uint64, vote func(*consensus.Acceptor) bool) (consensus.Response, error) {
	acceptor, reachable := m[id]
	if !reachable {
		return consensus.Response{}, context.DeadlineExceeded
	}
	granted := vote(acceptor)
	return consensus.Response{
		Granted: granted, Promised: acceptor.Promised, Accepted: acceptor.Accepted, Value: acceptor.Value,
	}, nil
}

func (m memory) Prepare(_ context.Context, to consensus.Member, number consensus.ProposalNumber) (consensus.Response, error) {
	return m.call(to.ID, func(a *consensus.Acceptor) bool { return a.Prepare(number) })
}

func (m memory) Accept(
	_ context.Context, to consensus.Member, number consensus.ProposalNumber, value consensus.Record,
) (consensus.Response, error) {
	return m.call(to.ID, func(a *consensus.Acceptor) bool { return a.Accept(number, value) })
}

// Two of three members decide a first record, and then a record with another primary.
func ExampleProposer() {
	members := []consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}}
	proposer := consensus.Proposer{
		ID:        1,
		Rounds:    consensus.NewRoundAllocator(0, func(uint64) error { return nil }),
		Transport: memory{1: {}, 2: {}},
	}
	setPrimary := func(primary uint64) consensus.Change {
		return func(current consensus.Record, _ map[uint64]bool) (consensus.Record, bool) {
			next := current
			next.Epoch++
			next.Primary = primary
			next.Members = members
			return next, true
		}
	}
	first, err := proposer.Bootstrap(context.Background(), members, len(members), setPrimary(1))
	fmt.Println(first.Epoch, first.Primary, err)
	second, err := proposer.Propose(context.Background(), first, setPrimary(2))
	fmt.Println(second.Epoch, second.Primary, err)
	// Output:
	// 1 1 <nil>
	// 2 2 <nil>
}

// An acceptor that has promised a number rejects lower ones.
func ExampleAcceptor() {
	var acceptor consensus.Acceptor
	fmt.Println(acceptor.Prepare(consensus.ProposalNumber{Round: 2, Proposer: 1}))
	fmt.Println(acceptor.Accept(consensus.ProposalNumber{Round: 1, Proposer: 3}, consensus.Record{Epoch: 1}))
	fmt.Println(acceptor.Accept(consensus.ProposalNumber{Round: 2, Proposer: 1}, consensus.Record{Epoch: 1}))
	// Output:
	// true
	// false
	// true
}

// During a change of members, a quorum needs a majority of the old members and one of the new members.
func ExampleQuorum() {
	changing := consensus.Record{
		Members:  []consensus.Member{{ID: 1}, {ID: 2}, {ID: 4}},
		Previous: []consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}},
	}
	fmt.Println(consensus.Quorum(changing, map[uint64]bool{1: true, 4: true}))
	fmt.Println(consensus.Quorum(changing, map[uint64]bool{1: true, 2: true}))
	// Output:
	// false
	// true
}
