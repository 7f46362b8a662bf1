package server

import quotaclient "otterseam/quotastore/client"

const (
	markerWaitFraction = 0.4 // part of an invocation's time for which its marker is waited for
	markerRetryAfter   = 1   // seconds after which a client may come back whose marker could not be had
)

// awaitMarker has an invocation wait until its marker is held; false: it need not.
func (s *StoreStream) awaitMarker(inv *invocation) bool {
	if s == nil || !s.holdsMarkers {
		return false
	}
	scope, needs := s.loop.policy.DedupScope(inv.Operation)
	if !needs {
		return false
	}
	if !s.isConnected() {
		inv.client.responses <- response{request: inv.request, status: 503, retryAfter: markerRetryAfter}
		return true
	}
	requestID := s.client.AcquireMarker(inv.Ref, scope, inv.Timeout)
	inv.markerRequest = requestID
	s.awaitingMarker[requestID] = inv
	s.send(s.client.TakeRequests(s.loop.now))
	return true
}

// markerAnswered lets an invocation go on if the store holds its marker now. A marker held before was acquired for another
// delivery, or for a client that sent its request twice.
func (s *StoreStream) markerAnswered(outcome quotaclient.Outcome) {
	inv := s.awaitingMarker[outcome.RequestID]
	if inv == nil {
		return
	}
	if outcome.Kind == quotaclient.MarkerUnknown {
		s.rejectUnmarked(inv)
		return
	}
	delete(s.awaitingMarker, outcome.RequestID)
	if outcome.Kind == quotaclient.MarkerHeld {
		inv.client.responses <- response{request: inv.request, status: 409}
		return
	}
	inv.markerHeld = true
	s.loop.admit(inv)
}

// expireMarkers rejects invocations whose marker was waited for too long. Each is judged by itself, so their order does not show.
func (s *StoreStream) expireMarkers(now float64) {
	for _, inv := range s.awaitingMarker {
		if now > inv.deadline-(1-markerWaitFraction)*inv.Timeout {
			s.rejectUnmarked(inv)
		}
	}
}

// rejectUnmarked ends an invocation of which it is not known whether a delivery may begin, so none does: nothing was sent, and trying
// again is harmless.
func (s *StoreStream) rejectUnmarked(inv *invocation) {
	delete(s.awaitingMarker, inv.markerRequest)
	s.client.ReleaseMarker(inv.Ref)
	inv.client.responses <- response{request: inv.request, status: 503, retryAfter: markerRetryAfter}
}

// clientGone ends an invocation whose client has left while its marker was waited for; false: it isn't waited for.
func (s *StoreStream) clientGone(inv *invocation) bool {
	if s == nil || s.awaitingMarker[inv.markerRequest] != inv {
		return false
	}
	delete(s.awaitingMarker, inv.markerRequest)
	s.client.ReleaseMarker(inv.Ref)
	inv.client.responses <- response{request: inv.request}
	return true
}
