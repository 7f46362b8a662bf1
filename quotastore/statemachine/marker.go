package statemachine

import "otterseam/internal/mutation"

const (
	// minMarkerTTL and maxMarkerTTL bound the time to live of a marker, in seconds.
	minMarkerTTL = 0.1
	maxMarkerTTL = 3600.0
)

// marker is the idempotency marker of an invocation. It exists if a delivery of the invocation has begun.
type marker struct {
	Holder    string  `cbor:"1,keyasint"`
	Scope     string  `cbor:"2,keyasint,omitempty"`
	ExpiresAt float64 `cbor:"3,keyasint"`
}

// acquireMarker records that a delivery is about to begin. While the marker is held, a second delivery is only allowed within the
// same scope, where a repeat is harmless.
func (s *State) acquireMarker(c *Command) Reply {
	if c.Key == "" || c.Holder == "" {
		return Reply{Code: Invalid}
	}
	if m := s.Markers[c.Key]; m != nil && m.ExpiresAt > s.Clock {
		if (c.Scope == "" || c.Scope != m.Scope) && !mutation.MarkerGrantedTwice {
			return Reply{Code: MarkerHeld, MarkerHolder: m.Holder}
		}
		return Reply{MarkerHolder: m.Holder}
	}
	s.Markers[c.Key] = &marker{Holder: c.Holder, Scope: c.Scope, ExpiresAt: s.expiry(c.TTL, minMarkerTTL, maxMarkerTTL)}
	return Reply{}
}

// releaseMarker removes the marker of a delivery that never ran. A command of any other holder changes nothing.
func (s *State) releaseMarker(c *Command) Reply {
	if m := s.Markers[c.Key]; m != nil && m.Holder == c.Holder {
		delete(s.Markers, c.Key)
	}
	return Reply{}
}

// HasMarker reports whether the marker of an invocation is held.
func (s *State) HasMarker(invocation string) bool {
	m := s.Markers[invocation]
	return m != nil && m.ExpiresAt > s.Clock
}
