package scenariogen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// Bench is the program that plays days. Each call begins at the root of the repository under test.
type Bench struct {
	Program string // its path
	Root    string // folder in which it is called
	Days    string // folder for the files of days and reports; outside the repository
	Why     string // what the journal of plays says of them
}

// Outcome is what became of a day.
type Outcome struct {
	Worth  float64              `json:"G"`
	Served float64              `json:"served"`
	Fault  json.RawMessage      `json:"fault"`
	Short  []json.RawMessage    `json:"short"` // what fell short of the gate
	Breaks map[string]any       `json:"breaks"`
	First  []json.RawMessage    `json:"first"` // of what was broken
	Events []OutcomeDisruption  `json:"events"`
	Exits  int                  `json:"exits_n"` // processes that ended by themselves
	Times  map[string][]float64 `json:"times"`   // of what took time, in ms: the middle and the longest
}

// timeOfConfig is the entry of Outcome.Times for the acknowledgement of a configuration.
const timeOfConfig = "config acked"

// SlowestConfig is how long the slowest acknowledgement of a configuration took, in ms; 0 if there was none.
func (o *Outcome) SlowestConfig() float64 {
	times := o.Times[timeOfConfig]
	if len(times) == 0 {
		return 0
	}
	return times[len(times)-1]
}

// OutcomeDisruption is a disruption as it was played.
type OutcomeDisruption struct {
	At   float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	What string  `json:"what"`
}

// Broken names the rules that were broken, sorted; "fault" stands for a play that could not be judged.
func (o *Outcome) Broken() []string {
	var rules []string
	for rule, times := range o.Breaks {
		if n, isNumber := times.(float64); !isNumber || n != 0 {
			rules = append(rules, rule)
		}
	}
	if f := strings.TrimSpace(string(o.Fault)); f != "" && f != "null" && f != `""` {
		rules = append(rules, "fault")
	}
	slices.Sort(rules)
	return rules
}

// GateLines are the lines of the gate that the day fell short of.
func (o *Outcome) GateLines() []string {
	lines := make([]string, 0, len(o.Short))
	for _, line := range o.Short {
		lines = append(lines, string(line))
	}
	return lines
}

// ErrNoReport is returned where the bench ended without a report.
var ErrNoReport = errors.New("the bench gave no report")

// Kinds asks for the list of kinds in force at a site.
func (b *Bench) Kinds(ctx context.Context, site string) ([]Kind, error) {
	out, err := b.call(ctx, "kinds", b.seen(site))
	if err != nil {
		return nil, err
	}
	return ParseKinds(out)
}

// Play writes a day under a name of its own, plays it at a site and reads its report.
func (b *Bench) Play(ctx context.Context, site, name string, day *Day) (*Outcome, error) {
	file := b.File(name)
	if err := os.WriteFile(file, []byte(day.TOML()), 0o644); err != nil {
		return nil, err
	}
	report := strings.TrimSuffix(file, dayEnding) + ".json"
	if err := os.Remove(report); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	said, callErr := b.call(ctx, "run", b.seen(site), b.seen(file), "--jobs", "1", "--report", report, "--why", b.Why+": "+name)
	if err := os.WriteFile(strings.TrimSuffix(file, dayEnding)+".txt", []byte(said), 0o644); err != nil {
		return nil, err
	}
	written, err := os.ReadFile(report)
	if err != nil {
		return nil, errors.Join(ErrNoReport, callErr, err)
	}
	var outcome Outcome
	if err := json.Unmarshal(written, &outcome); err != nil {
		return nil, fmt.Errorf("report of %s: %w", name, err)
	}
	return &outcome, nil
}

const dayEnding = ".toml"

// File is where a day of a name is written.
func (b *Bench) File(name string) string { return filepath.Join(b.Days, name+dayEnding) }

// seen is a path as seen from the folder in which the bench is called, so that its journal holds nothing of the machine.
func (b *Bench) seen(path string) string {
	relative, err := filepath.Rel(b.Root, path)
	if err != nil {
		return path
	}
	return relative
}

// call runs the program and gives what it says. An exit code other than 0 is an error that holds the last of it.
func (b *Bench) call(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, b.Program, args...)
	cmd.Dir = b.Root
	var said bytes.Buffer
	cmd.Stdout, cmd.Stderr = &said, &said
	if err := cmd.Run(); err != nil {
		return said.String(), fmt.Errorf("%s: %w: %s", args[0], err, lastOf(said.String()))
	}
	return said.String(), nil
}

// lastOf keeps the last part of a long text for an error.
func lastOf(text string) string {
	const most = 400
	text = strings.TrimSpace(text)
	if len(text) > most {
		text = text[len(text)-most:]
	}
	return text
}
