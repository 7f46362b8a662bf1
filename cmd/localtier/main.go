// Command localtier starts a whole serving tier on loopback with stand-in hosts and a configuration, tells how to send it a turn with
// curl, and stops everything on SIGINT (Ctrl-C) or SIGTERM.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Program   string `arg:"--program" default:"target/otterseam-tier" help:"path of the otterseam-tier binary to run"`
	Dir       string `arg:"--dir" default:"target/try" help:"folder for settings, data and logs; it is emptied first"`
	Once      bool   `arg:"--once" help:"send one turn, print its status and answer, and exit"`
	Takeovers int    `arg:"--takeovers" placeholder:"N" help:"kill the primary of control and a store N times, print how long it takes until others answer (median, 90th percentile and longest), and exit"`
}

// Description is printed by --help.
func (arguments) Description() string {
	return "Starts a serving tier of 3 control, 3 store and 2 front machines on loopback, with stand-in hosts, and prints how to use it.\n" +
		"It runs until SIGINT (Ctrl-C) or SIGTERM unless --once or --takeovers is given.\n" +
		"Exit codes: 0 ended as asked, 1 something failed, 2 wrong arguments."
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
