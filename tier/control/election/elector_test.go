package election

import (
	"context"
	"errors"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
	"otterseam/tier/storage"
)

// localAcceptors is a transport to acceptors in memory, which answer at once. The first accepts reach only acceptor 1, and once they have
// been dropped, prepares don't reach acceptor 3 any more.
type localAcceptors struct {
	acceptors     map[uint64]*consensus.Acceptor
	acceptsToDrop int // accepts still to be dropped
}

var errUnreachable = errors.New("acceptor is unreachable")

func (l *localAcceptors) Prepare(_ context.Context, to consensus.Member, ballot consensus.ProposalNumber) (consensus.Response, error) {
	if l.acceptsToDrop == 0 && to.ID == 3 {
		return consensus.Response{}, errUnreachable
	}
	acceptor := l.acceptors[to.ID]
	granted := acceptor.Prepare(ballot)
	return consensus.Response{Granted: granted, Promised: acceptor.Promised, Accepted: acceptor.Accepted, Value: acceptor.Value}, nil
}

func (l *localAcceptors) Accept(_ context.Context, to consensus.Member, ballot consensus.ProposalNumber, value consensus.Record) (consensus.Response, error) {
	if l.acceptsToDrop > 0 && to.ID != 1 {
		l.acceptsToDrop--
		return consensus.Response{}, errUnreachable
	}
	acceptor := l.acceptors[to.ID]
	granted := acceptor.Accept(ballot, value)
	return consensus.Response{Granted: granted, Promised: acceptor.Promised, Accepted: acceptor.Accepted, Value: acceptor.Value}, nil
}

// serialTransport passes calls on one at a time.
type serialTransport struct {
	semaphore chan struct{}
	inner     consensus.Transport
}

func (s serialTransport) Prepare(ctx context.Context, to consensus.Member, ballot consensus.ProposalNumber) (consensus.Response, error) {
	s.semaphore <- struct{}{}
	defer func() { <-s.semaphore }()
	return s.inner.Prepare(ctx, to, ballot)
}

func (s serialTransport) Accept(ctx context.Context, to consensus.Member, ballot consensus.ProposalNumber, value consensus.Record) (consensus.Response, error) {
	s.semaphore <- struct{}{}
	defer func() { <-s.semaphore }()
	return s.inner.Accept(ctx, to, ballot, value)
}

// The first attempt of a takeover reaches only one acceptor, so the second attempt finds the takeover's own value there. The change counts
// as applied, and is applied once.
func TestProposalThatFindsItsOwnValueSucceeds(t *testing.T) {
	members := []consensus.Member{{ID: 1}, {ID: 2}, {ID: 3}}
	stub := &localAcceptors{acceptors: map[uint64]*consensus.Acceptor{}, acceptsToDrop: 2}
	start := consensus.Record{Epoch: 5, Primary: 2, InSync: []uint64{1, 2, 3}, Members: members}
	for _, member := range members {
		stub.acceptors[member.ID] = &consensus.Acceptor{Accepted: consensus.ProposalNumber{Round: 1, Proposer: 2}, Value: start}
	}
	attempt := &consensus.IdempotentChange{Change: func(current consensus.Record) (consensus.Record, bool) {
		if current.Epoch > start.Epoch {
			return current, false
		}
		return membership.Policy{Tolerate: 1}.Successor(current, 1, func(uint64) bool { return false }), true
	}}
	rounds := consensus.NewRoundAllocator(1, func(uint64) error { return nil })
	transport := serialTransport{make(chan struct{}, 1), stub}
	record, err := consensus.Proposer{ID: 1, Rounds: rounds, Transport: transport}.Propose(context.Background(), start, attempt.Apply)
	if err != nil || record.Epoch != 6 || record.Primary != 1 || !attempt.Applied() {
		t.Fatalf("%+v, %v, applied %v", record, err, attempt.Applied())
	}
}

// A record that was accepted somewhere but never decided must not prevail over the decided record of the same epoch.
func TestDecidedRecordReplacesUndecidedRecordOfItsEpoch(t *testing.T) {
	undecided := consensus.Record{Epoch: 6, Primary: 1}
	decided := consensus.Record{Epoch: 6, Primary: 2}
	for _, test := range []struct {
		name                  string
		record                consensus.Record
		decided, knownDecided bool
		want                  bool
	}{
		{"decided after undecided", decided, true, false, true},
		{"received after undecided", decided, false, false, true},
		{"received after decided", undecided, false, true, false},
		{"newer", consensus.Record{Epoch: 7}, false, true, true},
		{"older", consensus.Record{Epoch: 5}, true, false, false},
		{"none", consensus.Record{}, false, false, false},
	} {
		known := consensus.Record{Epoch: 6, Primary: 3}
		if test.name == "none" {
			known = consensus.Record{}
		}
		if got := Supersedes(test.record, test.decided, known, test.knownDecided); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

// The rounds of a process are reserved on disk before it proposes, so that it doesn't reuse one of them after a restart.
func TestRoundsAreNotReusedAfterRestart(t *testing.T) {
	dir := t.TempDir()
	last := uint64(0)
	for incarnation := range 3 {
		values, err := storage.OpenValues(dir)
		if err != nil {
			t.Fatal(err)
		}
		rounds, err := openRounds(values, consensus.Acceptor{})
		if err != nil {
			t.Fatal(err)
		}
		for range 5 {
			round, err := rounds.Next()
			if err != nil || round <= last {
				t.Fatalf("incarnation %d used round %d after %d, %v", incarnation, round, last, err)
			}
			last = round
		}
	}
}
