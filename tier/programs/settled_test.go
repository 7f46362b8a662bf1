package programs

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codes"
)

// numbered is a turn of program p with its ticket.
func numbered(number uint64) (begin, end []byte) {
	ticket := Ticket{Gateway: 7, Number: number}
	request := fmt.Sprint("turn-", number)
	begin = Begin{Request: request, Program: "p", Session: "s", Limited: true, Budget: 100_000, Estimate: 60, Ticket: ticket}.Encode()
	end = End{Request: request, Program: "p", Session: "s", Actual: 10, Ticket: ticket}.Encode()
	return begin, end
}

// A begin that stood in a stalled connection for 30 seconds comes after its turn ended, and after so many others that the turn is
// forgotten. It is not charged, and neither is its end a second time.
func TestCallsAfterTheirTurnWasForgottenAreNotCharged(t *testing.T) {
	s := newShard()
	const turns = 3 * maxSettledTurns
	for number := uint64(1); number <= turns; number++ {
		begin, end := numbered(number)
		s.apply(begin)
		s.apply(end)
	}
	s.now += 30_000
	restored := NewState()
	if err := restored.Restore(s.state.Snapshot()); err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"same": s.state, "restored": restored} {
		s.state = state
		for number := uint64(1); number <= turns; number++ {
			begin, end := numbered(number)
			if got := s.apply(begin).Code; got != codes.TurnSettled {
				t.Fatalf("%s: turn %d begun late: %v", name, number, got)
			}
			if got := s.apply(end).Code; got != codes.OK {
				t.Fatalf("%s: turn %d ended again: %v", name, number, got)
			}
		}
		if got := state.programs["p"].total(); got != 10*turns {
			t.Fatalf("%s: the total is %d, not %d", name, got, 10*turns)
		}
	}
}

// A turn that is still open stays so, however many later ones of its gateway were settled.
func TestLongTurnOutlivesLaterOnes(t *testing.T) {
	s := newShard()
	longBegin, longEnd := numbered(1)
	s.apply(longBegin)
	for number := uint64(2); number <= 3*maxSettledTurns; number++ {
		begin, end := numbered(number)
		s.apply(begin)
		s.apply(end)
	}
	if got := s.apply(longBegin).Code; got != codes.OK {
		t.Fatalf("begun again: %v", got)
	}
	s.apply(longEnd)
	if got := s.state.programs["p"].total(); got != 10*3*maxSettledTurns {
		t.Fatalf("the total is %d", got)
	}
}

// A turn that the budget rejected is rejected again, also when there is room by then: its gateway has given it up.
func TestRejectedTurnIsNotChargedLater(t *testing.T) {
	s := newShard()
	s.begin("a", "p", 100, 60, "")
	if got := s.begin("b", "p", 100, 60, ""); got.Code != codes.BudgetSpent {
		t.Fatal(got.Code)
	}
	s.end("a", "p", 1, "", "", "")
	if got := s.begin("b", "p", 100, 60, ""); got.Code != codes.BudgetSpent {
		t.Fatalf("the rejected turn again: %v", got.Code)
	}
	if got := s.state.programs["p"].total(); got != 1 {
		t.Fatalf("the total is %d", got)
	}
}

func TestWatermarksAreBounded(t *testing.T) {
	s := newShard()
	for i := range uint64(3 * maxWatermarks) {
		s.now++
		ticket := Ticket{Gateway: i + 1, Number: 1}
		s.apply(End{Request: fmt.Sprint(i), Program: "p", Session: "s", Ticket: ticket}.Encode())
	}
	p := s.state.programs["p"]
	if len(p.watermarks) != maxWatermarks {
		t.Fatalf("%d gateways are remembered", len(p.watermarks))
	}
	if _, kept := p.watermarks[3*maxWatermarks-maxSettledTurns]; !kept {
		t.Fatal("the gateway that settled last is not remembered")
	}
}

// However often and late the calls of turns come again, in whatever order after their first time, each turn is charged once.
func TestEachTurnIsChargedOnceOverLateRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newShard()
		var sent [][]byte
		number := uint64(0)
		for range rapid.IntRange(1, 150).Draw(rt, "calls") {
			if len(sent) > 0 && rapid.IntRange(0, 2).Draw(rt, "again") == 0 {
				s.apply(bytes.Clone(rapid.SampledFrom(sent).Draw(rt, "call")))
				continue
			}
			number++
			begin, end := numbered(number)
			sent = append(sent, begin, end)
			s.apply(bytes.Clone(begin))
			s.apply(bytes.Clone(end))
		}
		if p := s.state.programs["p"]; p.total() != 10*number {
			rt.Fatalf("%d turns of 10 tokens are charged %d", number, p.total())
		}
	})
}
