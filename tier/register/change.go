package register

import (
	"context"

	"otterseam/tier/codes"
)

// Transport reaches the witnesses. A witness of another identity at the address gives no promise.
type Transport interface {
	Prepare(ctx context.Context, to Member, ballot Ballot) (Promise, error)
	Accept(ctx context.Context, to Member, ballot Ballot, value Record) (Promise, error)
}

// Change is a compare-and-set: it returns the value that is to follow the current one, or false to leave it.
type Change func(current Record, reached map[uint64]bool) (next Record, wanted bool)

const maxAttempts = 4

// Propose reads the register and changes it. start is the newest record known, which names the witnesses to begin with;
// round is a number above all rounds this proposer used before, and the returned one is the highest seen. On an error the
// change may or may not take effect later.
func Propose(ctx context.Context, transport Transport, proposer uint64, start Record, round uint64, change Change) (Record, uint64, error) {
	for range maxAttempts {
		round++
		ballot := Ballot{Round: round, Proposer: proposer}
		current, promises, err := read(ctx, transport, start, ballot)
		round = max(round, highestRound(promises))
		if err != nil {
			if ctx.Err() != nil {
				return start, round, codes.Timeout
			}
			start = Newest(promises, start)
			continue
		}
		next, wanted := change(current, given(promises))
		if !wanted {
			next = current
		}
		next.Previous = pending(current, next)
		if err := write(ctx, transport, ballot, current, next); err != nil {
			start = current
			continue
		}
		return next, round, nil
	}
	return start, round, codes.Unavailable
}

// pending are the members that a next writer has to ask besides, because a majority of them may not know the new ones yet.
func pending(current, next Record) []Member {
	if sameMembers(current.Members, next.Members) {
		return nil
	}
	return current.Members
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		if !HasMember(b, member.ID) {
			return false
		}
	}
	return true
}

// read collects promises until they are a quorum of the newest record among them.
func read(ctx context.Context, transport Transport, start Record, ballot Ballot) (Record, map[uint64]Promise, error) {
	promises := map[uint64]Promise{}
	asked := map[uint64]bool{}
	current := start
	for {
		var ask []Member
		for _, member := range current.Voters() {
			if !asked[member.ID] {
				asked[member.ID] = true
				ask = append(ask, member)
			}
		}
		enough := func() bool { return Quorum(Newest(promises, start), given(promises)) && Quorum(start, given(promises)) }
		collect(ask, promises, enough, func(to Member) (Promise, error) { return transport.Prepare(ctx, to, ballot) })
		newest := Newest(promises, start)
		voted := given(promises)
		if Quorum(start, voted) && Quorum(newest, voted) {
			return newest, promises, nil
		}
		if allAsked(newest, asked) {
			return newest, promises, codes.Unavailable
		}
		current = newest
	}
}

func allAsked(record Record, asked map[uint64]bool) bool {
	for _, member := range record.Voters() {
		if !asked[member.ID] {
			return false
		}
	}
	return true
}

// write has the value accepted by a quorum of the record that it replaces and by one of its own.
func write(ctx context.Context, transport Transport, ballot Ballot, current, next Record) error {
	both := Record{Members: current.Voters(), Previous: next.Voters()}
	accepted := map[uint64]Promise{}
	enough := func() bool { return Quorum(current, given(accepted)) && Quorum(next, given(accepted)) }
	collect(both.Voters(), accepted, enough, func(to Member) (Promise, error) {
		return transport.Accept(ctx, to, ballot, next)
	})
	if !enough() {
		return codes.Unavailable
	}
	return nil
}

// collect asks members side by side and returns once the answers are enough or all have come.
func collect(members []Member, answers map[uint64]Promise, enough func() bool, ask func(Member) (Promise, error)) {
	type reply struct {
		id      uint64
		promise Promise
		err     error
	}
	replies := make(chan reply, len(members))
	for _, member := range members {
		go func() {
			promise, err := ask(member)
			replies <- reply{member.ID, promise, err}
		}()
	}
	for range members {
		got := <-replies
		if got.err == nil {
			answers[got.id] = got.promise
		}
		if enough() {
			return
		}
	}
}

func given(promises map[uint64]Promise) map[uint64]bool {
	voted := map[uint64]bool{}
	for id, promise := range promises {
		if promise.Given {
			voted[id] = true
		}
	}
	return voted
}

func highestRound(promises map[uint64]Promise) uint64 {
	highest := uint64(0)
	for _, promise := range promises {
		highest = max(highest, promise.Promised.Round)
	}
	return highest
}
