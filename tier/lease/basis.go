package lease

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
