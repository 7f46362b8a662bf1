package main

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

const (
	// maxEntries is the maximum number of tests on the list, without those of uncappedIssue.
	maxEntries = 3
	// uncappedIssue is the issue whose tests don't count against maxEntries.
	uncappedIssue = "issue 85"
)

// Entry is a test that is known to fail.
type Entry struct {
	Package string // folder relative to the root, as in ./tier/replica
	Test    string // name of a top-level test, not of a subtest
	Cause   string
	Issue   string
}

// String returns the entry as CI prints it.
func (e Entry) String() string {
	return fmt.Sprintf("%s %s, %s, %s", e.Package, e.Test, e.Cause, e.Issue)
}

// Errors that ParseList returns.
var (
	ErrTooMany   = fmt.Errorf("more than %d tests are listed", maxEntries)
	ErrFormat    = errors.New("a line reads PACKAGE TEST, CAUSE, issue N")
	ErrDuplicate = errors.New("a test is listed twice")
)

var entryLine = regexp.MustCompile(`^(?:\./)?([\w./-]+) (Test\w+), (.+), (issue \d+)$`)

// ParseList parses a list of tests that are known to fail, one per line. It ignores empty lines.
func ParseList(text string) ([]Entry, error) {
	var entries []Entry
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		m := entryLine.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%w, not %q", ErrFormat, line)
		}
		entry := Entry{Package: "./" + m[1], Test: m[2], Cause: m[3], Issue: m[4]}
		if slices.ContainsFunc(entries, func(e Entry) bool { return e.Package == entry.Package && e.Test == entry.Test }) {
			return nil, fmt.Errorf("%w: %s", ErrDuplicate, line)
		}
		entries = append(entries, entry)
	}
	if capped := countCapped(entries); capped > maxEntries {
		return nil, fmt.Errorf("%w: %d", ErrTooMany, capped)
	}
	return entries, nil
}

// countCapped returns the number of entries that count against maxEntries.
func countCapped(entries []Entry) int {
	capped := 0
	for _, entry := range entries {
		if entry.Issue != uncappedIssue {
			capped++
		}
	}
	return capped
}

// Run is one call of go test.
type Run struct {
	Packages []string
	Skip     string // pattern of the tests to skip, or empty to skip none
}

// PlanRuns divides packages, given as folders relative to the root, into runs of go test. Each package with listed tests gets a
// run of its own, so that a test of the same name in another package isn't skipped.
func PlanRuns(packages []string, entries []Entry) []Run {
	var unlisted Run
	var runs []Run
	for _, name := range packages {
		if skip := skipPattern(name, entries); skip != "" {
			runs = append(runs, Run{Packages: []string{name}, Skip: skip})
		} else {
			unlisted.Packages = append(unlisted.Packages, name)
		}
	}
	if len(unlisted.Packages) > 0 {
		runs = append([]Run{unlisted}, runs...)
	}
	return runs
}

// skipPattern returns a pattern that matches the listed tests of a package, or an empty string if there are none.
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
