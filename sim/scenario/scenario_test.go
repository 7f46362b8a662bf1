package scenario

import (
	"os"
	"strings"
	"testing"
)

func good(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../scenarios/calm-300.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// What is wrong with a file is said with its line and what was expected, all of it at once.
func TestFaultsNameLineAndKey(t *testing.T) {
	for _, x := range []struct{ from, to, want string }{
		{`length = "60s"`, `length = 60`, `d.toml:4: length: 60 is not a time with its unit, such as "250ms"`},
		{`length = "60s"`, `length = "60 minutes"`, `d.toml:4: length: 60 minutes is not a time`},
		{`length = "60s"`, `length = "60s"` + "\nspeed = 2", `d.toml:5: speed: no such key here; there are format, name`},
		{`gateways = 300`, `gateways = 0`, `d.toml:7: fleet.gateways: 0 is out of range: from 1 to 5000`},
		{`gateways = 300`, `gateways = 3.5`, `d.toml:7: fleet.gateways: 3.5 is not a whole number`},
		{`gateways = 300`, `gateways = [9, 3]`, `the range goes from 9 down to 3`},
		{`rate = "2/s"`, `rate = "2"`, `plan[0].rate: 2 is not a rate with its unit`},
		{`effect = "tokened"`, `effect = "maybe"`, `operation[1].effect: "maybe"; one of idempotent, tokened, non-idempotent is wanted`},
		{`effect = "tokened"`, ``, `operation[1].effect: is missing`},
		{`name = "charge"`, `name = "search"`, `operation[2].name: "search" is there already`},
		{`burst = 10`, `burst = 2`, `plan[0].burst: holds less than one invocation may have: 6 units`},
		{`format = 1`, `format = 2`, `d.toml:1: format: 1 is wanted`},
		{`[peers]`, "[[trouble]]\nkind = \"rain\"\nat = \"1s\"\n[peers]", `trouble[0].kind: "rain" is not known`},
		{`[peers]`, "[[trouble]]\nkind = \"slow\"\nat = \"1s\"\n[peers]", `trouble[0].lasts: slow needs a time`},
		{`[peers]`, "[[trouble]]\nkind = \"errors\"\nat = \"1s\"\nlasts = \"1s\"\nsize = 3\n[peers]", `trouble[0].size: is a part here`},
		{`[fleet]`, `[fleet`, `d.toml:6`},
	} {
		_, err := Read("d.toml", []byte(strings.Replace(good(t), x.from, x.to, 1)))
		if err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: %v\nwant %s", x.to, err, x.want)
		}
	}
	_, err := Read("d.toml", []byte(strings.NewReplacer(`length = "60s"`, `length = 60`, `gateways = 300`, `gateways = 0`).Replace(good(t))))
	if fs, ok := err.(InvalidError); !ok || len(fs) != 2 {
		t.Errorf("two faults: %v", err)
	}
}

// What is written reads back the same, and a draw depends on the seed and the key alone.
func TestDaysAreWrittenAndDrawn(t *testing.T) {
	text := strings.Replace(good(t), `gateways = 300`, `gateways = [3, 3000]`, 1)
	text = strings.Replace(text, `near = 0.15`, `near = [0.1, 0.2]`, 1)
	d, err := Read("d.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	again, err := Read("again", []byte(d.Text()))
	if err != nil || again.Text() != d.Text() {
		t.Fatalf("it does not read back: %v", err)
	}
	a, b, c := d.Draw(1), d.Draw(1), d.Draw(2)
	if a.Text() != b.Text() || a.Text() == c.Text() {
		t.Fatal("a draw is not the seed's alone")
	}
	if got := d.Spans(); len(got) != 2 {
		t.Fatalf("ranges: %v", got)
	}
	if n := a.Fleet.Gateways.Int(); n < 3 || n > 3000 || a.Fleet.Gateways.Lo != a.Fleet.Gateways.Hi {
		t.Fatalf("drew %v", a.Fleet.Gateways)
	}
	more := d.Clone()
	more.Network.Jitter.Hi = 3 // a range more moves no other draw
	if x := more.Draw(1); x.Fleet.Gateways != a.Fleet.Gateways || x.Clients.Near != a.Clients.Near {
		t.Fatal("another range moved the draw")
	}
	if err := d.Set("plan[0].rate", "5/s"); err != nil || d.Plans[0].Rate.Float() != 5 {
		t.Fatal(err)
	}
	for _, x := range [][2]string{{"plan[9].rate", "5/s"}, {"plan[0].rate", "5"}, {"plan.rate", "5/s"}, {"rain", "1"}, {"fleet", "1"}} {
		if d.Set(x[0], x[1]) == nil {
			t.Errorf("%s=%s was taken", x[0], x[1])
		}
	}
}

// The page holds the form as it is.
func TestPageHoldsTheForm(t *testing.T) {
	b, err := os.ReadFile("../../docs/laboratory.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(Form()), "\n") {
		if !strings.Contains(string(b), line) {
			t.Errorf("docs/laboratory.md lacks\n%s", line)
		}
	}
	for _, k := range FaultKinds {
		if !strings.Contains(string(b), "| `"+k.Name+"` | "+k.Description+" |") {
			t.Errorf("docs/laboratory.md lacks the trouble %s", k.Name)
		}
	}
}
