package main

// This file owns the command that generates days of the serving tier, plays them and shrinks those that broke a rule.

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

type owndaysCmd struct {
	Sites  []string      `arg:"" type:"existingfile" help:"Files of the sites whose days are made."`
	Bench  string        `required:"" type:"existingfile" help:"The program that plays days." placeholder:"PROGRAM"`
	Dir    string        `required:"" type:"path" help:"Folder for the files of days, outside the repository." placeholder:"DIR"`
	Kept   string        `type:"path" help:"Folder for the days that fell short." placeholder:"DIR"`
	Root   string        `default:"." type:"existingdir" help:"The repository under test, where the program that plays is called."`
	Seed   uint64        `default:"1" help:"First seed."`
	Days   int           `default:"10" help:"Days of each site, from the first seed on."`
	Jobs   int           `default:"1" help:"Days played at once."`
	Length time.Duration `help:"Length of a day; without it, the site's." placeholder:"24s"`
	Least  float64       `default:"0.6" help:"Days worth less are kept too."`
	Shrink int           `default:"40" help:"Plays spent on shrinking a day that broke a rule; 0: it isn't shrunk."`
	Write  bool          `help:"Write the files of days and play none."`
	Why    string        `default:"generated day" help:"What the journal of plays says of them."`
}

func (c *owndaysCmd) Run(ctx context.Context, s *streams) error {
	if err := c.prepare(); err != nil {
		return badInput{err}
	}
	campaign := &scenariogen.Campaign{
		Bench:     &scenariogen.Bench{Program: c.Bench, Root: c.Root, Dir: c.Dir, Reason: c.Why},
		FirstSeed: c.Seed, DaysPerSite: c.Days, Jobs: c.Jobs, Length: c.Length.Seconds(),
		KeepBelow: c.Least, KeepDir: c.Kept, ShrinkBudget: c.Shrink, WriteOnly: c.Write,
		OnLine: func(line string) { fmt.Fprintln(s.out, line) },
	}
	results, err := campaign.Run(ctx, c.Sites)
	if !c.Write {
		c.summary(s, results)
	}
	if err != nil {
		return err
	}
	for _, result := range results {
		if result.Violated() || result.Err != nil {
			return errBroken
		}
	}
	return nil
}

// prepare gives paths the form that the program that plays needs, seen from the repository under test, and makes the folders.
func (c *owndaysCmd) prepare() error {
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
		return errors.New("at least one day is wanted")
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

// within says whether a path lies in a folder.
func within(folder, path string) bool {
	relative, err := filepath.Rel(folder, path)
	return err == nil && relative != ".." && !strings.HasPrefix(relative, ".."+string(filepath.Separator))
}

// summary tells how many days were played, and each broken one with its shortest form.
func (c *owndaysCmd) summary(s *streams, results []*scenariogen.Result) {
	broken, failed, sum := 0, 0, 0.0
	for _, result := range results {
		switch {
		case result.Err != nil:
			failed++
			continue
		case result.Violated():
			broken++
			fmt.Fprintf(s.out, "broken: %s seed %d: %s; shortest day: %s\n", result.Site, result.Seed, strings.Join(result.Report.ViolatedRules(), " "), result.Shrunk)
		}
		sum += result.Report.Score
	}
	mean := 0.0
	if judged := len(results) - failed; judged > 0 {
		mean = sum / float64(judged)
	}
	fmt.Fprintf(s.out, "%d days played, %d with a broken rule, %d not played to the end; mean worth %.3f\n", len(results), broken, failed, mean)
}
