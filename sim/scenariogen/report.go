package scenariogen

import (
	"encoding/json"
	"slices"
	"strings"
)

// Report is what the bench writes about a day.
type Report struct {
	Score           float64              `json:"G"`
	Served          float64              `json:"served"`
	Fault           json.RawMessage      `json:"fault"` // why the day could not be judged, if so
	GateFailures    []json.RawMessage    `json:"short"`
	Violations      map[string]any       `json:"breaks"`
	FirstViolations []json.RawMessage    `json:"first"`
	Events          []ReportedDisruption `json:"events"`
	UnexpectedExits int                  `json:"exits_n"` // processes that ended by themselves
	Timings         map[string][]float64 `json:"times"`   // in ms: the median and the longest
}

// configTimings is the entry of Report.Timings for the acknowledgement of a configuration.
const configTimings = "config acked"

// SlowestConfig is how long the slowest acknowledgement of a configuration took, in ms; 0 if there was none.
func (r *Report) SlowestConfig() float64 {
	times := r.Timings[configTimings]
	if len(times) == 0 {
		return 0
	}
	return times[len(times)-1]
}

// ReportedDisruption is a disruption as it was played.
type ReportedDisruption struct {
	At   float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	What string  `json:"what"`
}

// ViolatedRules names the rules that were broken, sorted; "fault" stands for a play that could not be judged.
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

// GateLines are the lines of the gate that the day fell short of.
func (r *Report) GateLines() []string {
	lines := make([]string, 0, len(r.GateFailures))
	for _, line := range r.GateFailures {
		lines = append(lines, string(line))
	}
	return lines
}
