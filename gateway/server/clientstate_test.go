package server

import (
	"testing"
	"time"
)

// A client connection's state decides alone when the connection is idle and when it has waited for too long.
func TestClientStateTellsIdleAndOverdueConnections(t *testing.T) {
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
			func(*clientState) {}, after(silentConnTimeout + 1), true, true,
		},
		"request begun": {
			func(s *clientState) { s.bytesCame(after(0), true); s.input = inputPartial }, after(requestTimeout), false, false,
		},
		"request begun long ago": {
			func(s *clientState) { s.bytesCame(after(0), true); s.input = inputPartial }, after(requestTimeout + 1), false, true,
		},
		"first request begun late": {
			func(s *clientState) { s.bytesCame(after(firstRequestTimeout), true); s.input = inputPartial },
			after(firstRequestTimeout + 1), false, true,
		},
		"later request begun late": {
			func(s *clientState) {
				s.requestTaken()
				s.answerWritten(after(firstRequestTimeout))
				s.bytesCame(after(firstRequestTimeout), true)
				s.input = inputPartial
			}, after(firstRequestTimeout + 1), false, false,
		},
		"request complete": {
			func(s *clientState) { s.bytesCame(after(0), true); s.input = inputComplete }, after(late), false, false,
		},
		"request malformed": {
			func(s *clientState) { s.bytesCame(after(0), true); s.input = inputMalformed }, after(late), false, false,
		},
		"answer owed": {func(s *clientState) { s.requestTaken() }, after(late), false, false},
		"between requests": {
			func(s *clientState) { s.requestTaken(); s.answerWritten(after(time.Second)) }, after(time.Second + idleConnTimeout), true, false,
		},
		"between requests for long": {
			func(s *clientState) { s.requestTaken(); s.answerWritten(after(time.Second)) }, after(time.Second + idleConnTimeout + 1), true, true,
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

// The phase of a connection only goes forward.
func TestClientStateDoesNotReopen(t *testing.T) {
	s := newClientState(time.Now())
	s.phase = phaseHalfClosed
	s.finish()
	if s.phase != phaseHalfClosed {
		t.Errorf("phase %d", s.phase)
	}
	s.overflowed = true
	if s.acceptsInput() {
		t.Error("input is accepted after the end")
	}
}

// A connection whose input overflowed takes no more, but what was complete before is still a request.
func TestClientStateKeepsCompleteRequestsOfAnOverflow(t *testing.T) {
	s := newClientState(time.Now())
	s.input = inputComplete
	s.overflowed = true
	if s.acceptsInput() || !s.hasRequest() {
		t.Errorf("accepts input: %v, has a request: %v", s.acceptsInput(), s.hasRequest())
	}
}
