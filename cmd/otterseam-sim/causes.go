package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"otterseam/sim/losscauses"
)

// causesCmd tells where the programs of played days were lost.
type causesCmd struct {
	Reports []string `arg:"" type:"existingfile" help:"Reports of plays of the serving tier, as the program that plays days writes them."`
}

func (c *causesCmd) Run(_ context.Context, s *streams) error {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REPORT\tCAUSE\tLOST\tLATE\tSHARE OF ALL LOST")
	for _, file := range c.Reports {
		content, err := os.ReadFile(file)
		if err != nil {
			return badInput{err}
		}
		report, err := losscauses.Parse(filepath.Base(file), content)
		if err != nil {
			return badInput{err}
		}
		shares, err := report.Shares()
		if err != nil {
			return err
		}
		lost := max(report.All.Refused+report.All.Failed, 1)
		for _, share := range shares {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f\n", report.Name, share.Cause, share.Lost, share.Late, float64(share.Lost)/float64(lost))
		}
	}
	return w.Flush()
}
