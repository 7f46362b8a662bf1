package main

// This file owns the command that plays scripts of faults between processes.

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"otterseam/lab/day"
	"otterseam/lab/fleet"
	"otterseam/lab/runs"
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
		for _, t := range []struct {
			head string
			list []day.Named
		}{{"fault", day.Strikes}, {"event", day.Events}, {"promise", day.Promises}} {
			fmt.Fprintf(s.out, "| %s | what it is |\n| --- | --- |\n", t.head)
			for _, n := range t.list {
				fmt.Fprintf(s.out, "| `%s` | %s |\n", n.Name, n.Does)
			}
			fmt.Fprintln(s.out)
		}
		return nil
	case c.Script == "":
		for _, n := range fleet.Names() {
			d, err := fleet.Load(n)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.out, "%-24s %s\n", n, d.About)
		}
		return nil
	}
	d, err := fleet.Load(c.Script)
	if err != nil {
		return badInput{err}
	}
	if err := change(d, c.Set); err != nil {
		return err
	}
	if _, err := os.Stat(c.Gateway); err != nil {
		return badInput{fmt.Errorf("the api gateway's program: %w (make build makes it)", err)}
	}
	if err := runs.Writable(c.Report); err != nil {
		return badInput{fmt.Errorf("no report could be written: %w", err)}
	}
	var env []string
	for _, k := range slices.Sorted(maps.Keys(c.Env)) {
		env = append(env, k+"="+c.Env[k])
	}
	bad := false
	for i := range max(1, c.Seeds) {
		dir := c.Dir
		if dir == "" {
			if dir, err = os.MkdirTemp("", "otterlab-"); err != nil {
				return err
			}
			defer os.RemoveAll(dir)
		}
		r, err := fleet.Play(ctx, d, c.Seed+uint64(i), fleet.Options{Gateway: c.Gateway, Dir: dir, Memory: c.Memory, Env: env,
			Tell: func(t string) { fmt.Fprintln(s.errs, t) }})
		if err != nil {
			return err
		}
		bad = bad || len(r.Broken) > 0
		if c.JSON {
			if err := s.json(r); err != nil {
				return err
			}
		} else {
			say(s, d.Name, r)
		}
		if c.Report != "" {
			page, err := fleet.Page(r)
			if err != nil {
				return err
			}
			if err := runs.Put(c.Report, page); err != nil {
				return err
			}
		}
	}
	if bad {
		return errBroken
	}
	return nil
}

// say writes what became of a script: its figures, what was kept, and what was broken with its whole story.
func say(s *streams, name string, r *fleet.Result) {
	f := r.Figures
	fmt.Fprintf(s.out, "%s, seed %d: %.0f tries (%s), %.0f deliveries, %.0f dials, %.0f calls, %.0f datagrams; %d faults struck\n", name, r.Seed,
		f.Tries, strings.Join(f.Ends(), ", "), f.Deliveries, f.Dials, f.Calls, r.Mail, r.Struck)
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
