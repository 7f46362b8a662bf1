package main

import (
	"context"
	"fmt"
	"os"

	"otterseam/harness/sockets"
	"otterseam/sim/batch"
)

type socketsCommand struct {
	dayArguments
	Gateway string  `default:"bin/otterseam" help:"Program of the api gateway."`
	Memory  float64 `default:"64" help:"Memory limit in the configuration of the api gateways, in MB."`
	Dir     string  `help:"Folder for configurations and logs; without it they are deleted at the end." placeholder:"DIR"`
	Model   bool    `default:"true" negatable:"" help:"Also simulate the same day."`
}

func (c *socketsCommand) Run(ctx context.Context, out *output) error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	if err := sockets.Check(day.Draw(c.Seed)); err != nil {
		return inputError{err}
	}
	if _, err := os.Stat(c.Gateway); err != nil {
		return inputError{fmt.Errorf("api gateway program: %w (run make build to build it)", err)}
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "otterseam-sim-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	results, simulated, err := sockets.Play(ctx, day, c.Seed, sockets.Options{
		Gateway: c.Gateway, Dir: dir, MemoryMB: c.Memory,
		Report: func(text string) { fmt.Fprintln(out.stderr, text) },
	})
	if err != nil {
		return err
	}
	runs := []*batch.Run{batch.NewRun(batch.Plan{Day: day, Decider: "sockets", Seed: c.Seed, Overrides: c.Set}, simulated, results)}
	if c.Model {
		run, _, err := batch.RunOne(batch.Plan{Day: day, Decider: "module", Seed: c.Seed, Overrides: c.Set})
		if err != nil {
			return err
		}
		runs = append(runs, run)
	}
	if err := c.writeResults(out, day.Name+" on sockets", runs); err != nil {
		return err
	}
	return checkRules(runs)
}
