package report

import (
	"slices"

	"otterseam/sim/batch"
	"otterseam/sim/metrics"
)

// outcome is one outcome of the value requested within the quotas.
type outcome struct {
	name  string
	value func(share metrics.Share) float64
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

// Indices of outcomes. Those before beyondQuota add up to the value requested within the quotas.
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

// fraction returns an outcome as a fraction of the value requested within the quotas.
func (o outcome) fraction(run *batch.Run) float64 { return run.Total.Fraction(o.value(run.Total)) }

// row is one figure of a table besides the outcomes.
type row struct {
	name  string
	value figure
}

var rows = []row{
	{"served in time within quotas", func(r *batch.Run) float64 { return r.Total.Fraction(r.Total.ServedOfSent) }},
	{"the same, less the cost beyond quotas", func(r *batch.Run) float64 {
		return r.Total.Fraction(r.Total.ServedOfSent - r.Total.BeyondCost)
	}},
	{"counter calls per try", func(r *batch.Run) float64 { return r.CounterCalls / max(1, r.Invocations) }},
	{"counter calls without a total, share", func(r *batch.Run) float64 { return r.CounterCallsFailed / max(1, r.CounterCalls) }},
	{"deliveries per try", func(r *batch.Run) float64 { return r.Attempts / max(1, r.Invocations) }},
	{"tries per first try", func(r *batch.Run) float64 { return r.Invocations / max(1, r.FirstInvocations) }},
	{"new connections per delivery", func(r *batch.Run) float64 { return r.Dials / max(1, r.Attempts) }},
	{"peer messages per first try", func(r *batch.Run) float64 { return r.PeerMessages / max(1, r.FirstInvocations) }},
	{"host work wasted", func(r *batch.Run) float64 { return r.WastedWork }},
	{"fairness between customers", func(r *batch.Run) float64 { return r.Fairness }},
	{"median answer, ms", func(r *batch.Run) float64 { return r.Latency["all"].P50 }},
	{"99th percentile, ms", func(r *batch.Run) float64 { return r.Latency["all"].P99 }},
	{"rules broken", func(r *batch.Run) float64 { return float64(r.ViolationCount) }},
}

// breakdown splits a run's total by plan, use of the quota or operation.
type breakdown struct {
	name   string
	shares func(run *batch.Run) map[string]*metrics.Share
}

var breakdowns = []breakdown{
	{"plan", func(r *batch.Run) map[string]*metrics.Share { return r.Plans }},
	{"use", func(r *batch.Run) map[string]*metrics.Share { return r.QuotaUses }},
	{"operation", func(r *batch.Run) map[string]*metrics.Share { return r.Operations }},
}

// names returns the names that occur in any of the runs.
func (b breakdown) names(runs []*batch.Run) []string {
	var names []string
	for _, run := range runs {
		for _, name := range metrics.SortedNames(b.shares(run)) {
			if !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// servedInTime returns the figure that gives the fraction of a name's requested value that was served in time. It is 0 for a run without
// that name.
func (b breakdown) servedInTime(name string) figure {
	return func(run *batch.Run) float64 {
		if share := b.shares(run)[name]; share != nil {
			return share.Fraction(share.Served)
		}
		return 0
	}
}
