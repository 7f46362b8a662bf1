package election

import "otterseam/tier/codes"

// NotLeaderError says that this process isn't the primary in force. It has the code and the text of codes.NotPrimary.
type NotLeaderError struct {
	Leader string // address of the primary, "" if it isn't known
}

// Error is the text of codes.NotPrimary.
func (e *NotLeaderError) Error() string { return codes.NotPrimary.Error() }

// Unwrap is codes.NotPrimary.
func (e *NotLeaderError) Unwrap() error { return codes.NotPrimary }

// leaseExpiredError is the type of ErrLeaseExpired.
type leaseExpiredError struct{}

func (leaseExpiredError) Error() string { return codes.Unavailable.Error() }
func (leaseExpiredError) Unwrap() error { return codes.Unavailable }

// ErrLeaseExpired says that this process has no contact with a majority, or with the primary in force, recent enough to stand behind
// an answer. It has the code and the text of codes.Unavailable.
var ErrLeaseExpired error = leaseExpiredError{}
