// Command wirehost runs gateway policies for the simulator. It reads batches of the line protocol from standard input and writes
// commands to standard output. Invalid input ends it with status 1.
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
