package state

import "otterseam/tier/codes"

// Result is the result of applying a command.
type Result struct {
	Code codes.Code
	Body []byte
}

// Settled returns the response to a command: the result of its commit, or an error if the outcome is unknown. A caller treats a
// rejection as final, so a code that a process returned without a commit must not look like a rejection.
func Settled(result Result, err error) (Result, error) {
	if err != nil {
		return Result{}, err
	}
	if !IsCommitted(result.Code) {
		return Result{}, codes.Unavailable
	}
	return result, nil
}

// IsCommitted reports whether a code is returned only for a committed command.
func IsCommitted(code codes.Code) bool {
	switch code {
	case codes.OK, codes.ConfigInvalid, codes.ConfigBase, codes.ConfigNone, codes.HostStale, codes.RetireUnknown, codes.RetireTooFew:
		return true
	default:
		return false
	}
}
