package codes_test

import (
	"errors"
	"fmt"

	"otterseam/tier/codes"
)

// A code is an error with a number and a name. errors.Is and errors.As find it in errors that wrap it.
func ExampleCode() {
	err := fmt.Errorf("heartbeat: %w", codes.NotPrimary)
	fmt.Println(err)
	fmt.Println(errors.Is(err, codes.NotPrimary), errors.Is(err, codes.Unavailable))
	var code codes.Code
	fmt.Println(errors.As(err, &code), uint16(code))
	// Output:
	// heartbeat: code 101 not-primary
	// true false
	// true 101
}
