package statemachine

import "testing"

// The reply to an add is lost, and the client sends the add again, also after other commands.
func TestRetriedCommandTakesEffectOnce(t *testing.T) {
	s := New()
	openSession(t, s, "a")
	add := Command{Kind: Add, Session: "a", Sequence: 7, Key: "n", Amount: 3, TTL: 60}
	first := apply(s, 1, add)
	apply(s, 1, Command{Kind: Add, Session: "a", Sequence: 8, Key: "n", Amount: 10, TTL: 60})
	if again := apply(s, 2, add); again.Total != 3 || first.Total != 3 {
		t.Fatalf("first reply %v, second %v", first, again)
	}
	wantTotal(t, s, 13)
	// The add is not executed again either after the client has acknowledged its reply.
	apply(s, 2, Command{Kind: Add, Session: "a", Sequence: 9, AckedBelow: 9, Key: "n", Amount: 1, TTL: 60})
	if r := apply(s, 2, add); r.Code != ResultDiscarded {
		t.Fatalf("a retry of an add whose reply was discarded: %v", r.Code)
	}
	wantTotal(t, s, 14)
}

// An OpenSession that was delayed for a minute must not reopen an expired session: the replies are gone, so a retried command would
// be executed again.
func TestDelayedOpenSessionDoesNotReviveExpiredSession(t *testing.T) {
	s := New()
	open := Command{Kind: OpenSession, Session: "a", Clock: 0}
	apply(s, 0, open)
	add := Command{Kind: Add, Session: "a", Sequence: 1, Key: "n", Amount: 5, TTL: 60}
	apply(s, 1, add)
	apply(s, 1+SessionTTL+1, Command{Kind: Tick})
	for _, step := range []struct {
		name    string
		command Command
		want    Code
	}{
		{"an add after the session has expired", add, UnknownSession},
		{"the delayed OpenSession", open, Invalid},
		{"an add after the delayed OpenSession", add, UnknownSession},
	} {
		if r := apply(s, s.Clock, step.command); r.Code != step.want {
			t.Fatalf("%s: %v, want %v", step.name, r.Code, step.want)
		}
	}
}
