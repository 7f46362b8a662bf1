package main

import (
	"context"
	"fmt"
	"maps"
	"strings"

	"otterseam/sim/batch"
)

type sweepCommand struct {
	dayArguments
	Over    []string `required:"" sep:"none" help:"A key and its values, as in counter.capacity=500/s,1000/s; several make a grid." placeholder:"KEY=V1,V2"`
	Seeds   int      `default:"3" help:"Number of seeds for each combination."`
	Decider []string `default:"module" help:"Policies that decide (names as for run), run side by side."`
}

func (c *sweepCommand) Run(ctx context.Context, out *output) error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	sets, err := grid(c.Over)
	if err != nil {
		return err
	}
	var plans []batch.Plan
	for _, name := range c.Decider {
		if err := checkPolicyName(name); err != nil {
			return err
		}
		for _, set := range sets {
			variant := day.Clone()
			if err := applyOverrides(variant, set); err != nil {
				return err
			}
			plans = append(plans, c.plans(variant, name, set, c.Seeds)...)
		}
	}
	runs, err := batch.RunAll(ctx, plans, c.Workers, out.progress("days", len(plans)))
	if err != nil {
		return err
	}
	if err := c.writeResults(out, day.Name+" over "+strings.Join(c.Over, ", "), runs); err != nil {
		return err
	}
	return checkRules(runs)
}

// grid returns all combinations of the values of keys. Each key is given with its values as KEY=V1,V2.
func grid(over []string) ([]map[string]string, error) {
	sets := []map[string]string{{}}
	for _, keyAndValues := range over {
		key, values, ok := strings.Cut(keyAndValues, "=")
		if !ok || values == "" {
			return nil, inputError{fmt.Errorf("--over %s: want KEY=V1,V2", keyAndValues)}
		}
		var next []map[string]string
		for _, set := range sets {
			for _, value := range strings.Split(values, ",") {
				extended := maps.Clone(set)
				extended[key] = value
				next = append(next, extended)
			}
		}
		sets = next
	}
	return sets, nil
}
