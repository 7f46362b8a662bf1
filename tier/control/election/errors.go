package election

import "otterseam/tier/codes"

// NotLeaderError is the error of a process that is not the current primary. It has the code and the text of codes.NotPrimary.
type NotLeaderError struct {
	Leader string // address of the primary; empty if it is not known
}

// Error returns the text of codes.NotPrimary.
func (e *NotLeaderError) Error() string { return codes.NotPrimary.Error() }

// Unwrap returns codes.NotPrimary.
func (e *NotLeaderError) Unwrap() error { return codes.NotPrimary }

// leaseExpiredError is the type of ErrLeaseExpired.
type leaseExpiredError struct{}

func (leaseExpiredError) Error() string { return codes.Unavailable.Error() }
func (leaseExpiredError) Unwrap() error { return codes.Unavailable }

// ErrLeaseExpired is the error of a process whose last confirmed contact with a majority (on the primary) or with the current primary
// (elsewhere) is too old to answer on behalf of the group. It has the code and the text of codes.Unavailable.
var ErrLeaseExpired error = leaseExpiredError{}
