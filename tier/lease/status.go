package lease

import "otterseam/tier/codes"

// Role is a process's part in the control group.
type Role uint8

// The roles of a control process.
const (
	Outsider Role = iota // no replica: it forwards calls to the primary
	Backup
	Primary
)

// Status is the lease status of a control process at a moment: what it can prove of itself.
type Status struct {
	Role Role
	// Ready says that a primary has committed the entry that opened its epoch.
	Ready bool
	// ConfirmedSince is the start of the newest question of this process that was answered by the primary in force, or by a
	// majority if it is the primary itself; 0 if none was.
	ConfirmedSince int64
}

// HasLease tells whether the proof is recent enough to answer for the group.
func (s Status) HasLease(now int64) bool {
	return s.ConfirmedSince > 0 && now-s.ConfirmedSince < TTL
}

// Age is how old the proof is.
func (s Status) Age(now int64) int64 { return now - s.ConfirmedSince }

// MayDecide tells whether this process may give an answer of its own as the primary. The error is codes.NotPrimary or, without a
// lease, codes.Unavailable.
func (s Status) MayDecide(now int64) error {
	if s.Role != Primary || !s.Ready {
		return codes.NotPrimary
	}
	if !s.HasLease(now) {
		return codes.Unavailable
	}
	return nil
}

// MayForward tells whether this process can expect the primary to answer what it forwards. The error is codes.Unavailable.
func (s Status) MayForward(now int64) error {
	if !s.HasLease(now) {
		return codes.Unavailable
	}
	return nil
}

// MayServe tells whether this process may serve its replica of the state, and keep sessions for the primary.
func (s Status) MayServe(now int64) bool {
	if s.Role == Outsider || (s.Role == Primary && !s.Ready) {
		return false
	}
	return s.HasLease(now)
}
