package main

import (
	"context"
	"errors"
	"fmt"

	"otterseam/sim/quotastoresim"
)

type keepersCommand struct {
	Seed   uint64  `default:"1" help:"First seed."`
	Seeds  int     `default:"100" help:"Number of seeds, run on all cores."`
	Length float64 `default:"12" help:"Seconds of virtual time with faults, in each run: 4 to 600."`
	First  bool    `help:"Stop at the first seed with which a guarantee was broken."`
	Trace  bool    `help:"Run one seed and print what its replicas log."`
}

func (c *keepersCommand) Run(ctx context.Context, out *output) error {
	if c.Seeds < 1 || c.Length < 4 || c.Length > 600 {
		return inputError{errors.New("--seeds must be at least 1, and --length 4 to 600 seconds")}
	}
	var summary *quotastoresim.Summary
	if c.Trace {
		options := quotastoresim.OptionsForSeed(c.Seed, c.Length)
		options.OnLogLine = func(at float64, keeper int, line string) {
			fmt.Fprintf(out.stdout, "%8.3f s  keeper %d: %s\n", at, keeper, line)
		}
		summary = &quotastoresim.Summary{}
		summary.Add(quotastoresim.RunSeed(c.Seed, options))
	} else {
		summary = quotastoresim.RunSeeds(ctx, c.Seed, c.Seeds, c.Length, func(v *quotastoresim.Verdict) bool { return c.First && !v.OK() })
	}
	for _, verdict := range summary.Failed {
		fmt.Fprintln(out.stdout, verdict)
	}
	fmt.Fprintf(out.stdout, "%d seeds: %d asked for and answered, %d refused, %d unknown; %d faults, %d machines lost with their disks; %d histories undecided\n",
		summary.Seeds, summary.Answered, summary.Rejected, summary.Unknown, summary.Faults, summary.MachinesLost, summary.Undecided)
	fmt.Fprintf(out.stdout, "promised and lost: %d; put back twice: %d; second effects: %d; not whole at the end: %d\n",
		summary.Lost, summary.DoubleCounted, summary.DuplicateEffects, summary.NotRecovered)
	if !summary.OK() {
		return errRuleBroken
	}
	return nil
}
