package main

// This file owns the command that looks for the worst day.

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"otterseam/sim/batch"
	"otterseam/sim/search"
)

type searchCmd struct {
	choose
	Decider string  `default:"module" help:"Who decides."`
	Tries   int     `default:"32" help:"Days drawn."`
	Rounds  int     `default:"3" help:"Rounds of drawing near the worst."`
	Part    float64 `default:"0.8" help:"Part of the loss that a smaller day must keep."`
	Out     string  `help:"Write the day that was found to this file." placeholder:"FILE.toml"`
}

func (c *searchCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	if err := decider(c.Decider); err != nil {
		return err
	}
	if err := batch.CheckWritable(c.Out); err != nil {
		return badInput{fmt.Errorf("no day could be written: %w", err)}
	}
	if len(d.Spans()) == 0 && len(d.Troubles) == 0 {
		return badInput{fmt.Errorf("%s has neither ranges nor troubles: there is nothing to look through", d.Name)}
	}
	if c.Tries < 1 || c.Part <= 0 || c.Part > 1 {
		return badInput{errors.New("--tries is at least 1, and --part over 0 and at most 1")}
	}
	found, err := search.Worst(ctx, d, search.Options{
		Decider: c.Decider, Samples: c.Tries, Rounds: c.Rounds, Seed: c.Seed,
		Workers: c.Workers, KeepLoss: c.Part, Progress: func(t string) { fmt.Fprintln(s.errs, t) },
	})
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := batch.WriteFile(c.Out, []byte(found.Day.Text())); err != nil {
			return err
		}
	}
	r, _, err := batch.RunOne(batch.Plan{Day: found.Day, Decider: c.Decider, Seed: found.Seed})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "worst: seed %d, score %.3f; taken away without losing it: %s\n", found.Seed, found.Score, strings.Join(found.Steps, "; "))
	if err := c.tell(s, found.Day.Name, []*batch.Run{r}); err != nil {
		return err
	}
	return judge([]*batch.Run{r})
}
