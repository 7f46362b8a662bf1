package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"otterseam/harness/fleet"
	"otterseam/sim/batch"
	"otterseam/sim/scenario"
)

type fleetCommand struct {
	Script  string            `arg:"" optional:"" help:"Name of a script or path of its file; without one, the scripts are listed."`
	Set     map[string]string `help:"Override keys of the script, as in fault[0].lasts=3s; may be repeated." placeholder:"KEY=VALUE"`
	Seed    uint64            `default:"1" help:"First seed."`
	Seeds   int               `default:"1" help:"Number of seeds, run one after another."`
	Gateway string            `default:"bin/otterseam" help:"Program of the api gateway."`
	Env     map[string]string `help:"Environment variables of the api gateways, as in EDGE_OPERATOR=deploy/x.json; may be repeated." placeholder:"NAME=VALUE"`
	Memory  float64           `default:"64" help:"Memory limit in the configuration of the api gateways, in MB."`
	Dir     string            `help:"Folder for configurations, data and logs; without it they are deleted at the end." placeholder:"DIR"`
	JSON    bool              `name:"json" help:"Print the results as JSON."`
	Report  string            `help:"Also write a page with a timeline of the last seed to this file." placeholder:"FILE.html"`
	Kinds   bool              `help:"Print the kinds of faults, events and promises as tables."`
}

func (c *fleetCommand) Run(ctx context.Context, out *output) error {
	switch {
	case c.Kinds:
		printKinds(out)
		return nil
	case c.Script == "":
		return listScripts(out)
	}
	script, err := c.loadScript()
	if err != nil {
		return err
	}
	broken := false
	for i := range max(1, c.Seeds) {
		result, err := c.runSeed(ctx, out, script, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		broken = broken || len(result.Broken) > 0
		if err := c.writeResults(out, script.Name, result); err != nil {
			return err
		}
	}
	if broken {
		return errRuleBroken
	}
	return nil
}

// printKinds prints the kinds of faults, events and promises as tables.
func printKinds(out *output) {
	for _, table := range []struct {
		head string
		list []scenario.NamedItem
	}{{"fault", scenario.ProcessFaultKinds}, {"event", scenario.Events}, {"promise", scenario.ExpectationKinds}} {
		fmt.Fprintf(out.stdout, "| %s | what it is |\n| --- | --- |\n", table.head)
		for _, kind := range table.list {
			fmt.Fprintf(out.stdout, "| `%s` | %s |\n", kind.Name, kind.Description)
		}
		fmt.Fprintln(out.stdout)
	}
}

func listScripts(out *output) error {
	for _, name := range fleet.Names() {
		script, err := fleet.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(out.stdout, "%-24s %s\n", name, script.About)
	}
	return nil
}

// loadScript loads the script and applies the overrides. It also fails if the gateway's program is missing or the report could not be
// written, before anything is run.
func (c *fleetCommand) loadScript() (*scenario.Scenario, error) {
	script, err := fleet.Load(c.Script)
	if err != nil {
		return nil, inputError{err}
	}
	if err := applyOverrides(script, c.Set); err != nil {
		return nil, err
	}
	if _, err := os.Stat(c.Gateway); err != nil {
		return nil, inputError{fmt.Errorf("api gateway program: %w (run make build to build it)", err)}
	}
	if err := batch.CheckWritable(c.Report); err != nil {
		return nil, inputError{fmt.Errorf("cannot write the report: %w", err)}
	}
	return script, nil
}

// runSeed runs the script with a seed, in the folder of --dir or in a temporary one that is deleted afterwards.
func (c *fleetCommand) runSeed(ctx context.Context, out *output, script *scenario.Scenario, seed uint64) (*fleet.Result, error) {
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "otterseam-sim-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	var env []string
	for _, name := range slices.Sorted(maps.Keys(c.Env)) {
		env = append(env, name+"="+c.Env[name])
	}
	return fleet.Play(ctx, script, seed, fleet.Options{
		Gateway: c.Gateway, Dir: dir, MemoryMB: c.Memory, Env: env,
		Report: func(text string) { fmt.Fprintln(out.stderr, text) },
	})
}

// writeResults writes a result in the formats that the flags select.
func (c *fleetCommand) writeResults(out *output, name string, result *fleet.Result) error {
	if c.JSON {
		if err := out.json(result); err != nil {
			return err
		}
	} else {
		printResult(out, name, result)
	}
	if c.Report == "" {
		return nil
	}
	page, err := fleet.Page(result)
	if err != nil {
		return err
	}
	return batch.WriteFile(c.Report, page)
}

// printResult prints the result of a script: its figures, the promises that were kept, and those that were broken with the surrounding
// events.
func printResult(out *output, name string, result *fleet.Result) {
	figures := result.Figures
	fmt.Fprintf(out.stdout, "%s, seed %d: %.0f tries (%s), %.0f deliveries, %.0f dials, %.0f calls, %.0f datagrams; %d faults struck\n", name, result.Seed,
		figures.Invocations, strings.Join(figures.OutcomeSummary(), ", "), figures.Attempts, figures.Dials, figures.CounterCalls, result.Datagrams, result.FaultsApplied)
	for _, promise := range result.Kept {
		fmt.Fprintln(out.stdout, "  kept:", promise)
	}
	if result.Audit != nil {
		for _, list := range [][]string{result.Audit.Lost, result.Audit.CountedTwice, result.Audit.SecondEffects} {
			for _, line := range list[:min(maxPrinted, len(list))] {
				fmt.Fprintln(out.stdout, "  not kept:", line)
			}
		}
	}
	for _, broken := range result.Broken {
		printBroken(out, broken.Text, broken.Lines, broken.Faults)
	}
	if result.Audit != nil {
		fmt.Fprintln(out.stdout, result.Audit)
	}
}

// maxPrinted is the largest number of examples printed for each kind of broken guarantee.
const maxPrinted = 5

// printBroken prints a broken promise with the surrounding events and the active faults.
func printBroken(out *output, text string, events, faults []string) {
	fmt.Fprintln(out.stdout, "  broken:", text)
	for _, event := range events {
		fmt.Fprintln(out.stdout, "     ", event)
	}
	for _, fault := range faults {
		fmt.Fprintln(out.stdout, "      in force:", fault)
	}
}
