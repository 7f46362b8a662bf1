package main

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// call executes a command line and returns its exit code and what it wrote.
func call(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = execute(args, &out, &errs)
	return code, out.String(), errs.String()
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

// Wrong input gets one clear line and code 2, before anything is run.
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
		{"placement --policy guess", `policy "guess" is not known`},
		{"placement --hosts 0", "1 to 5000 hosts"},
		{"placement --load 0", "1 to 5000 gateways"},
		{"run calm-3 --decider wire:/no/such/program", "/no/such/program"},
		{"run calm-3 --set fleet.gateways=none", "fleet.gateways: none is not a whole number"},
		{"run calm-3 --set fleet.wings=2", "there is no key wings"},
		{"run calm-3 --keep " + dir + "/none/x.json", "no result could be written"},
		{"run calm-3 --seed many", "seed"},
		{"sweep calm-3 --over counter.capacity", "KEY=V1,V2 is wanted"},
		{"sweep calm-3 --over counter.capacity=1/s,x", "x is not a rate"},
		{"search calm-3 --tries 2", "neither ranges nor troubles"},
		{"report " + results, "holds no results"},
		{"sockets calm-300", "at most 4000"},
		{"load try --to 192.0.2.1:80 --set length=1s", "is not on loopback"},
		{"owndays " + bad, "missing flags"},
		{"owndays " + bad + " --bench " + bad + " --dir own-days", "lies in the repository under test"},
		{"owndays " + bad + " --bench " + bad + " --dir " + dir + " --kept ./kept", "lies in the repository under test"},
		{"owndays " + bad + " --bench " + bad + " --dir " + dir + " --days 0", "at least one day is wanted"},
		{"owndays " + dir + "/none.toml --bench " + bad + " --dir " + dir, "none.toml"},
		{"frobnicate", "unexpected argument"},
	} {
		code, _, errs := call(strings.Fields(test.args)...)
		if code != 2 || !strings.Contains(errs, test.want) {
			t.Errorf("%s: code %d\n%s", test.args, code, errs)
		}
	}
}

// Results can be kept and reported; the page holds its charts and nothing from elsewhere.
func TestKeptResultsAreReportedAsPageAndText(t *testing.T) {
	dir := t.TempDir()
	kept, page := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.html")
	code, out, errs := call("compare", "calm-3", "--set", "length=4s", "--seeds", "2", "--against", "random", "--keep", kept)
	if code != 0 || !strings.Contains(out, "difference from module") || !strings.Contains(out, "sent beyond the quota") {
		t.Fatal(code, out, errs)
	}
	if code, _, errs = call("report", kept, "-o", page); code != 0 {
		t.Fatal(errs)
	}
	checkPage(t, readFile(t, page))
	if code, out, _ = call("report", kept); code != 0 || !strings.Contains(out, "worth") {
		t.Error(out)
	}
}

func checkPage(t *testing.T, page string) {
	t.Helper()
	if strings.Count(page, "<svg") < 8 || strings.Contains(page, "<script") || strings.Contains(page, "src=") {
		t.Errorf("%d charts", strings.Count(page, "<svg"))
	}
}

func TestResultsArePrintedAsJSON(t *testing.T) {
	if code, out, _ := call("run", "calm-3", "--set", "length=2s", "--json"); code != 0 || !strings.HasPrefix(out, "[") {
		t.Error(out)
	}
}

func TestASweepDrawsItsCurve(t *testing.T) {
	page := filepath.Join(t.TempDir(), "s.html")
	code, out, errs := call("sweep", "calm-3", "--set", "length=3s", "--over", "counter.capacity=50/s,2000/s", "--seeds", "2", "--report", page)
	if code != 0 || !strings.Contains(out, "counter.capacity=50/s") {
		t.Fatal(code, out, errs)
	}
	if !strings.Contains(readFile(t, page), "Against counter.capacity") {
		t.Error("no curve")
	}
}

// A search finds a day that is worse than the middle, leaves out what does not matter, and what it writes can be run.
func TestASearchWritesTheShrunkWorstDay(t *testing.T) {
	dir := t.TempDir()
	day, worst := filepath.Join(dir, "day.toml"), filepath.Join(dir, "worst.toml")
	_, text, _ := call("days", "--show", "calm-3")
	text += "\n[[trouble]]\nkind = \"slow\"\nat = \"1s\"\nlasts = \"2s\"\npart = 1\nsize = [1, 40]\n" +
		"\n[[trouble]]\nkind = \"delay\"\nat = \"1s\"\nlasts = \"10ms\"\nsize = 1.1\n"
	writeFile(t, day, text, 0o644)
	code, out, errs := call("search", day, "--set", "length=4s", "--decider", "random", "--tries", "6", "--rounds", "1", "--out", worst)
	if code != 0 || !strings.Contains(out, "without the trouble delay") {
		t.Fatal(code, out, errs)
	}
	found := readFile(t, worst)
	if !strings.Contains(found, `kind = "slow"`) || strings.Contains(found, `kind = "delay"`) {
		t.Error(found)
	}
	if code, _, errs := call("run", worst, "--decider", "random"); code != 0 {
		t.Error(errs)
	}
}

// A program that breaks a rule ends with code 1 and the events of the invocation.
func TestABrokenRuleIsPrintedWithItsEvents(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "silent") // it never answers anybody
	writeFile(t, path, "#!/bin/sh\nwhile read x; do echo '{\"gateways\":[]}'; done\n", 0o755)
	code, _, errs := call("run", "calm-3", "--set", "length=1s", "--set", "clients.rate=5/s", "--decider", "wire:"+path)
	if code != 1 || !strings.Contains(errs, "rule 1 at") || !strings.Contains(errs, "asked for by customer") || !strings.Contains(errs, "taken") {
		t.Fatal(code, errs)
	}
}

func TestDaysAreListed(t *testing.T) {
	code, out, _ := call("days")
	if code != 0 || !strings.Contains(out, "calm-300 ") {
		t.Fatal(out)
	}
	for flag, want := range map[string]string{"--form": "`clients.rate`", "--kinds": "`counter-split`"} {
		if code, out, _ := call("days", flag); code != 0 || !strings.Contains(out, want) {
			t.Errorf("%s: %s", flag, out)
		}
	}
}

func TestEverySubcommandExplainsItselfAndEachFlag(t *testing.T) {
	_, overview, _ := call("--help")
	if !strings.Contains(overview, "Exit codes: 0 success") {
		t.Error(overview)
	}
	subcommands := reflect.TypeFor[commandLine]()
	for i := range subcommands.NumField() {
		name := strings.ToLower(subcommands.Field(i).Name)
		if code, out, errs := call(name, "--help"); code != 0 || !strings.HasPrefix(out, "Usage: otterseam-sim "+name) || errs != "" {
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

// flagsWithoutHelp are the fields of a subcommand, embedded ones included, without a help text.
func flagsWithoutHelp(subcommand reflect.Type) []string {
	var missing []string
	for _, field := range reflect.VisibleFields(subcommand) {
		if !field.Anonymous && field.Tag.Get("help") == "" {
			missing = append(missing, field.Name)
		}
	}
	return missing
}
