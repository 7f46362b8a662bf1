package main

// This file owns the command that plays a day with several deciders.

import (
	"context"
	"fmt"
	"strings"

	"otterseam/sim/batch"
	"otterseam/sim/report"
)

type compareCmd struct {
	choose
	Decider string   `default:"module" help:"The first; differences are from it."`
	Against []string `required:"" help:"The others: names as for run, or the path of an earlier build's wirehost." placeholder:"NAME|PATH"`
	Seeds   int      `default:"4" help:"How many seeds."`
}

func (c *compareCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	var plans []batch.Plan
	for _, n := range c.deciders() {
		if err := decider(n); err != nil {
			return err
		}
		plans = append(plans, c.seeds(d, n, c.Set, c.Seeds)...)
	}
	rs, err := batch.RunAll(ctx, plans, c.Workers, s.progress("days", len(plans)))
	if err != nil {
		return err
	}
	if err := c.tell(s, d.Name, rs); err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintln(s.out)
		if err := report.Differences(s.out, rs); err != nil {
			return err
		}
	}
	return judge(rs)
}

// deciders are the first and those it is compared with; a path is that of an earlier build's wirehost.
func (c *compareCmd) deciders() []string {
	names := []string{c.Decider}
	for _, name := range c.Against {
		if strings.ContainsAny(name, "/.") && !strings.HasPrefix(name, "wire:") {
			name = "wire:" + name
		}
		names = append(names, name)
	}
	return names
}
