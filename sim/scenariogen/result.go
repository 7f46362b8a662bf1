package scenariogen

import (
	"fmt"
	"strings"
)

// Result is one generated day and the outcome of its run.
type Result struct {
	Site   string
	Seed   uint64
	Name   string
	Day    *Day
	Report *Report
	Err    error
	Shrunk string // file of the shortest day that violates the same rule; empty if the day was not shrunk
}

// Violated reports whether the day violated a rule.
func (r *Result) Violated() bool { return r.Report != nil && len(r.Report.ViolatedRules()) > 0 }

// worthKeeping reports whether the day failed in any way or scored below keepBelow.
func (r *Result) worthKeeping(keepBelow float64) bool {
	return r.Err != nil || r.Violated() || r.Report.UnexpectedExits > 0 || len(r.Report.GateFailures) > 0 || r.Report.Score < keepBelow
}

// summary returns one line on the outcome of a day: the site, the seed, the score, the served share, the slowest configuration change,
// the violated rules, the number of unexpected exits and the failed lines of the gate.
func (r *Result) summary() string {
	if r.Err != nil {
		return fmt.Sprintf("%s seed %d: not played: %v", r.Site, r.Seed, r.Err)
	}
	broken := "no rule broken"
	if r.Violated() {
		broken = "BROKEN " + strings.Join(r.Report.ViolatedRules(), " ")
	}
	line := fmt.Sprintf("%s seed %d: worth %.3f, served %.3f, slowest change %.0f ms, %s", r.Site, r.Seed, r.Report.Score,
		r.Report.Served, r.Report.SlowestConfig(), broken)
	if r.Report.UnexpectedExits > 0 {
		line += fmt.Sprintf("; %d processes ended by themselves", r.Report.UnexpectedExits)
	}
	for _, short := range r.Report.GateLines() {
		line += "; gate: " + short
	}
	return line
}
