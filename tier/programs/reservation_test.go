package programs

import (
	"bytes"
	"fmt"
	"testing"
)

// The state of a long-lived program whose gateways fail during turns keeps its token count and stays bounded.
func TestAbandonedReservationsAreChargedAndRemoved(t *testing.T) {
	const turns = 20_000
	s := newShard()
	for i := range turns {
		s.now += 1000
		s.apply(Begin{Request: fmt.Sprint("turn-", i), Program: "p", Session: fmt.Sprint("s-", i), Estimate: 3}.Encode())
		s.apply(End{Request: fmt.Sprint("other-", i), Program: "p", Session: fmt.Sprint("s-", i), Host: "h"}.Encode())
	}
	p := s.state.programs["p"]
	if got := p.total(); got != 3*turns {
		t.Fatalf("total is %d", got)
	}
	if limit := reservationTTL/1000 + sweepInterval; len(p.reserved) > limit {
		t.Fatalf("%d reservations are kept, %d are allowed", len(p.reserved), limit)
	}
	if len(p.sessionHosts) > maxSessions {
		t.Fatalf("%d sessions are stored", len(p.sessionHosts))
	}
	restored := NewState()
	if err := restored.Restore(s.state.Snapshot()); err != nil || !bytes.Equal(restored.Snapshot(), s.state.Snapshot()) {
		t.Fatalf("the restored state differs: %v", err)
	}
}

// An End that arrives before reservationTTL releases the turn's reservation, which must not have been charged as abandoned.
func TestEndBeforeTTLSettlesItsReservation(t *testing.T) {
	s := newShard()
	s.begin("a", "p", 1000, 60, "")
	s.now += reservationTTL - 1000
	s.state.sweep(s.now)
	s.end("a", "p", 10, "", "", "")
	if got := s.state.programs["p"].total(); got != 10 {
		t.Fatalf("total is %d", got)
	}
}
