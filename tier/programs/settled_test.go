package programs

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codes"
)

// ticketedTurn returns the commands of a turn of program p whose ticket has the given number.
func ticketedTurn(number uint64) (begin, end []byte) {
	ticket := Ticket{Gateway: 7, Number: number}
	request := fmt.Sprint("turn-", number)
	begin = Begin{Request: request, Program: "p", Session: "s", Limited: true, Budget: 100_000, Estimate: 60, Ticket: ticket}.Encode()
	end = End{Request: request, Program: "p", Session: "s", Actual: 10, Ticket: ticket}.Encode()
	return begin, end
}

// A Begin can be delayed by 30 seconds in a stalled connection and arrive after its turn has ended, when so many later turns were
// settled that the turn is no longer stored. It must not be charged, and a repeated End must not be charged a second time.
func TestLateRetriesOfEvictedTurnsAreNotCharged(t *testing.T) {
	s := newShard()
	const turns = 3 * maxSettledTurns
	for number := uint64(1); number <= turns; number++ {
		begin, end := ticketedTurn(number)
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
			begin, end := ticketedTurn(number)
			if got := s.apply(begin).Code; got != codes.TurnSettled {
				t.Fatalf("%s: late Begin of turn %d: %v", name, number, got)
			}
			if got := s.apply(end).Code; got != codes.OK {
				t.Fatalf("%s: repeated End of turn %d: %v", name, number, got)
			}
		}
		if got := state.programs["p"].total(); got != 10*turns {
			t.Fatalf("%s: total is %d, want %d", name, got, 10*turns)
		}
	}
}

// An open turn stays open, however many later turns of its gateway are settled.
func TestOpenTurnSurvivesLaterSettledTurns(t *testing.T) {
	s := newShard()
	longBegin, longEnd := ticketedTurn(1)
	s.apply(longBegin)
	for number := uint64(2); number <= 3*maxSettledTurns; number++ {
		begin, end := ticketedTurn(number)
		s.apply(begin)
		s.apply(end)
	}
	if got := s.apply(longBegin).Code; got != codes.OK {
		t.Fatalf("repeated Begin: %v", got)
	}
	s.apply(longEnd)
	if got := s.state.programs["p"].total(); got != 10*3*maxSettledTurns {
		t.Fatalf("total is %d", got)
	}
}

// A turn that was rejected for its budget is rejected again even if the budget has room by then, because its gateway has given it up.
func TestRejectedTurnIsNotChargedLater(t *testing.T) {
	s := newShard()
	s.begin("a", "p", 100, 60, "")
	if got := s.begin("b", "p", 100, 60, ""); got.Code != codes.BudgetSpent {
		t.Fatal(got.Code)
	}
	s.end("a", "p", 1, "", "", "")
	if got := s.begin("b", "p", 100, 60, ""); got.Code != codes.BudgetSpent {
		t.Fatalf("repeated Begin of the rejected turn: %v", got.Code)
	}
	if got := s.state.programs["p"].total(); got != 1 {
		t.Fatalf("total is %d", got)
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
		t.Fatalf("%d gateways have a watermark", len(p.watermarks))
	}
	if _, kept := p.watermarks[3*maxWatermarks-maxSettledTurns]; !kept {
		t.Fatal("the newest watermark was dropped")
	}
}

// Each turn is charged once, however often, how late and in which order its calls are repeated after the first time.
func TestTurnIsChargedOnceAcrossLateRetries(t *testing.T) {
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
			begin, end := ticketedTurn(number)
			sent = append(sent, begin, end)
			s.apply(bytes.Clone(begin))
			s.apply(bytes.Clone(end))
		}
		if p := s.state.programs["p"]; p.total() != 10*number {
			rt.Fatalf("%d turns of 10 tokens were charged %d tokens", number, p.total())
		}
	})
}
