package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"otterseam/sim/batch"
	"otterseam/sim/report"
	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

// dayArguments holds the arguments shared by the subcommands that run a day. The flags take their names from the fields.
type dayArguments struct {
	Day     string            `arg:"" help:"Name of a day (see otterseam-sim days) or path of its file."`
	Set     map[string]string `help:"Override keys of the day, as in counter.capacity=900/s; may be repeated." placeholder:"KEY=VALUE"`
	Seed    uint64            `default:"1" help:"First seed of the random numbers."`
	Workers int               `help:"How many days run at once; 0: one a core."`
	JSON    bool              `name:"json" help:"Print the results as JSON."`
	Keep    string            `help:"Also write the results to this file, for the report subcommand." placeholder:"FILE"`
	Report  string            `help:"Also write a page with charts to this file." placeholder:"FILE.html"`
}

// loadDay loads the day and applies the overrides. It also fails if a result file could not be written, before anything is run.
func (c *dayArguments) loadDay() (*scenario.Scenario, error) {
	day, err := scenarios.Load(c.Day)
	if err != nil {
		return nil, inputError{err}
	}
	if err := applyOverrides(day, c.Set); err != nil {
		return nil, err
	}
	for _, file := range []string{c.Keep, c.Report} {
		if err := batch.CheckWritable(file); err != nil {
			return nil, inputError{fmt.Errorf("cannot write results: %w", err)}
		}
	}
	return day, nil
}

// applyOverrides sets overridden keys of a day.
func applyOverrides(day *scenario.Scenario, overrides map[string]string) error {
	for _, key := range slices.Sorted(maps.Keys(overrides)) { // sorted, so that the same error is reported each time
		if err := day.Set(key, overrides[key]); err != nil {
			return inputError{err}
		}
	}
	return nil
}

// plans returns the plans of a day's runs with a number of consecutive seeds, at least one.
func (c *dayArguments) plans(day *scenario.Scenario, policyName string, overrides map[string]string, seeds int) []batch.Plan {
	var plans []batch.Plan
	for i := range max(1, seeds) {
		plans = append(plans, batch.Plan{Day: day, Decider: policyName, Seed: c.Seed + uint64(i), Overrides: overrides})
	}
	return plans
}

// writeResults writes results in the formats that the flags select.
func (c *dayArguments) writeResults(out *output, title string, runs []*batch.Run) error {
	if c.Keep != "" {
		if err := batch.Save(c.Keep, runs); err != nil {
			return err
		}
	}
	if c.Report != "" {
		page, err := report.HTML(title, runs)
		if err != nil {
			return err
		}
		if err := batch.WriteFile(c.Report, page); err != nil {
			return err
		}
	}
	if c.JSON {
		return out.json(runs)
	}
	return report.Text(out.stdout, runs)
}

// checkRules returns errRuleBroken if a run broke a rule.
func checkRules(runs []*batch.Run) error {
	for _, run := range runs {
		if run.ViolationCount > 0 {
			return errRuleBroken
		}
	}
	return nil
}

// programPrefix marks a policy name as the path of a program that is used instead of a policy of this build.
const programPrefix = "wire:"

// checkPolicyName returns an error if there is neither a policy nor a program of that name.
func checkPolicyName(name string) error {
	if path, isProgram := strings.CutPrefix(name, programPrefix); isProgram {
		if _, err := os.Stat(path); err != nil {
			return inputError{err}
		}
		return nil
	}
	if _, err := batch.NewPolicySource(name); err != nil {
		return inputError{err}
	}
	return nil
}
