package main

// This file owns the command that plays scripts of faults between processes.

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

type fleetCmd struct {
	Script  string            `arg:"" optional:"" help:"A script's name or file; without one, the scripts there are."`
	Set     map[string]string `help:"Change keys of the script, as in fault[0].lasts=3s." placeholder:"KEY=VALUE"`
	Seed    uint64            `default:"1" help:"First seed."`
	Seeds   int               `default:"1" help:"How many seeds, one after another."`
	Gateway string            `default:"bin/otterseam" help:"The program of the api gateway."`
	Env     map[string]string `help:"Variables of the api gateways, as in EDGE_OPERATOR=deploy/x.json." placeholder:"NAME=VALUE"`
	Memory  float64           `default:"64" help:"Memory limit that the api gateways are told, in MB."`
	Dir     string            `help:"Folder for configurations, folders and logs; without it they go when it is over." placeholder:"DIR"`
	JSON    bool              `name:"json" help:"Write the results as JSON."`
	Report  string            `help:"Write a page with a timeline of the last seed to this file." placeholder:"FILE.html"`
	Kinds   bool              `help:"The kinds of faults, events and promises, as tables."`
}

func (c *fleetCmd) Run(ctx context.Context, s *streams) error {
	switch {
	case c.Kinds:
		writeKinds(s)
		return nil
	case c.Script == "":
		return listScripts(s)
	}
	script, err := c.load()
	if err != nil {
		return err
	}
	broken := false
	for i := range max(1, c.Seeds) {
		result, err := c.play(ctx, s, script, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		broken = broken || len(result.Broken) > 0
		if err := c.tell(s, script.Name, result); err != nil {
			return err
		}
	}
	if broken {
		return errBroken
	}
	return nil
}

// writeKinds writes the kinds of faults, events and promises as tables.
func writeKinds(s *streams) {
	for _, table := range []struct {
		head string
		list []scenario.Named
	}{{"fault", scenario.Strikes}, {"event", scenario.Events}, {"promise", scenario.Promises}} {
		fmt.Fprintf(s.out, "| %s | what it is |\n| --- | --- |\n", table.head)
		for _, n := range table.list {
			fmt.Fprintf(s.out, "| `%s` | %s |\n", n.Name, n.Does)
		}
		fmt.Fprintln(s.out)
	}
}

func listScripts(s *streams) error {
	for _, name := range fleet.Names() {
		script, err := fleet.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.out, "%-24s %s\n", name, script.About)
	}
	return nil
}

// load reads the script with its changes, and says before anything is played what is missing.
func (c *fleetCmd) load() (*scenario.Day, error) {
	script, err := fleet.Load(c.Script)
	if err != nil {
		return nil, badInput{err}
	}
	if err := change(script, c.Set); err != nil {
		return nil, err
	}
	if _, err := os.Stat(c.Gateway); err != nil {
		return nil, badInput{fmt.Errorf("the api gateway's program: %w (make build makes it)", err)}
	}
	if err := batch.CheckWritable(c.Report); err != nil {
		return nil, badInput{fmt.Errorf("no report could be written: %w", err)}
	}
	return script, nil
}

// play plays the script with a seed, in the folder that was asked for or in one that goes afterwards.
func (c *fleetCmd) play(ctx context.Context, s *streams, script *scenario.Day, seed uint64) (*fleet.Result, error) {
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
		Gateway: c.Gateway, Dir: dir, Memory: c.Memory, Env: env,
		Tell: func(text string) { fmt.Fprintln(s.errs, text) },
	})
}

// tell writes a result in the forms that were asked for.
func (c *fleetCmd) tell(s *streams, name string, result *fleet.Result) error {
	if c.JSON {
		if err := s.json(result); err != nil {
			return err
		}
	} else {
		say(s, name, result)
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

// say writes what became of a script: its figures, what was kept, and what was broken with its whole story.
func say(s *streams, name string, r *fleet.Result) {
	f := r.Figures
	fmt.Fprintf(s.out, "%s, seed %d: %.0f tries (%s), %.0f deliveries, %.0f dials, %.0f calls, %.0f datagrams; %d faults struck\n", name, r.Seed,
		f.Invocations, strings.Join(f.OutcomeSummary(), ", "), f.Attempts, f.Dials, f.CounterCalls, r.Mail, r.Struck)
	for _, k := range r.Kept {
		fmt.Fprintln(s.out, "  kept:", k)
	}
	if r.Held != nil {
		for _, list := range [][]string{r.Held.Lost, r.Held.Twice, r.Held.Second} {
			for _, x := range list[:min(5, len(list))] {
				fmt.Fprintln(s.out, "  not kept:", x)
			}
		}
	}
	for _, b := range r.Broken {
		fmt.Fprintln(s.out, "  broken:", b.Text)
		for _, l := range b.Lines {
			fmt.Fprintln(s.out, "     ", l)
		}
		for _, x := range b.Faults {
			fmt.Fprintln(s.out, "      in force:", x)
		}
	}
	if r.Held != nil {
		fmt.Fprintln(s.out, r.Held)
	}
}
