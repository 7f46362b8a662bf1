// Package report writes what days showed: as text for a terminal, and as one HTML file with its pictures in it. It must
// never reckon a figure that the results do not hold, beyond sums, means and their spread.
package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"otterseam/sim/batch"
	"otterseam/sim/metrics"
)

// cause is one thing that can become of value asked for inside the quotas.
type cause struct {
	name string
	of   func(s metrics.Share) float64
}

var causes = []cause{
	{"served in time", func(s metrics.Share) float64 { return s.Served }},
	{"served late", func(s metrics.Share) float64 { return s.Late }},
	{"throttled, with room", func(s metrics.Share) float64 { return s.ThrottledWithRoom }},
	{"throttled, no room", func(s metrics.Share) float64 { return s.ThrottledWithoutRoom }},
	{"errored", func(s metrics.Share) float64 { return s.Errored }},
	{"unanswered or broken", func(s metrics.Share) float64 { return s.Lost }},
	{"sent beyond the quota", func(s metrics.Share) float64 { return s.BeyondQuota }},
	{"worth", func(s metrics.Share) float64 { return s.NetValue }},
}

// Group is the runs of one decider with one set of changes, over seeds.
type Group struct {
	Day, Decider string
	Over         map[string]string
	Runs         []*batch.Run
	common       map[string]bool // changes that all groups share, and so tell none apart
}

// Groups puts together the runs that differ in their seeds only, in the order in which they came.
func Groups(rs []*batch.Run) (gs []*Group) {
	at := map[string]*Group{}
	for _, r := range rs {
		key := fmt.Sprint(r.Day, " ", r.Decider, " ", r.Overrides) // maps print in order
		g := at[key]
		if g == nil {
			g = &Group{Day: r.Day, Decider: r.Decider, Over: r.Overrides}
			at[key] = g
			gs = append(gs, g)
		}
		g.Runs = append(g.Runs, r)
	}
	common := map[string]bool{}
	for k, v := range first(gs) {
		common[k] = len(gs) > 1 && !slices.ContainsFunc(gs, func(g *Group) bool { return g.Over[k] != v })
	}
	for _, g := range gs {
		g.common = common
	}
	return gs
}

func first(gs []*Group) map[string]string {
	if len(gs) == 0 {
		return nil
	}
	return gs[0].Over
}

// Name tells a group apart from its neighbours.
func (g *Group) Name() string {
	name := g.Decider
	var keys []string
	for k := range g.Over {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		if !g.common[k] {
			name += " " + k + "=" + g.Over[k]
		}
	}
	return name
}

// Mean gives the mean of a figure over a group's runs and its standard deviation, 0 for a single run.
func (g *Group) Mean(of func(r *batch.Run) float64) (mean, spread float64) {
	xs := make([]float64, len(g.Runs))
	for i, r := range g.Runs {
		xs[i] = of(r)
	}
	if len(xs) == 1 {
		return xs[0], 0
	}
	return stat.MeanStdDev(xs, nil)
}

func part(c cause) func(r *batch.Run) float64 {
	return func(r *batch.Run) float64 { return r.Total.Fraction(c.of(r.Total)) }
}

// rows are the further figures of a table: what they are called and how they come from a run.
var rows = []struct {
	name string
	of   func(r *batch.Run) float64
}{
	{"served in time within quotas", func(r *batch.Run) float64 { return r.Total.Fraction(r.Total.ServedOfSent) }},
	{"the same, less what beyond costs", func(r *batch.Run) float64 { return r.Total.Fraction(r.Total.ServedOfSent - r.Total.BeyondCost) }},
	{"counter calls a try", func(r *batch.Run) float64 { return r.CounterCalls / max(1, r.Invocations) }},
	{"of them without a total", func(r *batch.Run) float64 { return r.CounterCallsFailed / max(1, r.CounterCalls) }},
	{"deliveries a try", func(r *batch.Run) float64 { return r.Attempts / max(1, r.Invocations) }},
	{"tries a first try", func(r *batch.Run) float64 { return r.Invocations / max(1, r.FirstInvocations) }},
	{"new connections a delivery", func(r *batch.Run) float64 { return r.Dials / max(1, r.Attempts) }},
	{"mail a first try", func(r *batch.Run) float64 { return r.PeerMessages / max(1, r.FirstInvocations) }},
	{"host work wasted", func(r *batch.Run) float64 { return r.WastedWork }},
	{"fairness between customers", func(r *batch.Run) float64 { return r.Fairness }},
	{"median answer, ms", func(r *batch.Run) float64 { return r.Latency["all"].P50 }},
	{"99th of 100, ms", func(r *batch.Run) float64 { return r.Latency["all"].P99 }},
	{"rules broken", func(r *batch.Run) float64 { return float64(r.ViolationCount) }},
}

func number(mean, spread float64, many bool) string {
	form := "%.3f"
	if mean >= 20 {
		form = "%.1f"
	}
	if !many {
		return fmt.Sprintf(form, mean)
	}
	return fmt.Sprintf(form+" ± "+form, mean, spread)
}

// Text writes all runs as tables: shares of the value asked for inside the quotas, mean and spread over seeds.
func Text(w io.Writer, rs []*batch.Run) error {
	gs := Groups(rs)
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	head := "of the value asked for inside quotas"
	for _, g := range gs {
		head += "\t" + g.Day + ": " + g.Name()
	}
	fmt.Fprintln(t, head)
	for _, c := range causes {
		line := c.name
		for _, g := range gs {
			m, s := g.Mean(part(c))
			line += "\t" + number(m, s, len(g.Runs) > 1)
		}
		fmt.Fprintln(t, line)
	}
	fmt.Fprintln(t, strings.Repeat("\t", len(gs)))
	for _, x := range rows {
		line := x.name
		for _, g := range gs {
			m, s := g.Mean(x.of)
			line += "\t" + number(m, s, len(g.Runs) > 1)
		}
		fmt.Fprintln(t, line)
	}
	for _, by := range []struct {
		name string
		of   func(r *batch.Run) map[string]*metrics.Share
	}{
		{"plan", func(r *batch.Run) map[string]*metrics.Share { return r.Plans }},
		{"use", func(r *batch.Run) map[string]*metrics.Share { return r.QuotaUses }},
		{"operation", func(r *batch.Run) map[string]*metrics.Share { return r.Operations }},
	} {
		fmt.Fprintln(t, strings.Repeat("\t", len(gs)))
		for _, name := range names(rs, by.of) {
			line := fmt.Sprintf("served in time, %s %s", by.name, name)
			for _, g := range gs {
				m, s := g.Mean(func(r *batch.Run) float64 {
					if x := by.of(r)[name]; x != nil {
						return x.Fraction(x.Served)
					}
					return 0
				})
				line += "\t" + number(m, s, len(g.Runs) > 1)
			}
			fmt.Fprintln(t, line)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range rs {
		for _, b := range r.Violations[:min(3, len(r.Violations))] {
			fmt.Fprintf(w, "%s, seed %d, %s: %s\n", r.Day, r.Seed, r.Decider, b)
		}
	}
	return nil
}

func names(rs []*batch.Run, of func(r *batch.Run) map[string]*metrics.Share) (all []string) {
	for _, r := range rs {
		for _, n := range metrics.SortedNames(of(r)) {
			if !slices.Contains(all, n) {
				all = append(all, n)
			}
		}
	}
	return all
}

// Differences writes what each group differs by from the first, cause by cause, seed by seed: the mean of the
// differences and their spread, so that what is common to a seed falls out.
func Differences(w io.Writer, rs []*batch.Run) error {
	gs := Groups(rs)
	if len(gs) < 2 {
		return nil
	}
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	head := "difference from " + gs[0].Name()
	for _, g := range gs[1:] {
		head += "\t" + g.Name()
	}
	fmt.Fprintln(t, head)
	for _, c := range causes {
		line := c.name
		for _, g := range gs[1:] {
			m, s, n := Paired(gs[0], g, part(c))
			line += fmt.Sprintf("\t%+.3f", m)
			if n > 1 {
				line += fmt.Sprintf(" ± %.3f", s)
			}
		}
		fmt.Fprintln(t, line)
	}
	return t.Flush()
}

// Paired is the mean and spread of the differences of two groups over the seeds that both have.
func Paired(a, b *Group, of func(r *batch.Run) float64) (mean, spread float64, n int) {
	var xs []float64
	for _, x := range a.Runs {
		for _, y := range b.Runs {
			if x.Seed == y.Seed {
				xs = append(xs, of(y)-of(x))
			}
		}
	}
	switch len(xs) {
	case 0:
		return 0, 0, 0
	case 1:
		return xs[0], 0, 1
	}
	mean, spread = stat.MeanStdDev(xs, nil)
	return mean, spread, len(xs)
}
