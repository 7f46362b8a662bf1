package main

// This file owns what all commands that play a day take, and how their results are told.

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"otterseam/sim/batch"
	"otterseam/sim/report"
	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

// choose is what all commands that play a day take.
type choose struct {
	Day     string            `arg:"" help:"A day's name (see otterseam-sim days) or file."`
	Set     map[string]string `help:"Change keys of the day, as in counter.capacity=900/s." placeholder:"KEY=VALUE"`
	Seed    uint64            `default:"1" help:"First seed."`
	Workers int               `help:"Days played at once; 0: one a core."`
	JSON    bool              `name:"json" help:"Write the figures as JSON."`
	Keep    string            `help:"Keep the results in this file, for report." placeholder:"FILE"`
	Report  string            `help:"Write a page with pictures to this file." placeholder:"FILE.html"`
}

func (c *choose) load() (*scenario.Day, error) {
	d, err := scenarios.Load(c.Day)
	if err != nil {
		return nil, badInput{err}
	}
	if err := change(d, c.Set); err != nil {
		return nil, err
	}
	for _, f := range []string{c.Keep, c.Report} {
		if err := batch.CheckWritable(f); err != nil {
			return nil, badInput{fmt.Errorf("no result could be written: %w", err)}
		}
	}
	return d, nil
}

func change(d *scenario.Day, set map[string]string) error {
	for _, key := range slices.Sorted(maps.Keys(set)) { // faults come in the same order each time
		if err := d.Set(key, set[key]); err != nil {
			return badInput{err}
		}
	}
	return nil
}

// seeds plans a day for so many seeds, from the first on; at least one.
func (c *choose) seeds(d *scenario.Day, decider string, over map[string]string, n int) (plans []batch.Plan) {
	for i := range max(1, n) {
		plans = append(plans, batch.Plan{Day: d, Decider: decider, Seed: c.Seed + uint64(i), Overrides: over})
	}
	return plans
}

// tell writes results in the forms that were asked for.
func (c *choose) tell(s *streams, title string, rs []*batch.Run) error {
	if c.Keep != "" {
		if err := batch.Save(c.Keep, rs); err != nil {
			return err
		}
	}
	if c.Report != "" {
		b, err := report.HTML(title, rs)
		if err != nil {
			return err
		}
		if err := batch.WriteFile(c.Report, b); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := s.json(rs); err != nil {
			return err
		}
	} else {
		if err := report.Text(s.out, rs); err != nil {
			return err
		}
	}
	return nil
}

func judge(rs []*batch.Run) error {
	for _, r := range rs {
		if r.ViolationCount > 0 {
			return errBroken
		}
	}
	return nil
}

func decider(name string) error {
	if strings.HasPrefix(name, "wire:") {
		if _, err := os.Stat(strings.TrimPrefix(name, "wire:")); err != nil {
			return badInput{err}
		}
		return nil
	}
	if _, err := batch.NewPolicySource(name); err != nil {
		return badInput{err}
	}
	return nil
}
