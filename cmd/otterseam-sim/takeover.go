package main

import (
	"context"
	"errors"
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
		return inputError{errors.New("--copies must be 3 to 9, --groups 1 to 256 and --times at least 1")}
	}
	if _, err := os.Stat(c.Keeper); err != nil {
		return inputError{fmt.Errorf("quota store program: %w (run make build to build it)", err)}
	}
	dir, err := os.MkdirTemp("", "otterseam-sim-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	options := fleet.Options{QuotaStore: c.Keeper, Dir: dir, Report: func(text string) { fmt.Fprintln(out.stderr, text) }}
	if c.Names > 0 {
		return c.measureRebuild(ctx, out, options)
	}
	return c.measureTakeovers(ctx, out, options)
}

// measureRebuild prints the time until a machine that lost its disk holds its replicas again.
func (c *takeoverCommand) measureRebuild(ctx context.Context, out *output, options fleet.Options) error {
	seconds, before, meanwhile, err := fleet.MeasureRejoin(ctx, options, c.Copies, c.Groups, c.Names, c.Disk, c.Rate)
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "%d names: held again after %.2f s; adds before p50 %.2f, p99 %.2f ms; meanwhile p50 %.2f, p99 %.2f ms, %d rejected, %d without an answer\n",
		c.Names, seconds, 1e3*before.P50, 1e3*before.P99, 1e3*meanwhile.P50, 1e3*meanwhile.P99, meanwhile.Rejected, meanwhile.Broken)
	return nil
}

// measureTakeovers prints quantiles of the time for which groups have no leader after theirs was killed.
func (c *takeoverCommand) measureTakeovers(ctx context.Context, out *output, options fleet.Options) error {
	seconds, failed, err := fleet.MeasureTakeovers(ctx, options, c.Copies, c.Groups, c.Times, c.Disk)
	if err != nil {
		return err
	}
	quantile := func(q float64) float64 { return seconds[min(len(seconds)-1, int(q*float64(len(seconds))))] }
	fmt.Fprintf(out.stdout, "%d kills, %d groups without a leader: p50 %.3f s, p90 %.3f s, p99 %.3f s, max %.3f s; %d calls rejected or cut off meanwhile\n",
		c.Times, len(seconds), quantile(0.5), quantile(0.9), quantile(0.99), quantile(1), failed)
	return nil
}
