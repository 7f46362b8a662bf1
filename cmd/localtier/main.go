// Command localtier starts a complete serving tier on loopback with simulated hosts and a configuration, prints how to send a turn
// with curl, and stops everything on SIGINT (Ctrl-C) or SIGTERM.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Program   string `arg:"--program" default:"target/otterseam-tier" help:"path of the otterseam-tier binary to run"`
	Dir       string `arg:"--dir" default:"target/try" help:"folder for settings, data and logs; its contents are deleted first"`
	Once      bool   `arg:"--once" help:"send one turn, print its status and answer, and exit"`
	Takeovers int    `arg:"--takeovers" placeholder:"N" help:"kill the primary of control and a store N times, print the time until others have taken over (median, 90th percentile and maximum), and exit"`
}

// Description returns the text that --help prints.
func (arguments) Description() string {
	return "Starts a serving tier of 3 control, 3 store and 2 front machines on loopback, with simulated hosts, and prints how to use it.\n" +
		"It runs until SIGINT (Ctrl-C) or SIGTERM unless --once or --takeovers is given.\n" +
		"Exit codes: 0 success or stopped by a signal, 1 failure, 2 invalid arguments."
}

const exitFailed = 1

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "localtier: "+err.Error())
		os.Exit(exitFailed)
	}
}
