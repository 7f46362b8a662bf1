package server

import (
	"testing"
	"time"
)

// The state of a client connection alone determines whether the connection is idle and whether it has timed out.
func TestClientStateIdleAndOverdue(t *testing.T) {
	const requestTimeout = time.Second
	start := time.Unix(1000, 0)
	after := start.Add
	const late = time.Hour
	for name, c := range map[string]struct {
		change  func(s *clientState)
		now     time.Time
		idle    bool
		overdue bool
	}{
		"just accepted": {func(*clientState) {}, after(newConnGrace - 1), false, false},
		"silent":        {func(*clientState) {}, after(newConnGrace), true, false},
		"silent for long": {
			func(*clientState) {}, after(firstByteTimeout + 1), true, true,
		},
		"request begun": {
			func(s *clientState) { s.bytesReceived(after(0), true); s.input = inputPartial }, after(requestTimeout), false, false,
		},
		"request begun long ago": {
			func(s *clientState) { s.bytesReceived(after(0), true); s.input = inputPartial }, after(requestTimeout + 1), false, true,
		},
		"first request begun late": {
			func(s *clientState) { s.bytesReceived(after(firstRequestTimeout), true); s.input = inputPartial },
			after(firstRequestTimeout + 1), false, true,
		},
		"later request begun late": {
			func(s *clientState) {
				s.requestTaken()
				s.responseWritten(after(firstRequestTimeout))
				s.bytesReceived(after(firstRequestTimeout), true)
				s.input = inputPartial
			}, after(firstRequestTimeout + 1), false, false,
		},
		"request complete": {
			func(s *clientState) { s.bytesReceived(after(0), true); s.input = inputComplete }, after(late), false, false,
		},
		"request malformed": {
			func(s *clientState) { s.bytesReceived(after(0), true); s.input = inputMalformed }, after(late), false, false,
		},
		"answer owed": {func(s *clientState) { s.requestTaken() }, after(late), false, false},
		"between requests": {
			func(s *clientState) { s.requestTaken(); s.responseWritten(after(time.Second)) }, after(time.Second + idleConnTimeout), true, false,
		},
		"between requests for long": {
			func(s *clientState) { s.requestTaken(); s.responseWritten(after(time.Second)) }, after(time.Second + idleConnTimeout + 1), true, true,
		},
		"finishing":   {func(s *clientState) { s.finish() }, after(late), false, false},
		"half closed": {func(s *clientState) { s.phase = phaseHalfClosed }, after(late), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientState(start)
			c.change(&s)
			if s.isIdle(c.now) != c.idle || s.overdue(c.now, requestTimeout) != c.overdue {
				t.Errorf("idle %v, overdue %v; want %v, %v", s.isIdle(c.now), s.overdue(c.now, requestTimeout), c.idle, c.overdue)
			}
		})
	}
}

// The phase of a connection never goes back.
func TestClientStateDoesNotReopen(t *testing.T) {
	s := newClientState(time.Now())
	s.phase = phaseHalfClosed
	s.finish()
	if s.phase != phaseHalfClosed {
		t.Errorf("phase %d", s.phase)
	}
	s.overflowed = true
	if s.acceptsInput() {
		t.Error("input is accepted after the half-close")
	}
}

// A connection whose input overflowed accepts no more input, but a request that was complete before is still served.
func TestClientStateKeepsCompleteRequestsOnOverflow(t *testing.T) {
	s := newClientState(time.Now())
	s.input = inputComplete
	s.overflowed = true
	if s.acceptsInput() || !s.hasRequest() {
		t.Errorf("accepts input: %v, has a request: %v", s.acceptsInput(), s.hasRequest())
	}
}
