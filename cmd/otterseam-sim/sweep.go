package main

// This file owns the command that plays a day over values of its keys.

import (
	"context"
	"fmt"
	"maps"
	"strings"

	"otterseam/sim/batch"
)

type sweepCmd struct {
	choose
	Over    []string `required:"" sep:"none" help:"A key and its values, as in counter.capacity=500/s,1000/s. Several make a grid." placeholder:"KEY=V1,V2"`
	Seeds   int      `default:"3" help:"How many seeds."`
	Decider []string `default:"module" help:"Who decides; several are played side by side."`
}

func (c *sweepCmd) Run(ctx context.Context, s *streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	sets, err := grid(c.Over)
	if err != nil {
		return err
	}
	var plans []batch.Plan
	for _, n := range c.Decider {
		if err := decider(n); err != nil {
			return err
		}
		for _, set := range sets {
			x := d.Clone()
			if err := change(x, set); err != nil {
				return err
			}
			plans = append(plans, c.seeds(x, n, set, c.Seeds)...)
		}
	}
	rs, err := batch.RunAll(ctx, plans, c.Workers, s.progress("days", len(plans)))
	if err != nil {
		return err
	}
	if err := c.tell(s, d.Name+" over "+strings.Join(c.Over, ", "), rs); err != nil {
		return err
	}
	return judge(rs)
}

// grid gives each combination of the values of keys, each key as in KEY=V1,V2.
func grid(over []string) ([]map[string]string, error) {
	sets := []map[string]string{{}}
	for _, o := range over {
		key, values, ok := strings.Cut(o, "=")
		if !ok || values == "" {
			return nil, badInput{fmt.Errorf("--over %s: KEY=V1,V2 is wanted", o)}
		}
		var next []map[string]string
		for _, set := range sets {
			for _, value := range strings.Split(values, ",") {
				one := maps.Clone(set)
				one[key] = value
				next = append(next, one)
			}
		}
		sets = next
	}
	return sets, nil
}
