package scenariogen

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Campaign runs generated days of several sites.
type Campaign struct {
	Bench        *Bench
	FirstSeed    uint64
	DaysPerSite  int
	Jobs         int               // number of days run in parallel
	Length       float64           // length of a day, in seconds; 0 for the default of the site
	KeepBelow    float64           // days with a lower score are kept as well
	KeepDir      string            // folder for copies of the days worth keeping; empty for no copies
	WriteOnly    bool              // write days without running them
	ShrinkBudget int               // maximum number of runs for shrinking one day
	OnLine       func(line string) // receives each line of progress output

	lineLock sync.Mutex // serializes calls of OnLine
}

// Run runs the days of each site file, one site after another. It continues after a violated rule and returns the results of all days that
// were run.
func (c *Campaign) Run(ctx context.Context, siteFiles []string) ([]*Result, error) {
	var all []*Result
	for _, file := range siteFiles {
		results, err := c.runSite(ctx, file)
		all = append(all, results...)
		if err != nil {
			return all, err
		}
	}
	return all, nil
}

func (c *Campaign) runSite(ctx context.Context, file string) ([]*Result, error) {
	generator, err := c.generator(ctx, file)
	if err != nil {
		return nil, err
	}
	if c.WriteOnly {
		return nil, c.write(generator)
	}
	results := make([]*Result, c.DaysPerSite)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, c.Jobs))
	for i := range results {
		seed := c.FirstSeed + uint64(i)
		group.Go(func() error {
			results[i] = c.runDay(ctx, generator, file, seed)
			return c.handleResult(ctx, file, results[i])
		})
	}
	err = group.Wait()
	return onlyStarted(results), err
}

// onlyStarted returns the results without the nil entries of days that were never started.
func onlyStarted(results []*Result) (started []*Result) {
	for _, result := range results {
		if result != nil {
			started = append(started, result)
		}
	}
	return started
}

func (c *Campaign) generator(ctx context.Context, file string) (*Generator, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	site, err := ParseSite(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Base(file), err)
	}
	kinds, err := c.Bench.Kinds(ctx, file)
	if err != nil {
		return nil, err
	}
	generator := NewGenerator(site, kinds)
	if c.Length > 0 {
		generator.Length = c.Length
	}
	return generator, nil
}

// write writes the days to their files without running them.
func (c *Campaign) write(generator *Generator) error {
	for i := range c.DaysPerSite {
		day := generator.Day(c.FirstSeed + uint64(i))
		file := c.Bench.DayFile(generator.fileName(day))
		if err := os.WriteFile(file, []byte(day.TOML()), 0o644); err != nil {
			return err
		}
		c.emit(file)
	}
	return nil
}

func (c *Campaign) runDay(ctx context.Context, generator *Generator, file string, seed uint64) *Result {
	day := generator.Day(seed)
	result := &Result{Site: generator.site.Name, Seed: seed, Day: day, Name: generator.fileName(day)}
	result.Report, result.Err = c.Bench.RunDay(ctx, file, result.Name, day)
	return result
}

// handleResult prints the summary of a day, keeps the day if it failed, and shrinks it if it violated a rule.
func (c *Campaign) handleResult(ctx context.Context, file string, result *Result) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	c.emit(result.summary())
	if !result.worthKeeping(c.KeepBelow) {
		return nil
	}
	if err := c.keep(result.Name, result.Day); err != nil {
		return err
	}
	if !result.Violated() || c.ShrinkBudget == 0 {
		return nil
	}
	return c.shrink(ctx, file, result)
}

func (c *Campaign) emit(line string) {
	c.lineLock.Lock()
	defer c.lineLock.Unlock()
	c.OnLine(line)
}

func (c *Campaign) keep(name string, day *Day) error {
	if c.KeepDir == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(c.KeepDir, name+dayExtension), []byte(day.TOML()), 0o644)
}

// shrink searches for the shortest day that still violates the first of the violated rules.
func (c *Campaign) shrink(ctx context.Context, file string, result *Result) error {
	rule := result.Report.ViolatedRules()[0]
	name := result.Name + "-short"
	violates := func(day *Day) (bool, error) {
		report, err := c.Bench.RunDay(ctx, file, name, day)
		if err != nil {
			return false, err
		}
		return slices.Contains(report.ViolatedRules(), rule), nil
	}
	shortest, err := Shrink(result.Day, c.ShrinkBudget, violates, func(step string) {
		c.emit(fmt.Sprintf("%s seed %d, %s still broken %s", result.Site, result.Seed, rule, step))
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Bench.DayFile(name), []byte(shortest.TOML()), 0o644); err != nil {
		return err
	}
	result.Shrunk = c.Bench.DayFile(name)
	return c.keep(name, shortest)
}
