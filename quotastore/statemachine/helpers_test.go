package statemachine

import "testing"

// apply executes one command in a batch of its own with the given clock.
func apply(s *State, clock float64, c Command) Reply {
	return s.Apply(&Batch{Clock: clock, Commands: []Command{c}})[0]
}

func openSession(t *testing.T, s *State, name string) {
	t.Helper()
	if r := apply(s, s.Clock, Command{Kind: OpenSession, Session: name, Clock: s.Clock}); r.Code != Done {
		t.Fatalf("session: %v", r.Code)
	}
}

// wantTotal checks the total of the counter n.
func wantTotal(t *testing.T, s *State, want float64) {
	t.Helper()
	if total, _ := s.Total("n"); total != want {
		t.Fatalf("counter n has total %v, want %v", total, want)
	}
}
