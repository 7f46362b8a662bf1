package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"otterseam/harness/counterload"
)

type addsCommand struct {
	Doors  []string      `arg:"" help:"Addresses of counters, or of the client listeners of the quota store's processes."`
	Rate   float64       `default:"1000" help:"Calls a second over all connections."`
	Length time.Duration `default:"5s" help:"How long the load lasts."`
	Conns  int           `default:"4" help:"Connections to each address."`
	Names  int           `default:"100000" help:"Number of names that are added to."`
	Third  bool          `help:"Send a third of all calls to one name."`
	Prefix string        `help:"Prefix of the names; without one they are numbers."`
	Check  bool          `help:"At the end compare each name's total with what was answered, and exit with 1 if something is missing or was counted too often. Only for names that nobody else adds to, within the minute that they live."`
}

func (c *addsCommand) Run(ctx context.Context, out *output) error {
	if c.Rate <= 0 || math.IsNaN(c.Rate) || c.Conns < 1 || c.Names < 1 || c.Length <= 0 {
		return inputError{errors.New("rate, length, connections and names must be greater than 0")}
	}
	load := counterload.Load{Addresses: c.Doors, Rate: c.Rate, Duration: c.Length, Conns: c.Conns, Keys: c.Names, HotKey: c.Third, Prefix: c.Prefix}
	totals := load.Run(ctx)
	fmt.Fprintf(out.stdout, "%.0f a second: %d answered (%.0f a second), %d rejected, %d without an answer; p50 %.2f ms, p99 %.2f ms, max %.1f ms\n",
		c.Rate, totals.Answered, totals.Rate, totals.Rejected, totals.Broken, 1e3*totals.P50, 1e3*totals.P99, 1e3*totals.Max)
	if !c.Check {
		return nil
	}
	lost, countedTwice, err := load.Check(totals)
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "%d names: answered and missing: %d, counted too often: %d\n", len(totals.Acknowledged), lost, countedTwice)
	if lost+countedTwice > 0 {
		return errRuleBroken
	}
	return nil
}
