package replication

import (
	"errors"
	"fmt"
)

var (
	// ErrInvalidConfig is returned by New for a number, incarnation, list or configuration that is out of range.
	ErrInvalidConfig = errors.New("server: number, incarnation, length of the list, groups, replicas, log length or snapshot rate out of range")
	// ErrServerRemoved is returned for a list that is shorter than the previous one.
	ErrServerRemoved = errors.New("servers can't be removed from the list: mark them as leaving instead")
)

// ServerRenamedError is returned for a list with a server whose name differs from the previous list at the same position.
type ServerRenamedError struct {
	Number   int
	Old, New string
}

func (e *ServerRenamedError) Error() string {
	return fmt.Sprintf("server %d was %s and is %s now: servers can only be added at the end of the list", e.Number, e.Old, e.New)
}

// UnknownGroupError is returned if the stored data has a group that the configuration doesn't have.
type UnknownGroupError struct {
	Group  int
	Groups int // of the configuration
}

func (e *UnknownGroupError) Error() string {
	return fmt.Sprintf("stored data has group %d, but the configuration has %d groups: the number of groups can't change after the bootstrap", e.Group, e.Groups)
}

// GroupError is an error of one group.
type GroupError struct {
	Group int
	Err   error
}

func (e *GroupError) Error() string { return fmt.Sprintf("group %d: %v", e.Group, e.Err) }

func (e *GroupError) Unwrap() error { return e.Err }

// OtherClusterError is returned for the bootstrap of a cluster if the server already belongs to another one. Its text is part of the
// answer to an operator's command.
type OtherClusterError struct {
	Number  int
	Cluster uint64 // the one that the server belongs to
}

func (e *OtherClusterError) Error() string {
	return fmt.Sprintf("keeper %d belongs to installation %016x", e.Number, e.Cluster)
}

// BootstrapMismatchError is returned for a bootstrap that doesn't include this incarnation of the server, or whose number of groups or
// replicas differs from the configuration. Its text is part of the answer to an operator's command.
type BootstrapMismatchError struct {
	Number      int
	Incarnation uint32
}

func (e *BootstrapMismatchError) Error() string {
	return fmt.Sprintf("keeper %d, life %08x: not in this founding, or of other groups or copies", e.Number, e.Incarnation)
}
