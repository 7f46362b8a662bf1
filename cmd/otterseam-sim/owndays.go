package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"otterseam/sim/scenariogen"
)

type owndaysCommand struct {
	Sites  []string      `arg:"" type:"existingfile" help:"Site files of the deployments for which days are generated."`
	Bench  string        `required:"" type:"existingfile" help:"Bench program that plays days." placeholder:"PROGRAM"`
	Dir    string        `required:"" type:"path" help:"Folder for the files of days and reports, outside the repository under test." placeholder:"DIR"`
	Kept   string        `type:"path" help:"Folder for copies of the days that failed, outside the repository under test." placeholder:"DIR"`
	Root   string        `default:"." type:"existingdir" help:"Repository under test, in which the bench program is run."`
	Seed   uint64        `default:"1" help:"First seed."`
	Days   int           `default:"10" help:"Number of days of each site, from the first seed on."`
	Jobs   int           `default:"1" help:"How many days are played at once."`
	Length time.Duration `help:"Length of a day; without it, that of the site." placeholder:"24s"`
	Least  float64       `default:"0.6" help:"Also keep days that score less than this."`
	Shrink int           `default:"40" help:"Most plays spent on shrinking a day that broke a rule; 0: it isn't shrunk."`
	Write  bool          `help:"Only write the files of days; play none."`
	Why    string        `default:"generated day" help:"Reason that the bench program notes in its journal of plays."`
}

func (c *owndaysCommand) Run(ctx context.Context, out *output) error {
	if err := c.prepare(); err != nil {
		return inputError{err}
	}
	campaign := &scenariogen.Campaign{
		Bench:     &scenariogen.Bench{Program: c.Bench, Root: c.Root, Dir: c.Dir, Reason: c.Why},
		FirstSeed: c.Seed, DaysPerSite: c.Days, Jobs: c.Jobs, Length: c.Length.Seconds(),
		KeepBelow: c.Least, KeepDir: c.Kept, ShrinkBudget: c.Shrink, WriteOnly: c.Write,
		OnLine: func(line string) { fmt.Fprintln(out.stdout, line) },
	}
	results, err := campaign.Run(ctx, c.Sites)
	if !c.Write {
		printSummary(out, results)
	}
	if err != nil {
		return err
	}
	for _, result := range results {
		if result.Violated() || result.Err != nil {
			return errRuleBroken
		}
	}
	return nil
}

// prepare checks the arguments, makes paths absolute, because the bench program runs in the repository under test, and creates the
// folders.
func (c *owndaysCommand) prepare() error {
	root, err := filepath.Abs(c.Root)
	if err != nil {
		return err
	}
	c.Root = root
	if c.Bench, err = filepath.Abs(c.Bench); err != nil {
		return err
	}
	for i, site := range c.Sites {
		if c.Sites[i], err = filepath.Abs(site); err != nil {
			return err
		}
	}
	if c.Days < 1 {
		return errors.New("--days must be at least 1")
	}
	for _, dir := range []string{c.Dir, c.Kept} {
		if dir == "" {
			continue
		}
		if within(c.Root, dir) {
			return fmt.Errorf("%s lies in the repository under test; days are written outside it", dir)
		}
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
	}
	return nil
}

// within reports whether path is folder or lies in it.
func within(folder, path string) bool {
	relative, err := filepath.Rel(folder, path)
	return err == nil && relative != ".." && !strings.HasPrefix(relative, ".."+string(filepath.Separator))
}

// printSummary prints each day that broke a rule with its shortest form, and how many days were played.
func printSummary(out *output, results []*scenariogen.Result) {
	broken, failed, sum := 0, 0, 0.0
	for _, result := range results {
		switch {
		case result.Err != nil:
			failed++
			continue
		case result.Violated():
			broken++
			fmt.Fprintf(out.stdout, "broken: %s seed %d: %s; shortest day: %s\n", result.Site, result.Seed, strings.Join(result.Report.ViolatedRules(), " "), result.Shrunk)
		}
		sum += result.Report.Score
	}
	mean := 0.0
	if completed := len(results) - failed; completed > 0 {
		mean = sum / float64(completed)
	}
	fmt.Fprintf(out.stdout, "%d days played, %d with a broken rule, %d not played to the end; mean worth %.3f\n", len(results), broken, failed, mean)
}
