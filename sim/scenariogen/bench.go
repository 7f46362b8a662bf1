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

// Bench runs days with an external program. The program's working directory is the root of the repository under test.
type Bench struct {
	Program string // path of the program
	Root    string // working directory of the program
	Dir     string // folder for day files and reports, outside the repository
	Reason  string // reason that the bench records in its journal
}

// ErrNoReport is returned if the bench exited without writing a report.
var ErrNoReport = errors.New("the bench wrote no report")

// Kinds returns the kinds of disruptions that the bench supports at a site.
func (b *Bench) Kinds(ctx context.Context, site string) ([]Kind, error) {
	out, err := b.run(ctx, "kinds", b.fromRoot(site))
	if err != nil {
		return nil, err
	}
	return ParseKinds(out)
}

// RunDay writes a day to the file of the given name, runs it at a site and returns its report.
func (b *Bench) RunDay(ctx context.Context, site, name string, day *Day) (*Report, error) {
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

// DayFile returns the path of the file to which RunDay writes the day of a name.
func (b *Bench) DayFile(name string) string { return filepath.Join(b.Dir, name+dayExtension) }

// fromRoot returns the path relative to the working directory of the bench, so that the bench's journal contains no machine-specific paths.
func (b *Bench) fromRoot(path string) string {
	relative, err := filepath.Rel(b.Root, path)
	if err != nil {
		return path
	}
	return relative
}

// run runs the program and returns its output. If the exit code is not 0, the error contains the end of the output.
func (b *Bench) run(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, b.Program, args...)
	cmd.Dir = b.Root
	output, err := cmd.CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("%s: %w: %s", args[0], err, tail(string(output)))
	}
	return string(output), nil
}

// tail returns the last part of a long text, for an error message.
func tail(text string) string {
	const limit = 400 // bytes
	text = strings.TrimSpace(text)
	if len(text) > limit {
		text = text[len(text)-limit:]
	}
	return text
}
