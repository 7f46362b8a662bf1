package state

import "otterseam/tier/codes"

// Result is what applying a command gave.
type Result struct {
	Code codes.Code
	Body []byte
}

// Settled is what may be answered for a command: what its commit gave, or else that nothing is known. A caller ends a call on a
// refusal, so that no code which a process gave without a commit may look like one.
func Settled(result Result, err error) (Result, error) {
	if err != nil {
		return Result{}, err
	}
	if !IsCommitted(result.Code) {
		return Result{}, codes.Unavailable
	}
	return result, nil
}

// IsCommitted tells whether a code is one that only a committed command gives.
func IsCommitted(code codes.Code) bool {
	switch code {
	case codes.OK, codes.ConfigInvalid, codes.ConfigBase, codes.ConfigNone, codes.HostStale, codes.RetireUnknown, codes.RetireTooFew:
		return true
	default:
		return false
	}
}
