package main

// This file owns the command that lists days and their form.

import (
	"fmt"

	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

type daysCmd struct {
	Form  bool   `help:"The keys of a day's file, as a table."`
	Kinds bool   `help:"The kinds of troubles, as a table."`
	Show  string `help:"Print a day whole, with all its defaults." placeholder:"DAY"`
	Seed  uint64 `help:"With --show: with its ranges drawn by this seed."`
}

func (c *daysCmd) Run(s *streams) error {
	switch {
	case c.Form:
		fmt.Fprint(s.out, "| key | what it is | range | if it is not given |\n| --- | --- | --- | --- |\n", scenario.Form())
	case c.Kinds:
		fmt.Fprint(s.out, "| kind | what happens | `part` is of the | `size` is |\n| --- | --- | --- | --- |\n")
		for _, k := range scenario.Kinds {
			fmt.Fprintf(s.out, "| `%s` | %s | %s | %s |\n", k.Name, k.Does, dash(k.Part), dash(k.Size))
		}
	case c.Show != "":
		d, err := scenarios.Load(c.Show)
		if err != nil {
			return badInput{err}
		}
		if c.Seed > 0 {
			d = d.Draw(c.Seed)
		}
		fmt.Fprint(s.out, d.Text())
	default:
		for _, n := range scenarios.Names() {
			d, err := scenarios.Load(n)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.out, "%-24s %s\n", n, d.About)
		}
	}
	return nil
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
