package server

import "time"

// connPhase is the phase of a client connection's lifetime. It only advances.
type connPhase uint8

const (
	phaseOpen       connPhase = iota // requests are accepted
	phaseFinishing                   // no further request is accepted; a response may be pending or being written
	phaseHalfClosed                  // the write side is closed; further input is read and discarded
)

// inputState describes the input that was received on a client connection and not yet taken.
type inputState uint8

const (
	inputEmpty     inputState = iota // nothing
	inputPartial                     // part of a request
	inputComplete                    // a complete request, possibly followed by more input
	inputMalformed                   // not a valid request
)

// connUse is how a client has used its connection so far.
type connUse uint8

const (
	useNone         connUse = iota // no byte was received
	useFirstRequest                // bytes were received, but no complete request yet
	useRequests                    // at least one request was taken
)

// clientState is the state machine of a client connection, without its buffers and socket. It determines which operations are
// allowed on the connection and when it has timed out. It is guarded by clientConn.mu.
type clientState struct {
	phase           connPhase
	input           inputState
	use             connUse
	responsePending bool // a request was taken and its response is not yet written
	overflowed      bool // more input than the buffers can hold: complete requests are served, the input after them is discarded

	acceptedAt   time.Time
	waitingSince time.Time // when it became idle, or when the current request's first bytes were received; timeouts count from here
}

func newClientState(now time.Time) clientState {
	return clientState{acceptedAt: now, waitingSince: now}
}

// acceptsInput reports whether received bytes are kept. Otherwise they are read and discarded.
func (s *clientState) acceptsInput() bool { return s.phase == phaseOpen && !s.overflowed }

// hasRequest reports whether the input begins with a request that needs a response, valid or not.
func (s *clientState) hasRequest() bool { return s.input >= inputComplete }

// bytesReceived records that bytes were read. first reports whether the input was empty before.
func (s *clientState) bytesReceived(now time.Time, first bool) {
	if s.use == useNone {
		s.use = useFirstRequest
	}
	if first && !s.responsePending {
		s.waitingSince = now
	}
}

// requestTaken records that the buffered request is being processed.
func (s *clientState) requestTaken() {
	s.input = inputEmpty
	s.use = useRequests
	s.responsePending = true
}

// responseWritten records that no response is pending any more.
func (s *clientState) responseWritten(now time.Time) {
	s.responsePending = false
	s.waitingSince = now
}

// finish stops the connection from accepting further requests.
func (s *clientState) finish() { s.phase = max(s.phase, phaseFinishing) }

// isIdle reports whether the connection is between requests and may be closed. A connection that was just accepted is not idle,
// because its first request may be in transit.
func (s *clientState) isIdle(now time.Time) bool {
	if s.phase != phaseOpen || s.responsePending || s.input != inputEmpty {
		return false
	}
	return s.use != useNone || now.Sub(s.acceptedAt) >= newConnGrace
}

// overdue reports whether the connection has been idle for too long, or its request is not complete in time.
func (s *clientState) overdue(now time.Time, requestTimeout time.Duration) bool {
	if s.phase != phaseOpen || s.responsePending || s.hasRequest() {
		return false
	}
	return now.Sub(s.waitingSince) > s.timeout(now, requestTimeout)
}

// timeout returns how long the connection may wait in its current state.
func (s *clientState) timeout(now time.Time, requestTimeout time.Duration) time.Duration {
	switch {
	case s.input == inputPartial && s.use == useFirstRequest && now.Sub(s.acceptedAt) > firstRequestTimeout:
		return 0
	case s.input == inputPartial:
		return requestTimeout
	case s.use == useNone:
		return firstByteTimeout
	}
	return idleConnTimeout
}
