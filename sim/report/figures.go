package report

import (
	"slices"

	"otterseam/sim/batch"
	"otterseam/sim/metrics"
)

// outcome is one thing that can become of value asked for within the quotas.
type outcome struct {
	name string
	of   func(share metrics.Share) float64
}

// The outcomes, in the order of their rows and colours.
var outcomes = []outcome{
	servedInTime:      {"served in time", func(s metrics.Share) float64 { return s.Served }},
	servedLate:        {"served late", func(s metrics.Share) float64 { return s.Late }},
	throttledWithRoom: {"throttled, with room", func(s metrics.Share) float64 { return s.ThrottledWithRoom }},
	throttledNoRoom:   {"throttled, no room", func(s metrics.Share) float64 { return s.ThrottledWithoutRoom }},
	errored:           {"errored", func(s metrics.Share) float64 { return s.Errored }},
	lost:              {"unanswered or broken", func(s metrics.Share) float64 { return s.Lost }},
	beyondQuota:       {"sent beyond the quota", func(s metrics.Share) float64 { return s.BeyondQuota }},
	netValue:          {"worth", func(s metrics.Share) float64 { return s.NetValue }},
}

// Indices of outcomes. Those before beyondQuota add up to what was asked for.
const (
	servedInTime = iota
	servedLate
	throttledWithRoom
	throttledNoRoom
	errored
	lost
	beyondQuota
	netValue
)

// fraction is an outcome as a part of what was asked for within the quotas.
func (o outcome) fraction(run *batch.Run) float64 { return run.Total.Fraction(o.of(run.Total)) }

// row is a further figure of a table.
type row struct {
	name string
	of   figure
}

var rows = []row{
	{"served in time within quotas", func(r *batch.Run) float64 { return r.Total.Fraction(r.Total.ServedOfSent) }},
	{"the same, less what beyond costs", func(r *batch.Run) float64 {
		return r.Total.Fraction(r.Total.ServedOfSent - r.Total.BeyondCost)
	}},
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

// breakdown splits a run's total by the names of something.
type breakdown struct {
	name string
	of   func(run *batch.Run) map[string]*metrics.Share
}

var breakdowns = []breakdown{
	{"plan", func(r *batch.Run) map[string]*metrics.Share { return r.Plans }},
	{"use", func(r *batch.Run) map[string]*metrics.Share { return r.QuotaUses }},
	{"operation", func(r *batch.Run) map[string]*metrics.Share { return r.Operations }},
}

// names are those that any run has.
func (b breakdown) names(runs []*batch.Run) []string {
	var names []string
	for _, run := range runs {
		for _, name := range metrics.SortedNames(b.of(run)) {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// servedInTime is the part served in time of what was asked for under a name; 0 in a run that has none of it.
func (b breakdown) servedInTime(name string) figure {
	return func(run *batch.Run) float64 {
		if share := b.of(run)[name]; share != nil {
			return share.Fraction(share.Served)
		}
		return 0
	}
}
