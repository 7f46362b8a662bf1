package lease

import "otterseam/tier/codes"

// Answer is a kind of answer that control gives.
type Answer uint8

// The kinds of answers.
const (
	ConfigChange Answer = iota
	ConfigRead
	HostHeartbeat
	HostDeregistration
	RetireRequest
	RetireRead
	Subscription
	StoreSession
	ControlSession
	InSyncChange
	SessionEnd // of a host or store that was silent
)

// Basis is what makes an answer true, besides the lease without which none is given.
type Basis uint8

// The bases of answers.
const (
	OnLease  Basis = iota // the lease alone, checked after the work and before the answer
	OnCommit              // a command on every in-sync disk
)

// bases says for each kind of answer what it rests on.
var bases = map[Answer]Basis{
	ConfigChange:       OnCommit,
	ConfigRead:         OnCommit,
	HostHeartbeat:      OnLease,
	HostDeregistration: OnCommit,
	RetireRequest:      OnCommit,
	RetireRead:         OnCommit,
	Subscription:       OnLease,
	StoreSession:       OnLease,
	ControlSession:     OnLease,
	InSyncChange:       OnCommit,
	SessionEnd:         OnCommit,
}

// BasisOf tells what a kind of answer rests on.
func BasisOf(answer Answer) Basis { return bases[answer] }

// Role is a process's part in the control group.
type Role uint8

// The roles of a control process.
const (
	Outsider Role = iota // no replica: it passes calls on to the primary
	Backup
	Primary
)

// Status is what a control process can prove of itself at a moment.
type Status struct {
	Role Role
	// Ready says that a primary has committed the entry that opened its epoch.
	Ready bool
	// ConfirmedSince is the start of the newest question of this process that was answered by the primary in force, or by a
	// majority if it is the primary itself; 0 if none was.
	ConfirmedSince int64
}

// HasLease tells whether the proof is recent enough to stand behind an answer.
func (s Status) HasLease(now int64) bool {
	return s.ConfirmedSince > 0 && now-s.ConfirmedSince < TTL
}

// Age is how old the proof is.
func (s Status) Age(now int64) int64 { return now - s.ConfirmedSince }

// MayDecide tells whether this process may give an answer of its own as the primary.
func (s Status) MayDecide(now int64) error {
	if s.Role != Primary || !s.Ready {
		return codes.NotPrimary
	}
	if !s.HasLease(now) {
		return codes.Unavailable
	}
	return nil
}

// MayForward tells whether this process can expect the primary to answer what it passes on.
func (s Status) MayForward(now int64) error {
	if !s.HasLease(now) {
		return codes.Unavailable
	}
	return nil
}

// MayServe tells whether this process may serve its copy of the state, and keep sessions for the primary.
func (s Status) MayServe(now int64) bool {
	if s.Role == Outsider || (s.Role == Primary && !s.Ready) {
		return false
	}
	return s.HasLease(now)
}
