package scenariogen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Bench is the program that plays days. Each run begins at the root of the repository under test.
type Bench struct {
	Program string // its path
	Root    string // folder in which it is run
	Dir     string // folder for the files of days and reports; outside the repository
	Reason  string // given to the bench for its journal
}

// ErrNoReport is returned where the bench ended without a report.
var ErrNoReport = errors.New("the bench gave no report")

// Kinds asks for the list of kinds in force at a site.
func (b *Bench) Kinds(ctx context.Context, site string) ([]Kind, error) {
	out, err := b.run(ctx, "kinds", b.fromRoot(site))
	if err != nil {
		return nil, err
	}
	return ParseKinds(out)
}

// Play writes a day under a name of its own, plays it at a site and reads its report.
func (b *Bench) Play(ctx context.Context, site, name string, day *Day) (*Report, error) {
	file := b.DayFile(name)
	if err := os.WriteFile(file, []byte(day.TOML()), 0o644); err != nil {
		return nil, err
	}
	reportFile := strings.TrimSuffix(file, dayExtension) + ".json"
	if err := os.Remove(reportFile); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	output, runErr := b.run(ctx, "run", b.fromRoot(site), b.fromRoot(file), "--jobs", "1", "--report", reportFile, "--why", b.Reason+": "+name)
	if err := os.WriteFile(strings.TrimSuffix(file, dayExtension)+".txt", []byte(output), 0o644); err != nil {
		return nil, err
	}
	written, err := os.ReadFile(reportFile)
	if err != nil {
		return nil, errors.Join(ErrNoReport, runErr, err)
	}
	var report Report
	if err := json.Unmarshal(written, &report); err != nil {
		return nil, fmt.Errorf("report of %s: %w", name, err)
	}
	return &report, nil
}

const dayExtension = ".toml"

// DayFile is where a day of a name is written.
func (b *Bench) DayFile(name string) string { return filepath.Join(b.Dir, name+dayExtension) }

// fromRoot is a path as seen from the folder in which the bench is called, so that its journal holds nothing of the machine.
func (b *Bench) fromRoot(path string) string {
	relative, err := filepath.Rel(b.Root, path)
	if err != nil {
		return path
	}
	return relative
}

// run runs the program and returns its output. An exit code other than 0 is an error that holds the end of the output.
func (b *Bench) run(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, b.Program, args...)
	cmd.Dir = b.Root
	output, err := cmd.CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("%s: %w: %s", args[0], err, tail(string(output)))
	}
	return string(output), nil
}

// tail keeps the last part of a long text for an error.
func tail(text string) string {
	const limit = 400 // bytes
	text = strings.TrimSpace(text)
	if len(text) > limit {
		text = text[len(text)-limit:]
	}
	return text
}
