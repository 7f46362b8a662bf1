package scenario

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func validText(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../scenarios/calm-300.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Every error in a file is reported, each with its line, its key and what was expected.
func TestProblemsNameLineAndKey(t *testing.T) {
	for _, x := range []struct{ from, to, want string }{
		{`length = "60s"`, `length = 60`, `d.toml:4: length: 60 is not a time with its unit, such as "250ms"`},
		{`length = "60s"`, `length = "60 minutes"`, `d.toml:4: length: 60 minutes is not a time`},
		{`length = "60s"`, `length = "60s"` + "\nspeed = 2", `d.toml:5: speed: no such key here; there are format, name`},
		{`gateways = 300`, `gateways = 0`, `d.toml:7: fleet.gateways: 0 is out of range: from 1 to 5000`},
		{`gateways = 300`, `gateways = 3.5`, `d.toml:7: fleet.gateways: 3.5 is not a whole number`},
		{`gateways = 300`, `gateways = [9, 3]`, `the range goes from 9 down to 3`},
		{`rate = "2/s"`, `rate = "2"`, `plan[0].rate: 2 is not a rate with its unit`},
		{`rate = "2/s"`, `rate = "NaN/s"`, `plan[0].rate: NaN/s is not a rate with its unit`},
		{`rate = "2/s"`, `rate = "-Inf/s"`, `plan[0].rate: -Inf/s is not a rate with its unit`},
		{`effect = "tokened"`, `effect = "maybe"`, `operation[1].effect: "maybe" is not one of idempotent, tokened, non-idempotent`},
		{`effect = "tokened"`, ``, `operation[1].effect: is missing`},
		{`name = "charge"`, `name = "search"`, `operation[2].name: "search" is used more than once`},
		{`burst = 10`, `burst = 2`, `plan[0].burst: is less than the maximum of 6 units per invocation`},
		{`format = 1`, `format = 2`, `d.toml:1: format: must be 1`},
		{`[peers]`, "[[trouble]]\nkind = \"rain\"\nat = \"1s\"\n[peers]", `trouble[0].kind: "rain" is not known`},
		{`[peers]`, "[[trouble]]\nkind = \"slow\"\nat = \"1s\"\n[peers]", `trouble[0].lasts: slow needs a duration`},
		{`[peers]`, "[[trouble]]\nkind = \"errors\"\nat = \"1s\"\nlasts = \"1s\"\nsize = 3\n[peers]", `trouble[0].size: is a fraction for this kind`},
		{`[fleet]`, `[fleet`, `d.toml:6`},
	} {
		_, err := Read("d.toml", []byte(strings.Replace(validText(t), x.from, x.to, 1)))
		if err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: %v\nwant %s", x.to, err, x.want)
		}
	}
	_, err := Read("d.toml", []byte(strings.NewReplacer(`length = "60s"`, `length = 60`, `gateways = 300`, `gateways = 0`).Replace(validText(t))))
	var invalid InvalidError
	if !errors.As(err, &invalid) || len(invalid) != 2 {
		t.Errorf("want two problems, got: %v", err)
	}
}

// withRanges returns a scenario in which two numbers are ranges.
func withRanges(t *testing.T) *Scenario {
	t.Helper()
	text := strings.Replace(validText(t), `gateways = 300`, `gateways = [3, 3000]`, 1)
	text = strings.Replace(text, `near = 0.15`, `near = [0.1, 0.2]`, 1)
	read, err := Read("d.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func TestWrittenScenarioReadsBackUnchanged(t *testing.T) {
	written := withRanges(t)
	again, err := Read("again", []byte(written.Text()))
	if err != nil || again.Text() != written.Text() {
		t.Fatalf("the written scenario does not read back unchanged: %v", err)
	}
	if ranges := written.RangePaths(); len(ranges) != 2 {
		t.Fatalf("want two ranges, got %v", ranges)
	}
}

// The value drawn for a key depends on the seed and the key only, not on which other keys are ranges.
func TestDrawsDependOnSeedAndKey(t *testing.T) {
	undrawn := withRanges(t)
	first := undrawn.Draw(1)
	if first.Text() != undrawn.Draw(1).Text() || first.Text() == undrawn.Draw(2).Text() {
		t.Fatal("equal seeds must draw equal scenarios, and different seeds different ones")
	}
	gateways := first.Fleet.Gateways
	if n := gateways.Int(); n < 3 || n > 3000 || gateways.Lo != gateways.Hi {
		t.Fatalf("drew %v", gateways)
	}
	another := undrawn.Clone()
	another.Network.Jitter.Hi = 3 // another range must not change the values drawn for other keys
	if drawn := another.Draw(1); drawn.Fleet.Gateways != gateways || drawn.Clients.Near != first.Clients.Near {
		t.Fatal("another range changed the values drawn for other keys")
	}
}

func TestSetChangesAKeyOrReturnsAnError(t *testing.T) {
	changed := withRanges(t)
	if err := changed.Set("plan[0].rate", "5/s"); err != nil || changed.Plans[0].Rate.Float() != 5 {
		t.Fatal(err)
	}
	for _, wrong := range [][2]string{{"plan[9].rate", "5/s"}, {"plan[0].rate", "5"}, {"plan[0].rate", "NaN/s"}, {"plan.rate", "5/s"}, {"rain", "1"}, {"fleet", "1"}} {
		if changed.Set(wrong[0], wrong[1]) == nil {
			t.Errorf("%s=%s was accepted", wrong[0], wrong[1])
		}
	}
}

// The documentation must list all keys and kinds of faults as the code defines them.
func TestDocumentationListsAllKeysAndFaultKinds(t *testing.T) {
	b, err := os.ReadFile("../../docs/laboratory.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(KeyTable()), "\n") {
		if !strings.Contains(string(b), line) {
			t.Errorf("docs/laboratory.md lacks\n%s", line)
		}
	}
	for _, k := range FaultKinds {
		if !strings.Contains(string(b), "| `"+k.Name+"` | "+k.Description+" |") {
			t.Errorf("docs/laboratory.md lacks the kind of trouble %s", k.Name)
		}
	}
}
