package main

import (
	"context"
	"fmt"

	"otterseam/harness/sockets"
)

type standinCommand struct {
	Day    string            `arg:"" help:"Name of a day or path of its file."`
	Set    map[string]string `help:"Override keys of the day; may be repeated." placeholder:"KEY=VALUE"`
	Seed   uint64            `default:"1" help:"Seed of the day's random numbers."`
	Dir    string            `required:"" help:"Folder for the api gateways' configurations." placeholder:"DIR"`
	Listen []string          `help:"Addresses on which the api gateways listen, in their order; those that are not named get free ones." placeholder:"ADDR"`
}

func (c *standinCommand) Run(ctx context.Context, out *output) error {
	day, err := (&dayArguments{Day: c.Day, Set: c.Set}).loadDay()
	if err != nil {
		return err
	}
	if err := sockets.Check(day.Draw(c.Seed)); err != nil {
		return inputError{err}
	}
	results, err := sockets.RunStandIns(ctx, day, c.Seed, c.Dir, c.Listen, func(paths []string) {
		fmt.Fprintf(out.stdout, "hosts, counter and discovery of %s listen on loopback for %.0f s; start each api gateway with\n", day.Name, day.Length.Float())
		for _, path := range paths {
			fmt.Fprintf(out.stdout, "  EDGE_CONFIG=%s bin/otterseam\n", path)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "hosts received %.0f deliveries and %.0f new connections, the counter %.0f calls; value sent on %.0f, beyond quotas %.0f; rules broken %d\n",
		results.Attempts, results.Dials, results.CounterCalls, results.Total.FirstSent, results.Total.BeyondQuota, results.ViolationCount)
	for _, violation := range results.Violations {
		fmt.Fprintln(out.stdout, violation)
	}
	if results.ViolationCount > 0 {
		return errRuleBroken
	}
	return nil
}
