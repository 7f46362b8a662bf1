package server

import (
	"errors"
	"fmt"
	"path/filepath"
)

// ErrInUse is returned by New if another process has the storage of the directory open.
var ErrInUse = errors.New("in use by another process")

// Reasons of a CorruptionError.
var (
	errMissingBucket = errors.New("bucket is missing")
	errWrongLength   = errors.New("unexpected length")
)

// rolledBackError is the reason of a CorruptionError if the newest transactions of a database are missing.
type rolledBackError struct {
	stored, made uint64 // number of the last transaction in the database, and in the file beside it
}

func (e *rolledBackError) Error() string {
	return fmt.Sprintf("last transaction is %d, but transaction %d was committed", e.stored, e.made)
}

// CorruptionError reports that stored data is corrupt and was set aside.
type CorruptionError struct {
	File     string // path of the database
	SetAside string // new path of the database
	Reason   error
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%v; set aside as %s", e.Reason, filepath.Base(e.SetAside))
}

func (e *CorruptionError) Unwrap() error { return e.Reason }

// UnknownMemberError reports that a server is not in the cluster's configuration.
type UnknownMemberError struct {
	Name string
}

func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("server %q is not in the configuration", e.Name)
}

// ConfigError reports an invalid configuration file of a cluster.
type ConfigError struct {
	Path string
	Err  error
}

func (e *ConfigError) Error() string { return fmt.Sprintf("configuration %s: %v", e.Path, e.Err) }

func (e *ConfigError) Unwrap() error { return e.Err }

// ErrUnexpectedAnswer is returned by SendCommand if a server answers with a frame that is not an answer to a command.
var ErrUnexpectedAnswer = errors.New("answer has an unexpected frame kind")

// CommandError is a server's report that a command failed.
type CommandError struct {
	Operation string // one of protocol's Operation constants
	Failure   string // text of the server
}

func (e *CommandError) Error() string { return e.Failure }

// MemberError adds the name of the server to an error.
type MemberError struct {
	Name string
	Err  error
}

func (e *MemberError) Error() string { return fmt.Sprintf("server %s: %v", e.Name, e.Err) }

func (e *MemberError) Unwrap() error { return e.Err }

// ErrNotBootstrapped is wrapped by the errors of Bootstrap that left no cluster created.
var ErrNotBootstrapped = errors.New("no cluster was bootstrapped")

// ErrPartlyBootstrapped is wrapped by the errors of Bootstrap that left the cluster created without some of its servers.
var ErrPartlyBootstrapped = errors.New("the other servers are bootstrapped, and this one joins once it is running")

// MissingGroupsError reports that a snapshot would lack groups. It wraps the errors of the servers that did not answer.
type MissingGroupsError struct {
	Missing, Groups int
	Err             error // nil: all servers answered
}

func (e *MissingGroupsError) Error() string {
	return fmt.Sprintf("no leader answered for %d of %d groups; nothing was saved: %v", e.Missing, e.Groups, e.Err)
}

func (e *MissingGroupsError) Unwrap() error { return e.Err }
