package state_test

import (
	"fmt"

	"otterseam/tier/control/state"
)

// Two operators send changes that are based on the same version. The second change is rejected. The first one may be repeated.
func Example() {
	s := state.New()
	first := state.ReplaceConfig{Base: 0, Version: 1, Body: []byte(`{"version":1}`)}
	second := state.ReplaceConfig{Base: 0, Version: 2, Body: []byte(`{"version":2}`)}
	for index, command := range []state.Command{first, second, first} {
		result := s.Apply(uint64(index+1), command.Encode()).(state.Result)
		fmt.Println(result.Code.Error())
	}
	fmt.Println("version", s.ConfigVersion())
	// Output:
	// code 0 ok
	// code 202 config-base
	// code 0 ok
	// version 1
}
