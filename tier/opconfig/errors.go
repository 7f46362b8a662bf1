package opconfig

import "otterseam/tier/codes"

// ValidationError tells what is wrong with a configuration and where. errors.Is finds codes.ConfigInvalid in it.
type ValidationError struct {
	Path    string // of the field, as in "routes[2].split[0].weight"; empty if the body as a whole is wrong
	Problem string // for operators: the route by its name, and what is wrong
	Cause   error  // of the JSON reader; nil for a body that could be read
}

// Error is the problem and the code.
func (e *ValidationError) Error() string { return e.Problem + ": " + codes.ConfigInvalid.Error() }

// Unwrap gives the code and the cause.
func (e *ValidationError) Unwrap() []error {
	if e.Cause == nil {
		return []error{codes.ConfigInvalid}
	}
	return []error{codes.ConfigInvalid, e.Cause}
}
