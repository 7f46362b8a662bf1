package scenariogen

import (
	"encoding/json"
	"slices"
	"strings"
)

// Report is the bench's report of a day.
type Report struct {
	Score           float64              `json:"G"`
	Served          float64              `json:"served"`
	Fault           json.RawMessage      `json:"fault"` // why the day could not be evaluated; null or "" if it was
	GateFailures    []json.RawMessage    `json:"short"`
	Violations      map[string]any       `json:"breaks"`
	FirstViolations []json.RawMessage    `json:"first"`
	Events          []ReportedDisruption `json:"events"`
	UnexpectedExits int                  `json:"exits_n"` // number of processes that exited unexpectedly
	Timings         map[string][]float64 `json:"times"`   // median and maximum, in ms
}

// configTimings is the key in Report.Timings of the time until a configuration is acknowledged.
const configTimings = "config acked"

// SlowestConfig returns the longest time until a configuration was acknowledged, in ms, or 0 if there was none.
func (r *Report) SlowestConfig() float64 {
	times := r.Timings[configTimings]
	if len(times) == 0 {
		return 0
	}
	return times[len(times)-1]
}

// ReportedDisruption is a disruption as the bench executed it.
type ReportedDisruption struct {
	At   float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	What string  `json:"what"`
}

// ViolatedRules returns the sorted names of the violated rules. The name "fault" means that the day could not be evaluated.
func (r *Report) ViolatedRules() []string {
	var rules []string
	for rule, times := range r.Violations {
		if n, isNumber := times.(float64); !isNumber || n != 0 {
			rules = append(rules, rule)
		}
	}
	if f := strings.TrimSpace(string(r.Fault)); f != "" && f != "null" && f != `""` {
		rules = append(rules, "fault")
	}
	slices.Sort(rules)
	return rules
}

// GateLines returns the lines of the acceptance gate that the day failed, as JSON texts.
func (r *Report) GateLines() []string {
	lines := make([]string, 0, len(r.GateFailures))
	for _, line := range r.GateFailures {
		lines = append(lines, string(line))
	}
	return lines
}
