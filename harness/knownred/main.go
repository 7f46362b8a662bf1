// Command knownred runs go test with the given arguments. It skips the tests listed in KNOWN-RED.txt and prints their entries. It
// fails if the list has more than three entries besides those of issue 85, an invalid line, the same test twice or a test that doesn't exist. If the list
// is missing or empty, the command only runs go test.
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
	exitPassed      = 0
	exitFailed      = 1
	exitInvalidList = 2 // the list is invalid and no test was run
)

func main() { os.Exit(run(".", os.Args[1:], os.Stdout, os.Stderr)) }

// run runs go test in the folder root, without the listed tests, and returns the exit code.
func run(root string, args []string, stdout, stderr io.Writer) int {
	tool := goTool{root: root, stdout: stdout, stderr: stderr}
	entries, err := readList(root)
	if err == nil {
		err = tool.checkTestsExist(entries)
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", listFile, err)
		return exitInvalidList
	}
	if len(entries) == 0 {
		return exitCode(tool.test(args))
	}
	for _, entry := range entries {
		fmt.Fprintln(stdout, "known red, passed over:", entry)
	}
	flags, patterns := splitArguments(args)
	packages, err := tool.packageFolders(patterns)
	if err != nil {
		fmt.Fprintln(stderr, err)
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

// readList reads the list in the folder root. A missing file counts as an empty list.
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

// splitArguments splits args into flags and package patterns. Flags come first and are written with their values (-flag=value).
func splitArguments(args []string) (flags, patterns []string) {
	for i, arg := range args {
		if !strings.HasPrefix(arg, "-") {
			return args[:i], args[i:]
		}
	}
	return args, nil
}

// arguments returns the arguments of go test for the run.
func (r Run) arguments(flags []string) []string {
	args := append([]string{}, flags...)
	if r.Skip != "" {
		args = append(args, "-skip="+r.Skip)
	}
	return append(args, r.Packages...)
}
