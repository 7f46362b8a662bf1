package multigroup

import "otterseam/tier/codes"

// NotPrimaryError is returned if this node is not the primary of a group, or is not ready as primary yet. Its code and text are
// those of codes.NotPrimary.
type NotPrimaryError struct {
	Group   uint32
	Primary uint64 // identity of the group's primary in the view of this node, 0 if unknown
}

// Error returns the text of codes.NotPrimary.
func (*NotPrimaryError) Error() string { return codes.NotPrimary.Error() }

// Unwrap returns codes.NotPrimary.
func (*NotPrimaryError) Unwrap() error { return codes.NotPrimary }
