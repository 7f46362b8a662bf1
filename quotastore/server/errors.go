package server

import (
	"errors"
	"fmt"
	"path/filepath"
)

// ErrInUse is returned by New if another process has the storage of the directory open.
var ErrInUse = errors.New("another process uses it")

// Reasons of a CorruptionError.
var (
	errMissingBucket = errors.New("a part is missing")
	errWrongLength   = errors.New("of another length")
)

// rolledBackError is the reason of a CorruptionError if a database lacks its newest transactions.
type rolledBackError struct {
	stored, made uint64 // numbers of the last transaction: as stored, and as noted beside the database
}

func (e *rolledBackError) Error() string {
	return fmt.Sprintf("holds write %d, and write %d was made", e.stored, e.made)
}

// CorruptionError says that stored data is corrupt and was set aside.
type CorruptionError struct {
	File     string // path of the database
	SetAside string // path that it has now
	Reason   error
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%v; set aside as %s", e.Reason, filepath.Base(e.SetAside))
}

func (e *CorruptionError) Unwrap() error { return e.Reason }

// UnknownMemberError says that a server is not in the cluster's configuration.
type UnknownMemberError struct {
	Name string
}

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("server %q is not in the list", e.Name)
}

// ConfigError says what is wrong with a cluster's configuration file.
type ConfigError struct {
	Path string
	Err  error
}

func (e *ConfigError) Error() string { return fmt.Sprintf("server list %s: %v", e.Path, e.Err) }

func (e *ConfigError) Unwrap() error { return e.Err }

// ErrUnexpectedAnswer is returned by SendCommand if a server answers with a frame of another kind.
var ErrUnexpectedAnswer = errors.New("the answer is of another kind")

// CommandError is a server's own report that a command failed.
type CommandError struct {
	Operation string // one of protocol's Operation constants
	Failure   string // as the server has it
}

func (e *CommandError) Error() string { return e.Failure }

// MemberError says which server an error is of.
type MemberError struct {
	Name string
	Err  error
}

func (e *MemberError) Error() string { return fmt.Sprintf("server %s: %v", e.Name, e.Err) }

func (e *MemberError) Unwrap() error { return e.Err }

// ErrNotBootstrapped is part of the errors of Bootstrap after which no cluster was begun.
var ErrNotBootstrapped = errors.New("no cluster was bootstrapped")

// ErrPartlyBootstrapped is part of the errors of Bootstrap after which the cluster was begun without some servers.
var ErrPartlyBootstrapped = errors.New("the others are bootstrapped, and it joins once it runs")

// MissingGroupsError says that a snapshot would lack groups. It wraps the errors of the servers that did not answer.
type MissingGroupsError struct {
	Missing, Groups int
	Err             error // nil: all servers answered
}

func (e *MissingGroupsError) Error() string {
	return fmt.Sprintf("%d of %d groups have no leader that answers; nothing was saved: %v", e.Missing, e.Groups, e.Err)
}

func (e *MissingGroupsError) Unwrap() error { return e.Err }
