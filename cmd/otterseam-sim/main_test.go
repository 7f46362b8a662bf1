package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func call(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = do(args, &o, &e)
	return code, o.String(), e.String()
}

// Bad input gets one clear line and code 2, before anything is played.
func TestBadInput(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	os.WriteFile(bad, []byte("format = 1\nname = \"x\"\nlength = 5\n"), 0o644)
	results := filepath.Join(dir, "r.json")
	os.WriteFile(results, []byte("{"), 0o644)
	for _, x := range []struct {
		args string
		want string
	}{
		{"run no-such-day", "no day of that name; there are calm-1000"},
		{"run " + bad, "bad.toml:3: length: 5 is not a time with its unit"},
		{"run calm-3 --decider magic", "there are module, members, damped, random"},
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
		code, _, errs := call(strings.Fields(x.args)...)
		if code != 2 || !strings.Contains(errs, x.want) {
			t.Errorf("%s: code %d\n%s", x.args, code, errs)
		}
	}
}

// A run can be kept and reported; the page holds its pictures and nothing from elsewhere.
func TestRunKeepReport(t *testing.T) {
	dir := t.TempDir()
	kept, page := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.html")
	code, out, errs := call("compare", "calm-3", "--set", "length=4s", "--seeds", "2", "--against", "random", "--keep", kept)
	if code != 0 || !strings.Contains(out, "difference from module") || !strings.Contains(out, "sent beyond the quota") {
		t.Fatal(code, out, errs)
	}
	if code, _, errs = call("report", kept, "-o", page); code != 0 {
		t.Fatal(errs)
	}
	b, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	text := string(b)
	if strings.Count(text, "<svg") < 8 || strings.Contains(text, "<script") || strings.Contains(text, "src=") {
		t.Errorf("%d pictures", strings.Count(text, "<svg"))
	}
	if code, out, _ = call("report", kept); code != 0 || !strings.Contains(out, "worth") {
		t.Error(out)
	}
	if code, out, _ = call("run", "calm-3", "--set", "length=2s", "--json"); code != 0 || !strings.HasPrefix(out, "[") {
		t.Error(out)
	}
}

// A sweep draws its curve; a search finds a day that is worse than the middle, leaves out what does not matter, and what
// it writes can be played.
func TestSweepAndSearch(t *testing.T) {
	dir := t.TempDir()
	page, worst := filepath.Join(dir, "s.html"), filepath.Join(dir, "worst.toml")
	code, out, errs := call("sweep", "calm-3", "--set", "length=3s", "--over", "counter.capacity=50/s,2000/s", "--seeds", "2", "--report", page)
	if code != 0 || !strings.Contains(out, "counter.capacity=50/s") {
		t.Fatal(code, out, errs)
	}
	if b, _ := os.ReadFile(page); !bytes.Contains(b, []byte("Against counter.capacity")) {
		t.Error("no curve")
	}
	day := filepath.Join(dir, "day.toml")
	_, text, _ := call("days", "--show", "calm-3")
	text += "\n[[trouble]]\nkind = \"slow\"\nat = \"1s\"\nlasts = \"2s\"\npart = 1\nsize = [1, 40]\n" +
		"\n[[trouble]]\nkind = \"delay\"\nat = \"1s\"\nlasts = \"10ms\"\nsize = 1.1\n"
	os.WriteFile(day, []byte(text), 0o644)
	code, out, errs = call("search", day, "--set", "length=4s", "--decider", "random", "--tries", "6", "--rounds", "1", "--out", worst)
	if code != 0 || !strings.Contains(out, "without the trouble delay") {
		t.Fatal(code, out, errs)
	}
	b, _ := os.ReadFile(worst)
	if !bytes.Contains(b, []byte(`kind = "slow"`)) || bytes.Contains(b, []byte(`kind = "delay"`)) {
		t.Errorf("%s", b)
	}
	if code, _, errs = call("run", worst, "--decider", "random"); code != 0 {
		t.Error(errs)
	}
}

// A program that breaks a rule ends with code 1 and the story of the invocation.
func TestBrokenRuleIsTold(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "silent") // it never answers anybody
	os.WriteFile(path, []byte("#!/bin/sh\nwhile read x; do echo '{\"gateways\":[]}'; done\n"), 0o755)
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
