package main

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// executeArgs executes a command line and returns its exit code and its output.
func executeArgs(args ...string) (code int, stdout, stderr string) {
	var stdoutBuffer, stderrBuffer bytes.Buffer
	code = execute(args, &stdoutBuffer, &stderrBuffer)
	return code, stdoutBuffer.String(), stderrBuffer.String()
}

func writeFile(t *testing.T, path, content string, mode os.FileMode) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), mode); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// TestWrongInputIsRejectedBeforeAnythingRuns checks that wrong input gets a message that names the mistake and exit code 2.
func TestWrongInputIsRejectedBeforeAnythingRuns(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	writeFile(t, bad, "format = 1\nname = \"x\"\nlength = 5\n", 0o644)
	results := filepath.Join(dir, "r.json")
	writeFile(t, results, "{", 0o644)
	for _, test := range []struct {
		args string
		want string
	}{
		{"run no-such-day", "no day of that name; there are calm-1000"},
		{"run " + bad, "bad.toml:3: length: 5 is not a time with its unit"},
		{"run calm-3 --decider magic", "there are module, members, damped, random"},
		{"placement --policy guess", `unknown policy "guess"`},
		{"placement --hosts 0", "1 to 5000 hosts"},
		{"placement --load 0", "1 to 5000 gateways"},
		{"run calm-3 --decider wire:/no/such/program", "/no/such/program"},
		{"run calm-3 --set fleet.gateways=none", "fleet.gateways: none is not a whole number"},
		{"run calm-3 --set fleet.wings=2", "there is no key wings"},
		{"run calm-3 --keep " + dir + "/none/x.json", "cannot write results"},
		{"run calm-3 --seed many", "seed"},
		{"sweep calm-3 --over counter.capacity", "want KEY=V1,V2"},
		{"sweep calm-3 --over counter.capacity=1/s,x", "x is not a rate"},
		{"search calm-3 --tries 2", "neither ranges nor troubles"},
		{"report " + results, "holds no results"},
		{"sockets calm-300", "at most 4000"},
		{"load try --to 192.0.2.1:80 --set length=1s", "is not on loopback"},
		{"owndays " + bad, "missing flags"},
		{"owndays " + bad + " --bench " + bad + " --dir own-days", "lies in the repository under test"},
		{"owndays " + bad + " --bench " + bad + " --dir " + dir + " --kept ./kept", "lies in the repository under test"},
		{"owndays " + bad + " --bench " + bad + " --dir " + dir + " --days 0", "--days must be at least 1"},
		{"owndays " + dir + "/none.toml --bench " + bad + " --dir " + dir, "none.toml"},
		{"frobnicate", "unexpected argument"},
	} {
		code, _, errs := executeArgs(strings.Fields(test.args)...)
		if code != 2 || !strings.Contains(errs, test.want) {
			t.Errorf("%s: code %d\n%s", test.args, code, errs)
		}
	}
}

// TestKeptResultsAreReportedAsPageAndText checks that saved results can be reported as text and as a page that embeds its charts and loads
// nothing from other places.
func TestKeptResultsAreReportedAsPageAndText(t *testing.T) {
	dir := t.TempDir()
	kept, page := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.html")
	code, out, errs := executeArgs("compare", "calm-3", "--set", "length=4s", "--seeds", "2", "--against", "random", "--keep", kept)
	if code != 0 || !strings.Contains(out, "difference from module") || !strings.Contains(out, "sent beyond the quota") {
		t.Fatal(code, out, errs)
	}
	if code, _, errs = executeArgs("report", kept, "-o", page); code != 0 {
		t.Fatal(errs)
	}
	checkPage(t, readFile(t, page))
	if code, out, _ = executeArgs("report", kept); code != 0 || !strings.Contains(out, "worth") {
		t.Error(out)
	}
}

func checkPage(t *testing.T, page string) {
	t.Helper()
	if strings.Count(page, "<svg") < 8 || strings.Contains(page, "<script") || strings.Contains(page, "src=") {
		t.Errorf("the page has %d charts, or loads something from elsewhere", strings.Count(page, "<svg"))
	}
}

func TestResultsArePrintedAsJSON(t *testing.T) {
	if code, out, _ := executeArgs("run", "calm-3", "--set", "length=2s", "--json"); code != 0 || !strings.HasPrefix(out, "[") {
		t.Error(out)
	}
}

func TestSweepDrawsItsCurve(t *testing.T) {
	page := filepath.Join(t.TempDir(), "s.html")
	code, out, errs := executeArgs("sweep", "calm-3", "--set", "length=3s", "--over", "counter.capacity=50/s,2000/s", "--seeds", "2", "--report", page)
	if code != 0 || !strings.Contains(out, "counter.capacity=50/s") {
		t.Fatal(code, out, errs)
	}
	if !strings.Contains(readFile(t, page), "Against counter.capacity") {
		t.Error("the page has no curve of the sweep")
	}
}

// TestSearchWritesTheShrunkWorstDay checks that a search removes the fault without effect from the worst day, and that the day it writes
// can be run.
func TestSearchWritesTheShrunkWorstDay(t *testing.T) {
	dir := t.TempDir()
	day, worst := filepath.Join(dir, "day.toml"), filepath.Join(dir, "worst.toml")
	_, text, _ := executeArgs("days", "--show", "calm-3")
	text += "\n[[trouble]]\nkind = \"slow\"\nat = \"1s\"\nlasts = \"2s\"\npart = 1\nsize = [1, 40]\n" +
		"\n[[trouble]]\nkind = \"delay\"\nat = \"1s\"\nlasts = \"10ms\"\nsize = 1.1\n"
	writeFile(t, day, text, 0o644)
	code, out, errs := executeArgs("search", day, "--set", "length=4s", "--decider", "random", "--tries", "6", "--rounds", "1", "--out", worst)
	if code != 0 || !strings.Contains(out, "without the trouble delay") {
		t.Fatal(code, out, errs)
	}
	shrunkDay := readFile(t, worst)
	if !strings.Contains(shrunkDay, `kind = "slow"`) || strings.Contains(shrunkDay, `kind = "delay"`) {
		t.Error(shrunkDay)
	}
	if code, _, errs := executeArgs("run", worst, "--decider", "random"); code != 0 {
		t.Error(errs)
	}
}

// TestBrokenRuleIsPrintedWithItsEvents checks that a run whose policy breaks a rule ends with exit code 1 and prints the events of the
// invocation.
func TestBrokenRuleIsPrintedWithItsEvents(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "silent") // a policy that answers no invocation
	writeFile(t, path, "#!/bin/sh\nwhile read x; do echo '{\"gateways\":[]}'; done\n", 0o755)
	code, _, errs := executeArgs("run", "calm-3", "--set", "length=1s", "--set", "clients.rate=5/s", "--decider", "wire:"+path)
	if code != 1 || !strings.Contains(errs, "rule 1 at") || !strings.Contains(errs, "asked for by customer") || !strings.Contains(errs, "taken") {
		t.Fatal(code, errs)
	}
}

func TestDaysAreListed(t *testing.T) {
	code, out, _ := executeArgs("days")
	if code != 0 || !strings.Contains(out, "calm-300 ") {
		t.Fatal(out)
	}
	for flag, want := range map[string]string{"--form": "`clients.rate`", "--kinds": "`counter-split`"} {
		if code, out, _ := executeArgs("days", flag); code != 0 || !strings.Contains(out, want) {
			t.Errorf("%s: %s", flag, out)
		}
	}
}

func TestEverySubcommandAndFlagHasHelp(t *testing.T) {
	_, overview, _ := executeArgs("--help")
	if !strings.Contains(overview, "Exit codes: 0 success") {
		t.Error(overview)
	}
	subcommands := reflect.TypeFor[commandLine]()
	for i := range subcommands.NumField() {
		name := strings.ToLower(subcommands.Field(i).Name)
		if code, out, errs := executeArgs(name, "--help"); code != 0 || !strings.HasPrefix(out, "Usage: otterseam-sim "+name) || errs != "" {
			t.Errorf("%s: code %d\n%s%s", name, code, out, errs)
		}
		if !strings.Contains(overview, "  "+name+" ") {
			t.Errorf("the overview doesn't name %s", name)
		}
		for _, flag := range flagsWithoutHelp(subcommands.Field(i).Type) {
			t.Errorf("%s: field %s has no help", name, flag)
		}
	}
}

// flagsWithoutHelp returns the fields of a subcommand, including embedded ones, that have no help text.
func flagsWithoutHelp(subcommand reflect.Type) []string {
	var missing []string
	for _, field := range reflect.VisibleFields(subcommand) {
		if !field.Anonymous && field.Tag.Get("help") == "" {
			missing = append(missing, field.Name)
		}
	}
	return missing
}
