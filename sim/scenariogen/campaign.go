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

// Campaign plays generated days of several sites.
type Campaign struct {
	Bench        *Bench
	FirstSeed    uint64
	DaysPerSite  int
	Jobs         int     // played at once
	Length       float64 // of a day, in seconds; 0: the site's own
	KeepBelow    float64 // a day that scores less is kept too
	KeepDir      string  // folder for the days that failed; empty: they aren't kept apart
	WriteOnly    bool    // days are written and not played
	ShrinkBudget int     // most plays spent on shrinking one day
	OnLine       func(line string)

	lineLock sync.Mutex // held while OnLine runs
}

// Run plays the days of each site file in turn. It goes on after a broken rule and returns all that was played.
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
			results[i] = c.play(ctx, generator, file, seed)
			return c.finish(ctx, file, results[i])
		})
	}
	err = group.Wait()
	return withoutUnplayed(results), err
}

// withoutUnplayed leaves out days that were never begun.
func withoutUnplayed(results []*Result) (begun []*Result) {
	for _, result := range results {
		if result != nil {
			begun = append(begun, result)
		}
	}
	return begun
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

// write puts the days into their files.
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

func (c *Campaign) play(ctx context.Context, generator *Generator, file string, seed uint64) *Result {
	day := generator.Day(seed)
	result := &Result{Site: generator.site.Name, Seed: seed, Day: day, Name: generator.fileName(day)}
	result.Report, result.Err = c.Bench.Play(ctx, file, result.Name, day)
	return result
}

// finish prints what became of a day, keeps it if it failed and shrinks it if it broke a rule.
func (c *Campaign) finish(ctx context.Context, file string, result *Result) error {
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

// shrink looks for the shortest day that breaks the first of the rules that were broken.
func (c *Campaign) shrink(ctx context.Context, file string, result *Result) error {
	rule := result.Report.ViolatedRules()[0]
	name := result.Name + "-short"
	breaks := func(day *Day) (bool, error) {
		report, err := c.Bench.Play(ctx, file, name, day)
		if err != nil {
			return false, err
		}
		return slices.Contains(report.ViolatedRules(), rule), nil
	}
	shortest, err := Shrink(result.Day, c.ShrinkBudget, breaks, func(step string) {
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
