package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"text/tabwriter"

	"otterseam/sim/batch"
	"otterseam/sim/outage"
)

type outageCommand struct {
	Days    []string          `arg:"" help:"Names of days or paths of their files, each with an outage of all hosts (a trouble of kind silent)."`
	Set     map[string]string `help:"Override keys of the days; may be repeated." placeholder:"KEY=VALUE"`
	Decider []string          `default:"module" help:"Policies that decide (names as for run); each makes a row."`
	Seed    uint64            `default:"1" help:"First seed of the random numbers."`
	Seeds   int               `default:"3" help:"Number of seeds for each row."`
	Workers int               `help:"How many days run at once; 0: one a core."`
	JSON    bool              `name:"json" help:"Print the results as JSON."`
}

func (c *outageCommand) Run(ctx context.Context, out *output) error {
	if c.Seeds < 1 {
		return inputError{errors.New("--seeds must be at least 1")}
	}
	plans, err := c.plans()
	if err != nil {
		return err
	}
	runs, err := batch.RunAll(ctx, plans, c.Workers, out.progress("day", len(plans)))
	if err != nil {
		return err
	}
	var measurements []outage.Measurement
	for _, run := range runs {
		measurement, err := outage.Measure(run)
		if err != nil {
			return inputError{err}
		}
		measurements = append(measurements, measurement)
	}
	if c.JSON {
		return out.json(measurements)
	}
	return c.printTable(out, measurements)
}

// plans returns the plans of the runs of each day with each policy and seed. The seeds of a day and policy are consecutive.
func (c *outageCommand) plans() ([]batch.Plan, error) {
	var plans []batch.Plan
	for _, name := range c.Days {
		arguments := dayArguments{Day: name, Set: c.Set, Seed: c.Seed}
		day, err := arguments.loadDay()
		if err != nil {
			return nil, err
		}
		for _, policyName := range c.Decider {
			if err := checkPolicyName(policyName); err != nil {
				return nil, err
			}
			plans = append(plans, arguments.plans(day, policyName, c.Set, c.Seeds)...)
		}
	}
	return plans, nil
}

// printTable prints a row for each day and policy, which summarizes the seeds.
func (c *outageCommand) printTable(out *output, measurements []outage.Measurement) error {
	table := tabwriter.NewWriter(out.stdout, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "day\tdecider\tseeds\tbefore/s\tin the silence\tdials\tamid\tback after, by seed\tleast then\trules broken\t")
	for row := range slices.Chunk(measurements, c.Seeds) {
		var recovery []int
		leastServed := math.Inf(1)
		violations := 0
		for _, m := range row {
			recovery = append(recovery, m.RecoverySeconds)
			leastServed = min(leastServed, m.LeastServed)
			violations += m.Violations
		}
		slices.Sort(recovery)
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%v s\t%.2f\t%d\t\n", row[0].Day, row[0].Decider, c.Seeds,
			rangeOf(row, func(m outage.Measurement) float64 { return m.AttemptsBefore }),
			rangeOf(row, func(m outage.Measurement) float64 { return m.Attempts }),
			rangeOf(row, func(m outage.Measurement) float64 { return m.Dials }),
			rangeOf(row, func(m outage.Measurement) float64 { return m.AttemptsAmid }), recovery, leastServed, violations)
	}
	return table.Flush()
}

// rangeOf returns a text with the lowest and the highest value of a figure.
func rangeOf(row []outage.Measurement, figure func(outage.Measurement) float64) string {
	lowest, highest := figure(row[0]), figure(row[0])
	for _, m := range row {
		lowest = min(lowest, figure(m))
		highest = max(highest, figure(m))
	}
	return fmt.Sprintf("%.0f to %.0f", lowest, highest)
}
