package server

import "time"

// connPhase is how far the end of a client connection has come. It only goes forward.
type connPhase uint8

const (
	phaseOpen       connPhase = iota // requests are taken
	phaseFinishing                   // no further request is taken; an answer may still be owed, or be on its way out
	phaseHalfClosed                  // the sending side is shut, what the client still sends is read and dropped
)

// inputState is what has come on a client connection and was not taken yet.
type inputState uint8

const (
	inputEmpty     inputState = iota // nothing
	inputPartial                     // the beginning of a request
	inputComplete                    // a whole request, perhaps with more behind it
	inputMalformed                   // what can't be a request
)

// connUse is what a client has used its connection for so far.
type connUse uint8

const (
	useNone         connUse = iota // no byte has come
	useFirstRequest                // bytes have come, no request has been taken
	useRequests                    // a request has been taken
)

// clientState is the state machine of a client connection, without its buffers and its socket: what may be done with the
// connection, and when it has waited for too long. It is guarded by clientConn.mu.
type clientState struct {
	phase      connPhase
	input      inputState
	use        connUse
	answerOwed bool // a request is taken and its answer is not written yet
	overflowed bool // more came than there are buffers for: complete requests are served, what came behind them is dropped

	acceptedAt   time.Time
	waitingSince time.Time // when it came to rest, or the bytes of a request began to come: what its time-outs count from
}

func newClientState(now time.Time) clientState {
	return clientState{acceptedAt: now, waitingSince: now}
}

// acceptsInput says whether what comes is kept; else it is read and dropped.
func (s *clientState) acceptsInput() bool { return s.phase == phaseOpen && !s.overflowed }

// hasRequest says whether what has come begins with a request to be answered, well formed or not.
func (s *clientState) hasRequest() bool { return s.input >= inputComplete }

// bytesCame notes that bytes were read; first: nothing stood before them.
func (s *clientState) bytesCame(now time.Time, first bool) {
	if s.use == useNone {
		s.use = useFirstRequest
	}
	if first && !s.answerOwed {
		s.waitingSince = now
	}
}

// requestTaken notes that the request that had come is being answered.
func (s *clientState) requestTaken() {
	s.input = inputEmpty
	s.use = useRequests
	s.answerOwed = true
}

// answerWritten notes that no answer is owed any more.
func (s *clientState) answerWritten(now time.Time) {
	s.answerOwed = false
	s.waitingSince = now
}

// finish lets no further request be taken.
func (s *clientState) finish() { s.phase = max(s.phase, phaseFinishing) }

// isIdle says whether the connection may be closed between requests. One that was just accepted may not: its first request may
// be on its way.
func (s *clientState) isIdle(now time.Time) bool {
	if s.phase != phaseOpen || s.answerOwed || s.input != inputEmpty {
		return false
	}
	return s.use != useNone || now.Sub(s.acceptedAt) >= newConnGrace
}

// overdue says whether the connection has been idle for too long, or its request does not come to its end in time.
func (s *clientState) overdue(now time.Time, requestTimeout time.Duration) bool {
	if s.phase != phaseOpen || s.answerOwed || s.hasRequest() {
		return false
	}
	return now.Sub(s.waitingSince) > s.timeout(now, requestTimeout)
}

// timeout is for how long the connection may wait in its present state.
func (s *clientState) timeout(now time.Time, requestTimeout time.Duration) time.Duration {
	switch {
	case s.input == inputPartial && s.use == useFirstRequest && now.Sub(s.acceptedAt) > firstRequestTimeout:
		return 0
	case s.input == inputPartial:
		return requestTimeout
	case s.use == useNone:
		return silentConnTimeout
	}
	return idleConnTimeout
}
