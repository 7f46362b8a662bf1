package controlclient

import (
	"errors"

	"otterseam/tier/codes"
)

// NotPrimaryError is the error of a call to a control process that is not the primary. errors.Is matches it with codes.NotPrimary.
type NotPrimaryError struct {
	Primary string // presumed address of the primary; empty if the process doesn't know it
}

// Error returns the text of codes.NotPrimary, without the address.
func (*NotPrimaryError) Error() string { return codes.NotPrimary.Error() }

// Unwrap returns codes.NotPrimary.
func (*NotPrimaryError) Unwrap() error { return codes.NotPrimary }

// retryableCodes are the codes after which another control process may answer the call.
var retryableCodes = []codes.Code{codes.NotPrimary, codes.Timeout, codes.LinkBroken, codes.Unavailable}

// isRetryable reports whether another control process may answer a call that failed with err.
func isRetryable(err error) bool {
	for _, code := range retryableCodes {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}
