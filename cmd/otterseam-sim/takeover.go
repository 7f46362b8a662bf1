package main

import (
	"context"
	"fmt"
	"os"

	"otterseam/harness/fleet"
)

type takeoverCommand struct {
	Keeper string  `default:"bin/otterseam-quotastore" help:"Program of the quota store."`
	Copies int     `default:"3" help:"Number of processes, 3 to 9; each holds a replica of all groups."`
	Groups int     `default:"16" help:"Number of replica groups, 1 to 256."`
	Times  int     `default:"30" help:"How often the process that leads most groups is killed."`
	Names  int     `help:"Instead: fill so many names, lose a machine with its disk and measure until it holds its replicas again."`
	Rate   float64 `default:"2000" help:"With --names: adds a second meanwhile."`
	Disk   bool    `default:"true" negatable:"" help:"Keep state on disk."`
}

func (c *takeoverCommand) Run(ctx context.Context, out *output) error {
	if c.Copies < 3 || c.Copies > 9 || c.Groups < 1 || c.Groups > 256 || c.Times < 1 {
		return inputError{fmt.Errorf("3 to 9 copies, 1 to 256 groups and one time at least are wanted")}
	}
	if _, err := os.Stat(c.Keeper); err != nil {
		return inputError{fmt.Errorf("the keepers' program: %w (make build makes it)", err)}
	}
	dir, err := os.MkdirTemp("", "otterseam-sim-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o := fleet.Options{Keeper: c.Keeper, Dir: dir, Tell: func(t string) { fmt.Fprintln(out.stderr, t) }}
	if c.Names > 0 {
		took, calm, meanwhile, err := fleet.Recopied(ctx, o, c.Copies, c.Groups, c.Names, c.Disk, c.Rate)
		if err != nil {
			return err
		}
		fmt.Fprintf(out.stdout, "%d names: held again after %.2f s; adds before p50 %.2f, p99 %.2f ms; meanwhile p50 %.2f, p99 %.2f ms, %d turned away, %d without an answer\n",
			c.Names, took, 1e3*calm.P50, 1e3*calm.P99, 1e3*meanwhile.P50, 1e3*meanwhile.P99, meanwhile.Rejected, meanwhile.Broken)
		return nil
	}
	took, failed, err := fleet.Takeovers(ctx, o, c.Copies, c.Groups, c.Times, c.Disk)
	if err != nil {
		return err
	}
	at := func(q float64) float64 { return took[min(len(took)-1, int(q*float64(len(took))))] }
	fmt.Fprintf(out.stdout, "%d kills, %d groups without a leader: p50 %.3f s, p90 %.3f s, p99 %.3f s, most %.3f s; %d calls turned away or cut off meanwhile\n",
		c.Times, len(took), at(0.5), at(0.9), at(0.99), at(1), failed)
	return nil
}
