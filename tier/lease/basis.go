package lease

// ResponseKind is a kind of response of control.
type ResponseKind uint8

// The kinds of responses.
const (
	ConfigChange ResponseKind = iota
	ConfigRead
	HostHeartbeat
	HostDeregistration
	RetireRequest
	RetireRead
	Subscription
	StoreSession
	ControlSession
	InSyncChange
	SessionEnd // the expiry of a silent host's or store's session
)

// Basis is the guarantee that a response requires in addition to the lease, which every response requires.
type Basis uint8

// The bases of responses.
const (
	OnLease  Basis = iota // the lease alone, checked after the work and before the response
	OnCommit              // a command that is on the disk of every in-sync replica
)

// bases maps each kind of response to its basis.
var bases = map[ResponseKind]Basis{
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

// BasisOf returns the basis of a kind of response.
func BasisOf(kind ResponseKind) Basis { return bases[kind] }
