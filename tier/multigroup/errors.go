package multigroup

import "otterseam/tier/codes"

// NotPrimaryError says that this node does not lead a group, or does not do so yet. It has the code and the text of
// codes.NotPrimary.
type NotPrimaryError struct {
	Group   uint32
	Primary uint64 // identity of the node that leads the group as far as is known here, 0 if none is
}

// Error is the text of codes.NotPrimary.
func (*NotPrimaryError) Error() string { return codes.NotPrimary.Error() }

// Unwrap is codes.NotPrimary.
func (*NotPrimaryError) Unwrap() error { return codes.NotPrimary }
