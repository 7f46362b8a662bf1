package programs

import (
	"bytes"
	"fmt"
	"testing"
)

// A program that lives for long and whose gateways die in the middle of turns keeps its count and does not grow.
func TestAbandonedReservationsAreChargedAndForgotten(t *testing.T) {
	const turns = 20_000
	s := newShard()
	for i := range turns {
		s.now += 1000
		s.apply(Begin{Request: fmt.Sprint("turn-", i), Program: "p", Session: fmt.Sprint("s-", i), Estimate: 3}.Encode())
		s.apply(End{Request: fmt.Sprint("other-", i), Program: "p", Session: fmt.Sprint("s-", i), Host: "h"}.Encode())
	}
	p := s.state.programs["p"]
	if got := p.total(); got != 3*turns {
		t.Fatalf("the total is %d", got)
	}
	if most := reservationTTL/1000 + sweepInterval; len(p.reserved) > most {
		t.Fatalf("%d reservations are kept, %d are allowed", len(p.reserved), most)
	}
	if len(p.sessionHosts) > maxSessions {
		t.Fatalf("%d sessions are remembered", len(p.sessionHosts))
	}
	again := NewState()
	if err := again.Restore(s.state.Snapshot()); err != nil || !bytes.Equal(again.Snapshot(), s.state.Snapshot()) {
		t.Fatalf("a restored state differs: %v", err)
	}
}

// The end of a turn within the time takes its own estimate off, not one that was charged for good.
func TestEndInTimeSettlesItsReservation(t *testing.T) {
	s := newShard()
	s.begin("a", "p", 1000, 60, "")
	s.now += reservationTTL - 1000
	s.state.sweep(s.now)
	s.end("a", "p", 10, "", "", "")
	if got := s.state.programs["p"].total(); got != 10 {
		t.Fatalf("the total is %d", got)
	}
}
