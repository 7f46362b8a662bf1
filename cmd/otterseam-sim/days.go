package main

import (
	"fmt"

	"otterseam/sim/scenario"
	"otterseam/sim/scenarios"
)

type daysCommand struct {
	Form  bool   `help:"Print the keys of a day's file as a table, with units, ranges and defaults."`
	Kinds bool   `help:"Print the kinds of faults of a day (troubles) as a table."`
	Show  string `help:"Print the file of a day with all its defaults." placeholder:"DAY"`
	Seed  uint64 `help:"With --show: draw the ranges of the day with this seed; 0: leave them."`
}

func (c *daysCommand) Run(out *output) error {
	switch {
	case c.Form:
		fmt.Fprint(out.stdout, "| key | what it is | range | if it is not given |\n| --- | --- | --- | --- |\n", scenario.KeyTable())
	case c.Kinds:
		printFaultKinds(out)
	case c.Show != "":
		return c.printDay(out)
	default:
		return listDays(out)
	}
	return nil
}

func printFaultKinds(out *output) {
	fmt.Fprint(out.stdout, "| kind | what happens | `part` is of the | `size` is |\n| --- | --- | --- | --- |\n")
	for _, kind := range scenario.FaultKinds {
		fmt.Fprintf(out.stdout, "| `%s` | %s | %s | %s |\n", kind.Name, kind.Description, orDash(kind.Part), orDash(kind.Size))
	}
}

func (c *daysCommand) printDay(out *output) error {
	day, err := scenarios.Load(c.Show)
	if err != nil {
		return inputError{err}
	}
	if c.Seed > 0 {
		day = day.Draw(c.Seed)
	}
	fmt.Fprint(out.stdout, day.Text())
	return nil
}

func listDays(out *output) error {
	for _, name := range scenarios.Names() {
		day, err := scenarios.Load(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(out.stdout, "%-24s %s\n", name, day.About)
	}
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
