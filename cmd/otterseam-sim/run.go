package main

// This file owns the command that plays one day.

import (
	"context"
	"fmt"
	"strings"

	"otterseam/sim/batch"
	"otterseam/sim/simulation"
)

type runCmd struct {
	choose
	Decider string `default:"module" help:"Who decides: module, random, share, design, omniscient or wire:PATH."`
	Ref     string `help:"Tell the story of this invocation as well." placeholder:"ID"`
}

func (c *runCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	if err := decider(c.Decider); err != nil {
		return err
	}
	plan := batch.Plan{Day: d, Decider: c.Decider, Seed: c.Seed, Overrides: c.Set}
	tick := s.progress("second", int(d.Length.Hi))
	r, w, err := batch.RunOne(plan, simulation.WithStory(c.Ref), simulation.WithProgress(func(at float64) { tick(int(at)) }))
	if err != nil {
		return err
	}
	if err := c.tell(s, d.Name, []*batch.Run{r}); err != nil {
		return err
	}
	for _, l := range w.StoryLines() {
		fmt.Fprintln(s.errs, l)
	}
	if err := tellFirstBreak(s, plan, r); err != nil {
		return err
	}
	return judge([]*batch.Run{r})
}

// tellFirstBreak plays the day again for the story of the first invocation with which a rule was broken, if there is one.
func tellFirstBreak(s *streams, plan batch.Plan, r *batch.Run) error {
	for _, b := range r.Violations {
		if b.Ref == "" {
			continue
		}
		story, err := batch.Story(plan, b.Ref)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.errs, "%s\n%s\n", b, strings.Join(story, "\n"))
		return nil
	}
	return nil
}
