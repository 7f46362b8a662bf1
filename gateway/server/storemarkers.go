package server

import quotaclient "otterseam/quotastore/client"

const (
	markerWaitFraction = 0.4 // fraction of an invocation's timeout for which its marker is waited for
	markerRetryAfter   = 1   // seconds after which a client may retry when its marker could not be acquired
)

// awaitMarker requests the marker of an invocation, which then waits for it. It returns false if the invocation needs no marker.
// Without a connection to the store it rejects the invocation and returns true.
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

// markerReplied admits an invocation if the store now holds its marker. A marker that was already held belongs to another delivery,
// or the client sent its request twice.
func (s *StoreStream) markerReplied(outcome quotaclient.Outcome) {
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

// expireMarkers rejects invocations whose marker was not acquired in time. They are independent of each other, so the order of the
// map iteration does not matter.
func (s *StoreStream) expireMarkers(now float64) {
	for _, inv := range s.awaitingMarker {
		if now > inv.deadline-(1-markerWaitFraction)*inv.Timeout {
			s.rejectUnmarked(inv)
		}
	}
}

// rejectUnmarked rejects an invocation for which it is not known whether a delivery may begin. Nothing was sent, so the client may
// safely retry.
func (s *StoreStream) rejectUnmarked(inv *invocation) {
	delete(s.awaitingMarker, inv.markerRequest)
	s.client.ReleaseMarker(inv.Ref)
	inv.client.responses <- response{request: inv.request, status: 503, retryAfter: markerRetryAfter}
}

// clientGone ends an invocation whose client has left while the marker was waited for. It returns false if the invocation does not
// wait for a marker.
func (s *StoreStream) clientGone(inv *invocation) bool {
	if s == nil || s.awaitingMarker[inv.markerRequest] != inv {
		return false
	}
	delete(s.awaitingMarker, inv.markerRequest)
	s.client.ReleaseMarker(inv.Ref)
	inv.client.responses <- response{request: inv.request}
	return true
}
