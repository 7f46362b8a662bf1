package report

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat"

	"otterseam/sim/batch"
)

// figure computes a number from the results of a run.
type figure func(run *batch.Run) float64

// Group is the runs of one policy with one set of changed keys, over seeds.
type Group struct {
	Day, Decider string
	Overrides    map[string]string
	Runs         []*batch.Run
	common       map[string]bool // overrides that all groups share, which Name leaves out
}

// Groups groups the runs that differ only in their seeds. The groups are in the order of their first runs.
func Groups(runs []*batch.Run) []*Group {
	var groups []*Group
	byKey := map[string]*Group{}
	for _, run := range runs {
		key := fmt.Sprint(run.Day, " ", run.Decider, " ", run.Overrides) // fmt prints maps sorted by key
		group := byKey[key]
		if group == nil {
			group = &Group{Day: run.Day, Decider: run.Decider, Overrides: run.Overrides}
			byKey[key] = group
			groups = append(groups, group)
		}
		group.Runs = append(group.Runs, run)
	}
	common := commonOverrides(groups)
	for _, group := range groups {
		group.common = common
	}
	return groups
}

func commonOverrides(groups []*Group) map[string]bool {
	common := map[string]bool{}
	if len(groups) < 2 {
		return common
	}
	for key, value := range groups[0].Overrides {
		common[key] = !slices.ContainsFunc(groups, func(g *Group) bool { return g.Overrides[key] != value })
	}
	return common
}

// Name returns a name that distinguishes a group from the others: its policy and the overrides that the groups do not share.
func (g *Group) Name() string {
	name := g.Decider
	var keys []string
	for key := range g.Overrides {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if !g.common[key] {
			name += " " + key + "=" + g.Overrides[key]
		}
	}
	return name
}

// Mean returns the mean and the standard deviation of a figure over a group's runs. The deviation of a single run is 0.
func (g *Group) Mean(value func(run *batch.Run) float64) (mean, spread float64) {
	values := make([]float64, len(g.Runs))
	for i, run := range g.Runs {
		values[i] = value(run)
	}
	if len(values) == 1 {
		return values[0], 0
	}
	return stat.MeanStdDev(values, nil)
}

// Paired returns the mean and the standard deviation of the differences of two groups, b minus a, over the n seeds that both have.
func Paired(a, b *Group, value func(run *batch.Run) float64) (mean, spread float64, n int) {
	var differences []float64
	for _, first := range a.Runs {
		for _, second := range b.Runs {
			if first.Seed == second.Seed {
				differences = append(differences, value(second)-value(first))
			}
		}
	}
	switch len(differences) {
	case 0:
		return 0, 0, 0
	case 1:
		return differences[0], 0, 1
	}
	mean, spread = stat.MeanStdDev(differences, nil)
	return mean, spread, len(differences)
}
