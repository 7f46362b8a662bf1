// Command wirehost runs the decisions on the line protocol, on standard input and output.
package main

import (
	"fmt"
	"os"

	"otterseam/wirehost"
)

func main() {
	if err := wirehost.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
