package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"otterseam/sim/batch"
)

const (
	// violationsShown is the largest number of violations written for each run.
	violationsShown = 3
	// coarseFrom is the value from which numbers are written with one decimal place instead of three.
	coarseFrom = 20
)

// Text writes all runs as one table, with the outcomes as fractions of the value requested within the quotas. Each figure is the mean over
// the seeds with its standard deviation. The first violations of each run follow.
func Text(w io.Writer, runs []*batch.Run) error {
	table := newTable(w, Groups(runs))
	table.head()
	for _, outcome := range outcomes {
		table.row(outcome.name, outcome.fraction)
	}
	table.blank()
	for _, row := range rows {
		table.row(row.name, row.value)
	}
	for _, breakdown := range breakdowns {
		table.blank()
		for _, name := range breakdown.names(runs) {
			table.row(fmt.Sprintf("served in time, %s %s", breakdown.name, name), breakdown.servedInTime(name))
		}
	}
	if err := table.writer.Flush(); err != nil {
		return err
	}
	for _, run := range runs {
		for _, violation := range run.Violations[:min(violationsShown, len(run.Violations))] {
			fmt.Fprintf(w, "%s, seed %d, %s: %s\n", run.Day, run.Seed, run.Decider, violation)
		}
	}
	return nil
}

// resultTable has a column for each group.
type resultTable struct {
	writer *tabwriter.Writer
	groups []*Group
}

func newTable(w io.Writer, groups []*Group) *resultTable {
	return &resultTable{writer: newTabWriter(w), groups: groups}
}

func newTabWriter(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 2, 0, 2, ' ', 0) }

func (t *resultTable) head() {
	line := "of the value asked for inside quotas"
	for _, group := range t.groups {
		line += "\t" + group.Day + ": " + group.Name()
	}
	fmt.Fprintln(t.writer, line)
}

func (t *resultTable) row(name string, value figure) {
	line := name
	for _, group := range t.groups {
		mean, spread := group.Mean(value)
		line += "\t" + formatNumber(mean, spread, len(group.Runs) > 1)
	}
	fmt.Fprintln(t.writer, line)
}

func (t *resultTable) blank() { fmt.Fprintln(t.writer, strings.Repeat("\t", len(t.groups))) }

func formatNumber(mean, spread float64, withSpread bool) string {
	format := "%.3f"
	if mean >= coarseFrom {
		format = "%.1f"
	}
	if !withSpread {
		return fmt.Sprintf(format, mean)
	}
	return fmt.Sprintf(format+" ± "+format, mean, spread)
}

// Differences writes how each group differs from the first in each outcome: the mean and the standard deviation of the differences seed
// by seed. Pairing the seeds removes the variation that the groups have in common.
func Differences(w io.Writer, runs []*batch.Run) error {
	groups := Groups(runs)
	if len(groups) < 2 {
		return nil
	}
	first := groups[0]
	others := groups[1:]
	writer := newTabWriter(w)
	head := "difference from " + first.Name()
	for _, group := range others {
		head += "\t" + group.Name()
	}
	fmt.Fprintln(writer, head)
	for _, outcome := range outcomes {
		line := outcome.name
		for _, group := range others {
			mean, spread, n := Paired(first, group, outcome.fraction)
			line += fmt.Sprintf("\t%+.3f", mean)
			if n > 1 {
				line += fmt.Sprintf(" ± %.3f", spread)
			}
		}
		fmt.Fprintln(writer, line)
	}
	return writer.Flush()
}
