// Package renamed is what is left of a program under its former name: one line that says which program replaced it. The former
// names stay for one release, for operators who have them in a script.
package renamed

import (
	"fmt"
	"io"
	"os"
)

// exitCode is that of wrong arguments: nothing was run.
const exitCode = 2

// Exit tells on standard error which program took the place of the former one, and ends the process with exit code 2.
func Exit(former, current string) {
	os.Exit(notice(os.Stderr, former, current))
}

func notice(out io.Writer, former, current string) int {
	fmt.Fprintf(out, "%s is called %s now and takes the same arguments; nothing was run\n", former, current)
	return exitCode
}
