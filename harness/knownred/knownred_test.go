package main

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestParseList(t *testing.T) {
	const text = "tier/replica TestKept, a vote is lost, issue 42\n\n./tier/rpc TestClosed, answers pass each other, late, issue 46\n"
	entries, err := ParseList(text)
	if err != nil {
		t.Fatal(err)
	}
	want := []Entry{
		{"./tier/replica", "TestKept", "a vote is lost", "issue 42"},
		{"./tier/rpc", "TestClosed", "answers pass each other, late", "issue 46"},
	}
	if !reflect.DeepEqual(entries, want) {
		t.Errorf("parsed %v, want %v", entries, want)
	}
}

func TestParseListRejectsInvalidLists(t *testing.T) {
	const line = "tier/rpc TestA, cause, issue 1\n"
	tests := []struct {
		name, text string
		want       error
	}{
		{"four entries", line + strings.ReplaceAll(line, "TestA", "TestB") + strings.ReplaceAll(line, "TestA", "TestC") + strings.ReplaceAll(line, "TestA", "TestD"), ErrTooMany},
		{"duplicate entry", line + line, ErrDuplicate},
		{"no package", "TestA, cause, issue 1", ErrFormat},
		{"no cause", "tier/rpc TestA, issue 1", ErrFormat},
		{"no issue", "tier/rpc TestA, cause", ErrFormat},
		{"a subtest", "tier/rpc TestA/part, cause, issue 1", ErrFormat},
		{"a pattern", "tier/rpc Test.*, cause, issue 1", ErrFormat},
		{"all packages", "tier/... ExampleA, cause, issue 1", ErrFormat},
	}
	for _, test := range tests {
		if _, err := ParseList(test.text); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
	}
}

// Entries of issue 85 don't count against the maximum, and every other rule applies to them.
func TestEntriesOfUncappedIssueDontCount(t *testing.T) {
	var list strings.Builder
	for _, name := range []string{"TestA", "TestB", "TestC", "TestD"} {
		list.WriteString("harness/misbehavior " + name + ", cause, issue 85\n")
	}
	for _, name := range []string{"TestE", "TestF", "TestG"} {
		list.WriteString("tier/rpc " + name + ", cause, issue 1\n")
	}
	if entries, err := ParseList(list.String()); err != nil || len(entries) != 7 {
		t.Errorf("%d entries, %v", len(entries), err)
	}
	if _, err := ParseList(list.String() + "tier/rpc TestH, cause, issue 850\n"); !errors.Is(err, ErrTooMany) {
		t.Errorf("a fourth entry of another issue: %v", err)
	}
	if _, err := ParseList(list.String() + "harness/misbehavior TestA, cause, issue 85\n"); !errors.Is(err, ErrDuplicate) {
		t.Errorf("a duplicate: %v", err)
	}
}

func TestPlanRunsSkipsOnlyInListedPackage(t *testing.T) {
	runs := PlanRuns([]string{"./a", "./b", "./c"}, []Entry{{Package: "./b", Test: "TestX"}, {Package: "./b", Test: "TestY"}, {Package: "./d", Test: "TestZ"}})
	want := []Run{{Packages: []string{"./a", "./c"}}, {Packages: []string{"./b"}, Skip: "^(TestX|TestY)$"}}
	if !reflect.DeepEqual(runs, want) {
		t.Errorf("runs %+v, want %+v", runs, want)
	}
}

// writeModule creates a module with two packages: a has a failing test and a passing one whose name starts with the failing
// test's name, b has a passing test with the failing test's name.
func writeModule(t *testing.T, list string) string {
	t.Helper()
	root := t.TempDir()
	files := map[string]string{
		"go.mod":      "module small\n\ngo 1.26\n",
		"a/a_test.go": "package a\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fatal(\"red\") }\n\nfunc TestRedder(t *testing.T) { t.Log(\"TestRedder ran\") }\n",
		"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Log(\"TestRed of b ran\") }\n",
		listFile:      list,
	}
	for name, text := range files {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return root
}

func runIn(root string) (code int, output string) {
	var out strings.Builder
	code = run(root, []string{"-count=1", "-v", "./..."}, &out, &out)
	return code, out.String()
}

func TestListedTestIsSkippedAndPrinted(t *testing.T) {
	code, output := runIn(writeModule(t, "a TestRed, it is red, issue 7\n"))
	if code != exitPassed {
		t.Fatalf("code %d:\n%s", code, output)
	}
	for _, want := range []string{"known red, passed over: ./a TestRed, it is red, issue 7", "TestRedder ran", "TestRed of b ran"} {
		if !strings.Contains(output, want) {
			t.Errorf("output lacks %s:\n%s", want, output)
		}
	}
}

func TestUnlistedFailureFails(t *testing.T) {
	for _, list := range []string{"", "b TestRed, another, issue 7\n", "a TestRedder, another, issue 7\n"} {
		if code, output := runIn(writeModule(t, list)); code != exitFailed || !strings.Contains(output, "FAIL: TestRed") {
			t.Errorf("list %q: code %d:\n%s", list, code, output)
		}
	}
}

func TestInvalidListRunsNoTest(t *testing.T) {
	tests := map[string]string{
		"a TestGone, mended long ago, issue 7\n":       "has no test TestGone",
		"a TestRedd, a part of the name, issue 7\n":    "has no test TestRedd",
		"c TestRed, no such package, issue 7\n":        "./c",
		strings.Repeat("a TestRed, red, issue 7\n", 4): "listed twice",
		"all of it\n": "a line reads",
	}
	for list, want := range tests {
		code, output := runIn(writeModule(t, list))
		if code != exitInvalidList || !strings.Contains(output, want) || strings.Contains(output, "ran") {
			t.Errorf("list %q: code %d, want %q:\n%s", list, code, want, output)
		}
	}
}

func TestMissingListRunsAllTests(t *testing.T) {
	root := writeModule(t, "")
	if err := os.Remove(filepath.Join(root, listFile)); err != nil {
		t.Fatal(err)
	}
	if code, output := runIn(root); code != exitFailed || strings.Contains(output, "known red") {
		t.Errorf("code %d:\n%s", code, output)
	}
}

// TestCIRunsAllTestsThroughKnownred checks that .ci/run runs this program and never calls go test directly.
func TestCIRunsAllTestsThroughKnownred(t *testing.T) {
	script, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	for line := range strings.Lines(string(script)) {
		if strings.HasPrefix(line, "go test") {
			t.Errorf(".ci/run calls go test directly: %s", line)
		}
		if strings.HasPrefix(line, "bin/knownred ") {
			calls++
		}
	}
	if calls == 0 {
		t.Error(".ci/run doesn't run knownred")
	}
}
