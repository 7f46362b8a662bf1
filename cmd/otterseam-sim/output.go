package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"
)

// output holds the streams of a subcommand: stdout for results, stderr for everything else.
type output struct{ stdout, stderr io.Writer }

// json writes results as indented JSON.
func (o *output) json(results any) error {
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", " ")
	return encoder.Encode(results)
}

// progress returns a function that shows how many of the total steps are done. It shows nothing if stderr is not a terminal.
func (o *output) progress(unit string, total int) func(done int) {
	file, ok := o.stderr.(*os.File)
	if !ok || !isatty.IsTerminal(file.Fd()) {
		return func(int) {}
	}
	return func(done int) {
		fmt.Fprintf(file, "\r%s: %d of %d ", unit, done, total)
		if done >= total {
			fmt.Fprint(file, "\r\033[K")
		}
	}
}
