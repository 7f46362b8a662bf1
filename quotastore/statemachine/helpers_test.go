package statemachine

import "testing"

// apply executes one command at a time of the group's clock.
func apply(s *State, clock float64, c Command) Reply {
	return s.Apply(&Batch{Clock: clock, Commands: []Command{c}})[0]
}

func openSession(t *testing.T, s *State, name string) {
	t.Helper()
	if r := apply(s, s.Clock, Command{Kind: OpenSession, Session: name, Clock: s.Clock}); r.Code != Done {
		t.Fatalf("session: %v", r.Code)
	}
}

// wantTotal wants the counter n to stand at a total.
func wantTotal(t *testing.T, s *State, want float64) {
	t.Helper()
	if total, _ := s.Total("n"); total != want {
		t.Fatalf("counter n stands at %v, want %v", total, want)
	}
}
