package main

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"otterseam/sim/losscauses"
)

type causesCommand struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports on played days of the serving tier, as the bench program writes them."`
}

func (c *causesCommand) Run(out *output) error {
	table := tabwriter.NewWriter(out.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "REPORT\tCAUSE\tLOST\tLATE\tSHARE OF ALL LOST")
	for _, file := range c.Reports {
		content, err := os.ReadFile(file)
		if err != nil {
			return inputError{err}
		}
		report, err := losscauses.Parse(filepath.Base(file), content)
		if err != nil {
			return inputError{err}
		}
		shares, err := report.Shares()
		if err != nil {
			return err
		}
		lost := max(report.All.Refused+report.All.Failed, 1)
		for _, share := range shares {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.2f\n", report.Name, share.Cause, share.Lost, share.Late, float64(share.Lost)/float64(lost))
		}
	}
	return table.Flush()
}
