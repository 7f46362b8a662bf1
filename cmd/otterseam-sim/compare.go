package main

import (
	"context"
	"fmt"
	"strings"

	"otterseam/sim/batch"
	"otterseam/sim/report"
)

type compareCommand struct {
	dayArguments
	Decider string   `default:"module" help:"The first policy (names as for run); differences are given from its results."`
	Against []string `required:"" help:"The other policies: names as for run, or the path of an earlier build's wirehost." placeholder:"NAME|PATH"`
	Seeds   int      `default:"4" help:"Number of seeds that each policy runs with."`
}

func (c *compareCommand) Run(ctx context.Context, out *output) error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	var plans []batch.Plan
	for _, name := range c.policyNames() {
		if err := checkPolicyName(name); err != nil {
			return err
		}
		plans = append(plans, c.plans(day, name, c.Set, c.Seeds)...)
	}
	runs, err := batch.RunAll(ctx, plans, c.Workers, out.progress("days", len(plans)))
	if err != nil {
		return err
	}
	if err := c.writeResults(out, day.Name, runs); err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintln(out.stdout)
		if err := report.Differences(out.stdout, runs); err != nil {
			return err
		}
	}
	return checkRules(runs)
}

// policyNames returns the first policy and those it is compared with. A path is taken as the wirehost program of an earlier build.
func (c *compareCommand) policyNames() []string {
	names := []string{c.Decider}
	for _, name := range c.Against {
		if strings.ContainsAny(name, "/.") && !strings.HasPrefix(name, programPrefix) {
			name = programPrefix + name
		}
		names = append(names, name)
	}
	return names
}
