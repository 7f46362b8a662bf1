// Command wirehost runs the decisions on the line protocol, on standard input and output.
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
