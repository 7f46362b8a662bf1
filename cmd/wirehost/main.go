// Command wirehost runs the policy of gateways for the simulator: batches of the line protocol on standard input, commands on
// standard output. It ends with status 1 at input that is not valid.
package main

import (
	"fmt"
	"os"

	"otterseam/gateway/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
