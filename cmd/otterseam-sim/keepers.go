package main

// This file owns the command that plays keepers on a simulated network.

import (
	"context"
	"fmt"

	"otterseam/sim/quotastoresim"
)

type keepersCmd struct {
	Seed   uint64  `default:"1" help:"First seed."`
	Seeds  int     `default:"100" help:"How many, on all cores."`
	Length float64 `default:"12" help:"Seconds of faults in each."`
	First  bool    `help:"Stop at the first seed with which something was broken."`
	Trace  bool    `help:"Say what the keepers of one seed log."`
}

func (c *keepersCmd) Run(ctx context.Context, s *streams) error {
	if c.Seeds < 1 || c.Length < 4 || c.Length > 600 {
		return badInput{fmt.Errorf("one seed at least and 4 to 600 seconds are wanted")}
	}
	var sum *quotastoresim.Summary
	if c.Trace {
		o := quotastoresim.OptionsForSeed(c.Seed, c.Length)
		o.OnLogLine = func(at float64, keeper int, line string) {
			fmt.Fprintf(s.out, "%8.3f s  keeper %d: %s\n", at, keeper, line)
		}
		sum = &quotastoresim.Summary{}
		sum.Add(quotastoresim.RunSeed(c.Seed, o))
	} else {
		sum = quotastoresim.RunSeeds(ctx, c.Seed, c.Seeds, c.Length, func(v *quotastoresim.Verdict) bool { return c.First && !v.OK() })
	}
	for _, v := range sum.Failed {
		fmt.Fprintln(s.out, v)
	}
	fmt.Fprintf(s.out, "%d seeds: %d asked for and answered, %d refused, %d unknown; %d faults, %d machines lost with their disks; %d histories undecided\n",
		sum.Seeds, sum.Answered, sum.Rejected, sum.Unknown, sum.Faults, sum.MachinesLost, sum.Undecided)
	fmt.Fprintf(s.out, "promised and lost: %d; put back twice: %d; second effects: %d; not whole at the end: %d\n", sum.Lost, sum.DoubleCounted, sum.DuplicateEffects, sum.NotRecovered)
	if !sum.OK() {
		return errBroken
	}
	return nil
}
