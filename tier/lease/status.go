package lease

import "otterseam/tier/codes"

// Role is the role of a process in the control group.
type Role uint8

// The roles of a control process.
const (
	Outsider Role = iota // not a member: it has no replica and forwards calls to the primary
	Backup
	Primary
)

// Status is the lease status of a control process at one point in time.
type Status struct {
	Role Role
	// Ready is true for a primary that has committed the entry that opens its epoch.
	Ready bool
	// ConfirmedSince is the time at which this process sent its newest probe that was answered by the current primary, or by a
	// majority if this process is the primary. It is 0 if no probe was answered.
	ConfirmedSince int64
}

// HasLease reports whether the newest confirmation is recent enough to respond on behalf of the group.
func (s Status) HasLease(now int64) bool {
	return s.ConfirmedSince > 0 && now-s.ConfirmedSince < TTL
}

// Age returns the age of the newest confirmation in milliseconds.
func (s Status) Age(now int64) int64 { return now - s.ConfirmedSince }

// MayDecide returns nil if this process may respond as the primary. Otherwise the error is codes.NotPrimary or, for a primary without
// a lease, codes.Unavailable.
func (s Status) MayDecide(now int64) error {
	if s.Role != Primary || !s.Ready {
		return codes.NotPrimary
	}
	if !s.HasLease(now) {
		return codes.Unavailable
	}
	return nil
}

// MayForward returns nil if this process can expect the primary to answer the calls that it forwards. Otherwise the error is
// codes.Unavailable.
func (s Status) MayForward(now int64) error {
	if !s.HasLease(now) {
		return codes.Unavailable
	}
	return nil
}

// MayServe reports whether this process may serve its replica of the state and acknowledge heartbeats for the primary.
func (s Status) MayServe(now int64) bool {
	if s.Role == Outsider || (s.Role == Primary && !s.Ready) {
		return false
	}
	return s.HasLease(now)
}
