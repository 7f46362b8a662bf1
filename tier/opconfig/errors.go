package opconfig

import "otterseam/tier/codes"

// ValidationError describes a problem in a configuration and the field that has it. It matches codes.ConfigInvalid.
type ValidationError struct {
	Path    string // path of the field, such as "routes[2].split[0].weight"; empty if the whole body is invalid
	Problem string // description for operators, with the name of the route
	Cause   error  // error of the JSON decoder; nil if the body could be decoded
}

// Error returns the problem and the text of the code.
func (e *ValidationError) Error() string { return e.Problem + ": " + codes.ConfigInvalid.Error() }

// Unwrap returns the code and the cause.
func (e *ValidationError) Unwrap() []error {
	if e.Cause == nil {
		return []error{codes.ConfigInvalid}
	}
	return []error{codes.ConfigInvalid, e.Cause}
}
