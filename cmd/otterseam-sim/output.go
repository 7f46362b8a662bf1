package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"
)

// output is where a subcommand writes: results to stdout, the rest to stderr.
type output struct{ stdout, stderr io.Writer }

// json writes results for other programs.
func (o *output) json(results any) error {
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", " ")
	return encoder.Encode(results)
}

// progress returns a function that shows how many of all steps are done, if stderr is a terminal.
func (o *output) progress(what string, all int) func(done int) {
	file, ok := o.stderr.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return func(int) {}
	}
	return func(done int) {
		fmt.Fprintf(file, "\r%s: %d of %d ", what, done, all)
		if done >= all {
			fmt.Fprint(file, "\r\033[K")
		}
	}
}
