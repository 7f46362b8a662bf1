package programs

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterseam/tier/codes"
)

// shard applies commands to a state with a simulated clock and log index.
type shard struct {
	state *State
	now   int64
	index uint64
}

func newShard() *shard { return &shard{state: NewState(), now: 1_000_000} }

// apply stamps a command with the current time and applies it to the state.
func (s *shard) apply(command []byte) Result {
	s.index++
	Stamp(command, s.now)
	return s.state.Apply(s.index, command).(Result)
}

// begin applies the Begin of a turn of session s.
func (s *shard) begin(request, program string, budget, estimate uint64, previous string) Result {
	return s.apply(Begin{
		Request: request, Program: program, Session: "s", Limited: true, Budget: budget, Estimate: estimate, Previous: previous,
	}.Encode())
}

// end applies the End of a turn that ran on host h-<request> and is retained for one minute.
func (s *shard) end(request, program string, actual uint64, previous, input, output string) Result {
	return s.apply(End{
		Request: request, Program: program, Session: "s", Actual: actual, Retain: true, RetentionMS: 60_000, Previous: previous,
		Input: []byte(input), Output: []byte(output), Host: "h-" + request,
	}.Encode())
}

func TestBeginRejectsEstimateOverBudget(t *testing.T) {
	s := newShard()
	if got := s.begin("a", "p", 100, 60, ""); got.Code != codes.OK {
		t.Fatal(got.Code)
	}
	if got := s.begin("b", "p", 100, 41, ""); got.Code != codes.BudgetSpent {
		t.Fatalf("reserving 41 when 60 of 100 are reserved: %v", got.Code)
	}
	if got := s.begin("c", "p", 100, 40, ""); got.Code != codes.OK {
		t.Fatalf("the rejected estimate was not released: %v", got.Code)
	}
}

func TestRepeatedBeginAndEndCountOnce(t *testing.T) {
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
		t.Fatalf("reserving 90 when 10 of 100 are spent: %v", got.Code)
	}
}

func TestBeginAfterEndChargesNothing(t *testing.T) {
	s := newShard()
	s.begin("a", "p", 100, 60, "")
	s.end("a", "p", 10, "", "", "")
	if got := s.begin("a", "p", 100, 60, ""); got.Code != codes.TurnSettled {
		t.Fatal(got.Code)
	}
	if got := s.begin("b", "p", 100, 90, ""); got.Code != codes.OK {
		t.Fatalf("the late Begin was charged: %v", got.Code)
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

func TestChainListsInputsAndOutputsOldestFirst(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "A", "a\n")
	s.end("b", "p", 1, "a", "B", "b\n")
	s.end("c", "p", 1, "a", "C", "c\n") // a second chain continues the same turn
	got := s.begin("d", "p", 100, 1, "b")
	if text := string(bytes.Join(got.Chain, nil)); text != "Aa\nBb\n" || got.Host != "h-b" {
		t.Fatalf("chain %q at host %q", text, got.Host)
	}
	got = s.begin("e", "p", 100, 1, "c")
	if text := string(bytes.Join(got.Chain, nil)); text != "Aa\nCc\n" {
		t.Fatalf("chain %q", text)
	}
}

func TestUnretainedTurnIsUnknown(t *testing.T) {
	s := newShard()
	if got := s.begin("a", "p", 100, 1, "never"); got.Code != codes.TurnUnknown {
		t.Fatal(got.Code)
	}
	if got := s.begin("b", "p", 100, 100, ""); got.Code != codes.OK {
		t.Fatalf("the rejected turn was charged: %v", got.Code)
	}
}

// A chain is retained as long as the newest turn that continues it.
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
		t.Fatalf("after its expiry: %v", got.Code)
	}
	if len(s.state.programOfTurn) != 0 {
		t.Fatalf("%d turns are still indexed", len(s.state.programOfTurn))
	}
}

// A turn that would be its own predecessor, directly or through other turns, is not stored, and the chain does not change.
func TestRetainRejectsCycles(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "in-a", "out-a")
	s.end("b", "p", 1, "a", "in-b", "out-b")
	s.end("a", "p", 1, "b", "again", "again")
	s.end("c", "p", 1, "c", "in-c", "out-c")
	if got := s.begin("d", "p", 1000, 1, "b"); got.Code != codes.OK || string(bytes.Join(got.Chain, nil)) != "in-aout-ain-bout-b" {
		t.Fatalf("%v: %s", got.Code, bytes.Join(got.Chain, nil))
	}
	if got := s.begin("e", "p", 1000, 1, "c"); got.Code != codes.TurnUnknown {
		t.Fatalf("a turn that continues itself: %v", got.Code)
	}
}

// A state stored by an older version may contain a cycle. Its chain is not found, and neither chain nor retain loops forever.
func TestChainTerminatesOnStoredCycle(t *testing.T) {
	s := NewState()
	p := newProgram()
	p.turns["a"] = turn{previous: "b", expiresAt: 10}
	p.turns["b"] = turn{previous: "a", expiresAt: 10}
	if _, found := p.chain("a", 1); found {
		t.Fatal("the chain of a cycle was found")
	}
	s.retain(p, End{Now: 1, Request: "c", Previous: "a"})
}

func TestTokenCountOutlivesRetainedTurns(t *testing.T) {
	s := newShard()
	s.end("a", "p", 90, "", "A", "a\n")
	s.now += 10 * 60_000
	s.state.sweep(s.now)
	if got := s.begin("b", "p", 100, 11, ""); got.Code != codes.BudgetSpent {
		t.Fatalf("after ten idle minutes: %v", got.Code)
	}
	s.now += 16 * 60_000
	s.state.sweep(s.now)
	if len(s.state.programs) != 0 {
		t.Fatal("the idle program was not deleted")
	}
}

// A new program may continue a turn of another program.
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

func TestApplyRejectsTruncatedCommands(t *testing.T) {
	for name, encoded := range map[string][]byte{
		"begin": Begin{Request: "a", Program: "p", Budget: 1}.Encode(),
		"end":   End{Request: "a", Program: "p", Actual: 1}.Encode(),
		"fetch": Fetch{Request: "a"}.Encode(),
	} {
		t.Run(name, func(t *testing.T) {
			for n := range encoded {
				state := NewState()
				if got := state.Apply(1, encoded[:n]).(Result); got.Code != codes.Malformed {
					t.Fatalf("%d of %d bytes: %v", n, len(encoded), got.Code)
				}
				if !bytes.Equal(state.Snapshot(), NewState().Snapshot()) {
					t.Fatalf("%d of %d bytes changed the state", n, len(encoded))
				}
			}
		})
	}
}

// Only bytes that contain a known kind and a timestamp can be stamped.
func TestIsCommand(t *testing.T) {
	for name, test := range map[string]struct {
		command []byte
		want    bool
	}{
		"fetch":               {Fetch{}.Encode(), true},
		"empty":               {nil, false},
		"truncated timestamp": {Fetch{}.Encode()[:timestampEnd-1], false},
		"no kind":             {make([]byte, timestampEnd), false},
		"unknown kind":        {append([]byte{byte(CommandFetch) + 1}, make([]byte, timestampEnd)...), false},
	} {
		if got := IsCommand(test.command); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// For any order of Begins, Ends, repeated Ends and restores from a snapshot, the spent and reserved tokens never exceed the budget,
// and a restored state equals the original.
func TestBudgetHoldsAcrossRetriesAndRestores(t *testing.T) {
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
				rt.Fatalf("%d spent and %d reserved, budget %d", spent, reserved, budget)
			}
			if got := s.state.programs["p"].total(); got != spent+reserved {
				rt.Fatalf("total is %d with %d spent and %d reserved", got, spent, reserved)
			}
			if rapid.IntRange(0, 9).Draw(rt, "restore") == 0 {
				restored := NewState()
				if err := restored.Restore(s.state.Snapshot()); err != nil {
					rt.Fatal(err)
				}
				if !bytes.Equal(restored.Snapshot(), s.state.Snapshot()) {
					rt.Fatal("the restored state differs")
				}
				s.state = restored
			}
		}
	})
}
