// Package renamed implements the commands that keep the former names of renamed programs: each prints one line with the new name
// and exits. The former names stay for one release, for operators who use them in scripts.
package renamed

import (
	"fmt"
	"io"
	"os"
)

// exitCode is the exit code for invalid arguments, which also means that nothing was run.
const exitCode = 2

// Exit prints on standard error which program replaced the former one, and ends the process with exit code 2.
func Exit(former, current string) {
	os.Exit(printNotice(os.Stderr, former, current))
}

func printNotice(out io.Writer, former, current string) int {
	fmt.Fprintf(out, "%s is called %s now and takes the same arguments; nothing was run\n", former, current)
	return exitCode
}
