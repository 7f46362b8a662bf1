package programs

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codes"
)

// shard drives a state with a clock and log index.
type shard struct {
	state *State
	now   int64
	index uint64
}

func newShard() *shard { return &shard{state: NewState(), now: 1_000_000} }

// apply has the state carry out a command at the present time.
func (s *shard) apply(command []byte) Result {
	s.index++
	Stamp(command, s.now)
	return s.state.Apply(s.index, command).(Result)
}

// begin begins a turn of session s.
func (s *shard) begin(request, program string, budget, estimate uint64, previous string) Result {
	return s.apply(Begin{
		Request: request, Program: program, Session: "s", Limited: true, Budget: budget, Estimate: estimate, Previous: previous,
	}.Encode())
}

// end ends a turn on host h-<request>, which is retained for a minute.
func (s *shard) end(request, program string, actual uint64, previous, input, output string) Result {
	return s.apply(End{
		Request: request, Program: program, Session: "s", Actual: actual, Retain: true, RetentionMS: 60_000, Previous: previous,
		Input: []byte(input), Output: []byte(output), Host: "h-" + request,
	}.Encode())
}

func TestBeginRejectsWhatTheBudgetDoesNotHold(t *testing.T) {
	s := newShard()
	if got := s.begin("a", "p", 100, 60, ""); got.Code != codes.OK {
		t.Fatal(got.Code)
	}
	if got := s.begin("b", "p", 100, 41, ""); got.Code != codes.BudgetSpent {
		t.Fatalf("41 beside 60 of 100 gave %v", got.Code)
	}
	if got := s.begin("c", "p", 100, 40, ""); got.Code != codes.OK {
		t.Fatalf("the rejected estimate was not taken off: %v", got.Code)
	}
}

func TestBeginAndEndCountOnceForARequest(t *testing.T) {
	s := newShard()
	for range 3 {
		if got := s.begin("a", "p", 100, 60, ""); got.Code != codes.OK {
			t.Fatal(got.Code)
		}
	}
	for range 3 {
		if got := s.end("a", "p", 10, "", "in", "out"); got.Code != codes.OK {
			t.Fatal(got.Code)
		}
	}
	if got := s.begin("b", "p", 100, 90, ""); got.Code != codes.OK {
		t.Fatalf("10 of 100 are spent, and 90 gave %v", got.Code)
	}
}

func TestLateBeginAfterTheEndChargesNothing(t *testing.T) {
	s := newShard()
	s.begin("a", "p", 100, 60, "")
	s.end("a", "p", 10, "", "", "")
	if got := s.begin("a", "p", 100, 60, ""); got.Code != codes.TurnSettled {
		t.Fatal(got.Code)
	}
	if got := s.begin("b", "p", 100, 90, ""); got.Code != codes.OK {
		t.Fatalf("the late begin was charged: %v", got.Code)
	}
}

func TestTurnThatDidNotRunCostsNothing(t *testing.T) {
	s := newShard()
	s.begin("a", "p", 100, 100, "")
	s.apply(End{Request: "a", Program: "p"}.Encode())
	if got := s.begin("b", "p", 100, 100, ""); got.Code != codes.OK {
		t.Fatal(got.Code)
	}
}

func TestChainHoldsInputsAndOutputsFromTheOldestOn(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "A", "a\n")
	s.end("b", "p", 1, "a", "B", "b\n")
	s.end("c", "p", 1, "a", "C", "c\n") // another line goes on from the same turn
	got := s.begin("d", "p", 100, 1, "b")
	if text := string(bytes.Join(got.Chain, nil)); text != "Aa\nBb\n" || got.Host != "h-b" {
		t.Fatalf("chain %q at host %q", text, got.Host)
	}
	got = s.begin("e", "p", 100, 1, "c")
	if text := string(bytes.Join(got.Chain, nil)); text != "Aa\nCc\n" {
		t.Fatalf("chain %q", text)
	}
}

func TestTurnThatIsNotRetainedIsUnknown(t *testing.T) {
	s := newShard()
	if got := s.begin("a", "p", 100, 1, "never"); got.Code != codes.TurnUnknown {
		t.Fatal(got.Code)
	}
	if got := s.begin("b", "p", 100, 100, ""); got.Code != codes.OK {
		t.Fatalf("the rejected turn was charged: %v", got.Code)
	}
}

// A chain lasts as long as the newest turn that goes on from it.
func TestChainIsRetainedAsLongAsItsNewestTurn(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "A", "a\n")
	s.now += 50_000
	s.end("b", "p", 1, "a", "B", "b\n")
	s.now += 59_000
	s.state.sweep(s.now)
	if got := s.begin("c", "p", 100, 1, "b"); got.Code != codes.OK || len(got.Chain) != 4 {
		t.Fatalf("%v with %d parts", got.Code, len(got.Chain))
	}
	s.now += 60_000
	s.state.sweep(s.now)
	if got := s.begin("d", "p", 100, 1, "b"); got.Code != codes.TurnUnknown {
		t.Fatalf("long after its time: %v", got.Code)
	}
	if len(s.state.programOfTurn) != 0 {
		t.Fatalf("%d turns are still indexed", len(s.state.programOfTurn))
	}
}

// A turn that would go on from itself, at once or by way of others, is not stored; the chain stays as it was.
func TestAChainNeverComesBackToItsOwnTurn(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "in-a", "out-a")
	s.end("b", "p", 1, "a", "in-b", "out-b")
	s.end("a", "p", 1, "b", "again", "again")
	s.end("c", "p", 1, "c", "in-c", "out-c")
	if got := s.begin("d", "p", 1000, 1, "b"); got.Code != codes.OK || string(bytes.Join(got.Chain, nil)) != "in-aout-ain-bout-b" {
		t.Fatalf("%v: %s", got.Code, bytes.Join(got.Chain, nil))
	}
	if got := s.begin("e", "p", 1000, 1, "c"); got.Code != codes.TurnUnknown {
		t.Fatalf("a turn that goes on from itself: %v", got.Code)
	}
}

// A cycle in a state that an older version stored ends in an unknown turn.
func TestACycleInStoredTurnsEnds(t *testing.T) {
	p := newProgram()
	p.turns["a"] = turn{previous: "b", expiresAt: 10}
	p.turns["b"] = turn{previous: "a", expiresAt: 10}
	if _, _, found := p.chain("a", 1); found {
		t.Fatal("a cycle has no beginning")
	}
	p.retain(End{Now: 1, Request: "c", Previous: "a"})
}

func TestCountOutlivesTheTurns(t *testing.T) {
	s := newShard()
	s.end("a", "p", 90, "", "A", "a\n")
	s.now += 10 * 60_000
	s.state.sweep(s.now)
	if got := s.begin("b", "p", 100, 11, ""); got.Code != codes.BudgetSpent {
		t.Fatalf("after ten minutes of rest: %v", got.Code)
	}
	s.now += 16 * 60_000
	s.state.sweep(s.now)
	if len(s.state.programs) != 0 {
		t.Fatal("the program was never dropped")
	}
}

// A new program may go on from a turn of another one.
func TestFetchFindsTurnsOfAnyProgram(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "A", "a\n")
	got := s.apply(Fetch{Request: "a"}.Encode())
	if got.Code != codes.OK || string(bytes.Join(got.Chain, nil)) != "Aa\n" {
		t.Fatalf("%v %q", got.Code, got.Chain)
	}
	if got := s.apply(Fetch{Request: "x"}.Encode()); got.Code != codes.TurnUnknown {
		t.Fatal(got.Code)
	}
}

func TestApplyRejectsCommandsCutShort(t *testing.T) {
	for name, encoded := range map[string][]byte{
		"begin": Begin{Request: "a", Program: "p", Budget: 1}.Encode(),
		"end":   End{Request: "a", Program: "p", Actual: 1}.Encode(),
		"fetch": Fetch{Request: "a"}.Encode(),
	} {
		t.Run(name, func(t *testing.T) {
			for n := range encoded {
				state := NewState()
				if got := state.Apply(1, encoded[:n]).(Result); got.Code != codes.Malformed {
					t.Fatalf("%d of %d bytes gave %v", n, len(encoded), got.Code)
				}
				if !bytes.Equal(state.Snapshot(), NewState().Snapshot()) {
					t.Fatalf("%d of %d bytes changed the state", n, len(encoded))
				}
			}
		})
	}
}

// Only bytes that hold a kind and a time can be stamped.
func TestIsCommand(t *testing.T) {
	for name, test := range map[string]struct {
		command []byte
		want    bool
	}{
		"fetch":                 {Fetch{}.Encode(), true},
		"empty":                 {nil, false},
		"cut within the time":   {Fetch{}.Encode()[:stampEnd-1], false},
		"no kind":               {make([]byte, stampEnd), false},
		"kind beyond the known": {append([]byte{byte(CommandFetch) + 1}, make([]byte, stampEnd)...), false},
	} {
		if got := IsCommand(test.command); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Over any order of begins, ends, repeats and restores from a snapshot, the tokens that may reach clients never pass the budget
// by more than what one begin may add, and replicas that restored agree with those that did not.
func TestBudgetHoldsOverRetriesAndRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const budget = 500
		s := newShard()
		open := map[string]uint64{}
		spent := uint64(0)
		for i := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			s.now += int64(rapid.IntRange(0, 3000).Draw(rt, "pause"))
			if rapid.Bool().Draw(rt, "begin") || len(open) == 0 {
				estimate := uint64(rapid.IntRange(1, 200).Draw(rt, "estimate"))
				request := fmt.Sprintf("r%d", i)
				if s.begin(request, "p", budget, estimate, "").Code == codes.OK {
					open[request] = estimate
				}
			} else {
				request := rapid.SampledFrom(sortedKeys(open)).Draw(rt, "ended")
				actual := uint64(rapid.IntRange(0, int(open[request])).Draw(rt, "actual"))
				for range rapid.IntRange(1, 2).Draw(rt, "times") {
					s.end(request, "p", actual, "", "", "")
				}
				delete(open, request)
				spent += actual
			}
			reserved := uint64(0)
			for _, estimate := range open {
				reserved += estimate
			}
			if spent+reserved > budget {
				rt.Fatalf("%d spent and %d reserved of %d", spent, reserved, budget)
			}
			if got := s.state.programs["p"].total(); got != spent+reserved {
				rt.Fatalf("the count is %d, and %d spent and %d reserved", got, spent, reserved)
			}
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				again := NewState()
				if err := again.Restore(s.state.Snapshot()); err != nil {
					rt.Fatal(err)
				}
				if !bytes.Equal(again.Snapshot(), s.state.Snapshot()) {
					rt.Fatal("a restored state differs")
				}
				s.state = again
			}
		}
	})
}
