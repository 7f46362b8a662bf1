package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"otterseam/sim/batch"
	"otterseam/sim/scenario"
	"otterseam/sim/search"
)

type searchCommand struct {
	dayArguments
	Decider string  `default:"module" help:"Policy that decides (names as for run)."`
	Tries   int     `default:"32" help:"Number of days drawn from the ranges."`
	Rounds  int     `default:"3" help:"Number of rounds of days drawn near the worst so far."`
	Part    float64 `default:"0.8" help:"Part of the loss that a day must keep while it is shrunk, over 0 and at most 1."`
	Out     string  `help:"Write the day that was found to this file." placeholder:"FILE.toml"`
}

func (c *searchCommand) Run(ctx context.Context, out *output) error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	if err := c.check(day); err != nil {
		return err
	}
	found, err := search.Worst(ctx, day, search.Options{
		Decider: c.Decider, Samples: c.Tries, Rounds: c.Rounds, Seed: c.Seed,
		Workers: c.Workers, KeepLoss: c.Part, Progress: func(text string) { fmt.Fprintln(out.stderr, text) },
	})
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := batch.WriteFile(c.Out, []byte(found.Day.Text())); err != nil {
			return err
		}
	}
	run, _, err := batch.RunOne(batch.Plan{Day: found.Day, Decider: c.Decider, Seed: found.Seed})
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "worst: seed %d, score %.3f; removed while keeping the loss: %s\n", found.Seed, found.Score, strings.Join(found.Steps, "; "))
	if err := c.writeResults(out, found.Day.Name, []*batch.Run{run}); err != nil {
		return err
	}
	return checkRules([]*batch.Run{run})
}

// check returns an error if the arguments are invalid for a day.
func (c *searchCommand) check(day *scenario.Scenario) error {
	if err := checkPolicyName(c.Decider); err != nil {
		return err
	}
	if err := batch.CheckWritable(c.Out); err != nil {
		return inputError{fmt.Errorf("cannot write the day: %w", err)}
	}
	if len(day.RangePaths()) == 0 && len(day.Faults) == 0 {
		return inputError{fmt.Errorf("%s has neither ranges nor troubles: there is nothing to search", day.Name)}
	}
	if c.Tries < 1 || c.Part <= 0 || c.Part > 1 {
		return inputError{errors.New("--tries must be at least 1, and --part over 0 and at most 1")}
	}
	return nil
}
