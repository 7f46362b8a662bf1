package main

import (
	"fmt"
	"strings"

	"otterseam/sim/batch"
	"otterseam/sim/simulation"
)

type runCommand struct {
	dayArguments
	Decider string `default:"module" help:"Policy that decides: module (the product's own), members, damped, random, share, design, omniscient, or wire:PATH for a program that speaks the line protocol."`
	Ref     string `help:"Also print the events of this invocation." placeholder:"ID"`
}

func (c *runCommand) Run(out *output) error {
	day, err := c.loadDay()
	if err != nil {
		return err
	}
	if err := checkPolicyName(c.Decider); err != nil {
		return err
	}
	plan := batch.Plan{Day: day, Decider: c.Decider, Seed: c.Seed, Overrides: c.Set}
	showProgress := out.progress("second", int(day.Length.Hi))
	run, simulated, err := batch.RunOne(plan, simulation.WithInvocationTrace(c.Ref), simulation.WithProgress(func(at float64) { showProgress(int(at)) }))
	if err != nil {
		return err
	}
	if err := c.writeResults(out, day.Name, []*batch.Run{run}); err != nil {
		return err
	}
	for _, line := range simulated.TraceLines() {
		fmt.Fprintln(out.stderr, line)
	}
	if err := printFirstViolation(out, plan, run); err != nil {
		return err
	}
	return checkRules([]*batch.Run{run})
}

// printFirstViolation finds the first violation of a rule that concerns an invocation, if there is one, runs the day again and prints the
// events of that invocation.
func printFirstViolation(out *output, plan batch.Plan, run *batch.Run) error {
	for _, violation := range run.Violations {
		if violation.Ref == "" {
			continue
		}
		traceLines, err := batch.TraceInvocation(plan, violation.Ref)
		if err != nil {
			return err
		}
		fmt.Fprintf(out.stderr, "%s\n%s\n", violation, strings.Join(traceLines, "\n"))
		return nil
	}
	return nil
}
