package programs

import (
	"testing"
	"time"

	"otterseam/tier/codes"
)

// The ChainTTL of a Begin ends when the first sweep may delete a turn of the chain, and not earlier.
func TestChainIsRetainedForItsTTL(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "A", "a\n")
	s.now += 30_000
	s.end("b", "p", 1, "a", "B", "b\n")
	s.now += 55_000
	got := s.begin("c", "p", 100, 1, "b")
	if got.Code != codes.OK || got.ChainTTL != 15_001 {
		t.Fatalf("60 s and 10 s of clock skew, of which 55 s have passed: %v, %d", got.Code, got.ChainTTL)
	}
	s.now += got.ChainTTL - 1
	s.state.sweep(s.now)
	if p := s.state.programs["p"]; len(p.turns) != 2 {
		t.Fatalf("%d turns are retained within the ChainTTL", len(p.turns))
	}
	s.now++
	s.state.sweep(s.now)
	if p := s.state.programs["p"]; len(p.turns) != 0 {
		t.Fatalf("%d turns are retained after the ChainTTL", len(p.turns))
	}
}

// Only a chain that the End may need has a ChainTTL. That of a turn which would be its own predecessor is unlimited, so that the turn does
// not replace the earlier one of its ID.
func TestChainTTL(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "A", "a\n")
	s.end("b", "p", 1, "a", "B", "b\n")
	s.now += 70_000 // the last moment
	for name, test := range map[string]struct {
		request, previous string
		want              int64
	}{
		"first turn":             {"c", "", 0},
		"no such turn":           {"d", "x", 0},
		"last moment":            {"e", "b", 1},
		"its own predecessor":    {"b", "b", unlimitedChainTTL},
		"predecessor of another": {"a", "b", unlimitedChainTTL},
	} {
		state := NewState()
		if err := state.Restore(s.state.Snapshot()); err != nil {
			t.Fatal(err)
		}
		state.programs["p"].settled = nil // so that a request ID can be used again
		restored := &shard{state: state, now: s.now}
		for range 2 { // also for a repeated Begin
			if got := restored.begin(test.request, "p", 100, 1, test.previous); got.ChainTTL != test.want {
				t.Errorf("%s: %v, %d, want %d", name, got.Code, got.ChainTTL, test.want)
			}
		}
	}
}

func TestChainGuarantee(t *testing.T) {
	for name, test := range map[string]struct {
		ttl  int64
		want time.Duration
	}{
		"not told":        {0, 10 * time.Second},
		"within the skew": {1, -9999 * time.Millisecond},
		"beyond the skew": {70_001, 60_001 * time.Millisecond},
	} {
		if got := (Result{ChainTTL: test.ttl}).ChainGuarantee(); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	if got := (Result{ChainTTL: unlimitedChainTTL}).ChainGuarantee(); got < 24*365*time.Hour {
		t.Errorf("unlimited: %v", got)
	}
}

// A turn that was stored with the texts of its chain needs none of its predecessors.
func TestTurnStoredWithItsChainNeedsNoPredecessor(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "A", "a\n")
	s.now += 69_000
	s.begin("b", "p", 100, 1, "a")
	s.now += 60_000
	s.state.sweep(s.now)
	s.end("b", "p", 1, "", "Aa\nB", "b\n")
	s.state.sweep(s.now)
	got := s.begin("c", "p", 100, 1, "b")
	if text := joined(got); got.Code != codes.OK || text != "Aa\nBb\n" || got.Host != "h-b" {
		t.Fatalf("%v, chain %q at host %q", got.Code, text, got.Host)
	}
}

func joined(result Result) string {
	var text string
	for _, part := range result.Chain {
		text += string(part)
	}
	return text
}

// Guards against index entries that no sweep deletes: a turn that continues itself is not retained, and when its chain expired while it
// ran, its ID is that of no retained turn either.
func TestTurnThatIsNotRetainedIsNotIndexed(t *testing.T) {
	s := newShard()
	s.end("a", "p", 1, "", "A", "a\n")
	s.state.programs["p"].settled = nil // so that the request ID can be used again
	s.begin("a", "p", 100, 1, "a")
	s.now += 80_000
	s.state.sweep(s.now)
	s.end("a", "p", 1, "a", "again", "again\n")
	s.now += 80_000
	s.state.sweep(s.now)
	if len(s.state.programOfTurn) != 0 {
		t.Fatalf("indexed: %v", s.state.programOfTurn)
	}
}
