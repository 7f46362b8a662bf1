// Command knownred runs go test with the arguments given, passes over the tests that KNOWN-RED.txt lists and prints them. It
// fails where the list has more than three lines, a wrong line, or a test that doesn't exist. Without a list, or with an empty
// one, it is go test and nothing else.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const listFile = "KNOWN-RED.txt"

// Exit codes.
const (
	exitPassed = 0
	exitFailed = 1
	exitList   = 2 // the list is wrong; no test was run
)

func main() { os.Exit(run(".", os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out go test in the folder root and gives the exit code.
func run(root string, args []string, out, errs io.Writer) int {
	tool := goTool{root: root, out: out, errs: errs}
	entries, err := readList(root)
	if err == nil {
		err = tool.checkExist(entries)
	}
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", listFile, err)
		return exitList
	}
	if len(entries) == 0 {
		return exitCode(tool.test(args))
	}
	for _, entry := range entries {
		fmt.Fprintln(out, "known red, passed over:", entry)
	}
	flags, patterns := splitArguments(args)
	packages, err := tool.folders(patterns)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	var failures []error
	for _, part := range PlanRuns(packages, entries) {
		failures = append(failures, tool.test(part.arguments(flags)))
	}
	return exitCode(errors.Join(failures...))
}

func exitCode(err error) int {
	if err != nil {
		return exitFailed
	}
	return exitPassed
}

// readList reads the list in a folder; without a file it is empty.
func readList(root string) ([]Entry, error) {
	text, err := os.ReadFile(filepath.Join(root, listFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return ParseList(string(text))
}

// splitArguments tells flags, which come first and hold their values, from patterns of packages.
func splitArguments(args []string) (flags, patterns []string) {
	for i, arg := range args {
		if !strings.HasPrefix(arg, "-") {
			return args[:i], args[i:]
		}
	}
	return args, nil
}

// arguments are those of go test for a run.
func (r Run) arguments(flags []string) []string {
	args := append([]string{}, flags...)
	if r.Skip != "" {
		args = append(args, "-skip="+r.Skip)
	}
	return append(args, r.Packages...)
}
