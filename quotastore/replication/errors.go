package replication

import (
	"errors"
	"fmt"
)

var (
	// ErrInvalidConfig says that a server can't be made of its number, incarnation, list and configuration.
	ErrInvalidConfig = errors.New("server: its number, incarnation, groups, replicas or log are out of range")
	// ErrServerRemoved says that a list is shorter than the one before.
	ErrServerRemoved = errors.New("servers can't be taken off the list: say that they are leaving")
)

// ServerRenamedError says that a list has another server in a place than the list before.
type ServerRenamedError struct {
	Number   int
	Old, New string
}

func (e *ServerRenamedError) Error() string {
	return fmt.Sprintf("server %d was %s and is %s now: only new ones at the end are taken up", e.Number, e.Old, e.New)
}

// UnknownGroupError says that a group was stored that the configuration does not have.
type UnknownGroupError struct {
	Group  int
	Groups int // of the configuration
}

func (e *UnknownGroupError) Error() string {
	return fmt.Sprintf("group %d was written, and the list has %d groups: their number is fixed at the bootstrap", e.Group, e.Groups)
}

// GroupError says of which group an error is.
type GroupError struct {
	Group int
	Err   error
}

func (e *GroupError) Error() string { return fmt.Sprintf("group %d: %v", e.Group, e.Err) }

func (e *GroupError) Unwrap() error { return e.Err }

// OtherClusterError says that a server belongs to a cluster already, and not to the one that is bootstrapped. Its text goes on the wire,
// in the answer to an operator's command.
type OtherClusterError struct {
	Number  int
	Cluster uint64 // the one it belongs to
}

func (e *OtherClusterError) Error() string {
	return fmt.Sprintf("keeper %d belongs to installation %016x", e.Number, e.Cluster)
}

// BootstrapMismatchError says that a bootstrap does not name this incarnation of a server, or is of other groups or replicas. Its text goes on the
// wire, in the answer to an operator's command.
type BootstrapMismatchError struct {
	Number      int
	Incarnation uint32
}

func (e *BootstrapMismatchError) Error() string {
	return fmt.Sprintf("keeper %d, life %08x: not in this founding, or of other groups or copies", e.Number, e.Incarnation)
}
