package controlclient

import (
	"errors"

	"otterseam/tier/codes"
)

// NotPrimaryError is the answer of a control process that is not the primary. errors.Is finds codes.NotPrimary in it.
type NotPrimaryError struct {
	Primary string // address of the primary, as the process believes; empty if it knows none
}

// Error gives the code alone, as in the answer.
func (*NotPrimaryError) Error() string { return codes.NotPrimary.Error() }

// Unwrap gives the code.
func (*NotPrimaryError) Unwrap() error { return codes.NotPrimary }

// retryableCodes are those after which another control process may give the answer.
var retryableCodes = []codes.Code{codes.NotPrimary, codes.Timeout, codes.LinkBroken, codes.Unavailable}

// isRetryable tells whether a call may be answered by another control process.
func isRetryable(err error) bool {
	for _, code := range retryableCodes {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}
