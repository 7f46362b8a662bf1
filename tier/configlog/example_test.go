package configlog_test

import (
	"fmt"

	"otterseam/tier/configlog"
)

// Of two changes with the same base, the first is accepted. Each of them gets the same result when it is repeated.
func ExampleLog_Decide() {
	var log configlog.Log
	current := uint64(0)
	send := func(base, version uint64, body string) {
		result, accepted := log.Decide(configlog.Change{Base: base, Version: version, Body: configlog.HashOf([]byte(body))}, current)
		if accepted {
			current = version
		}
		fmt.Println(result, accepted)
	}
	send(0, 1, "one")
	send(0, 2, "another")
	send(0, 1, "one")
	send(0, 2, "another")
	// Output:
	// code 0 ok true
	// code 202 config-base false
	// code 0 ok false
	// code 202 config-base false
}
