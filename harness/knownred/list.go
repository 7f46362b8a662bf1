package main

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// mostEntries is how many tests may be known to fail at once.
const mostEntries = 3

// Entry is a test that is known to fail.
type Entry struct {
	Package string // its folder from the root, as in ./tier/replica
	Test    string // a whole test, not a part of one
	Cause   string
	Issue   string
}

// String is the line that CI prints.
func (e Entry) String() string {
	return fmt.Sprintf("%s %s, %s, %s", e.Package, e.Test, e.Cause, e.Issue)
}

// Errors of a list.
var (
	ErrTooMany = fmt.Errorf("more than %d tests are listed", mostEntries)
	ErrForm    = errors.New("a line reads PACKAGE TEST, CAUSE, issue N")
	ErrTwice   = errors.New("a test is listed twice")
)

var entryLine = regexp.MustCompile(`^(?:\./)?([\w./-]+) (Test\w+), (.+), (issue \d+)$`)

// ParseList reads a list of tests that are known to fail, one a line. Empty lines don't count.
func ParseList(text string) ([]Entry, error) {
	var entries []Entry
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		m := entryLine.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%w, not %q", ErrForm, line)
		}
		entry := Entry{Package: "./" + m[1], Test: m[2], Cause: m[3], Issue: m[4]}
		if slices.ContainsFunc(entries, func(e Entry) bool { return e.Package == entry.Package && e.Test == entry.Test }) {
			return nil, fmt.Errorf("%w: %s", ErrTwice, line)
		}
		entries = append(entries, entry)
	}
	if len(entries) > mostEntries {
		return nil, fmt.Errorf("%w: %d", ErrTooMany, len(entries))
	}
	return entries, nil
}

// Run is one call of go test.
type Run struct {
	Packages []string
	Skip     string // pattern of the tests that are passed over; empty: none
}

// PlanRuns divides packages, as folders from the root, so that a listed test is passed over in its own package alone.
func PlanRuns(packages []string, entries []Entry) []Run {
	var whole Run
	var runs []Run
	for _, name := range packages {
		if skip := skipPattern(name, entries); skip != "" {
			runs = append(runs, Run{Packages: []string{name}, Skip: skip})
		} else {
			whole.Packages = append(whole.Packages, name)
		}
	}
	if len(whole.Packages) > 0 {
		runs = append([]Run{whole}, runs...)
	}
	return runs
}

// skipPattern matches the listed tests of a package; empty if there are none.
func skipPattern(name string, entries []Entry) string {
	var tests []string
	for _, entry := range entries {
		if entry.Package == name {
			tests = append(tests, entry.Test)
		}
	}
	if len(tests) == 0 {
		return ""
	}
	return "^(" + strings.Join(tests, "|") + ")$"
}
