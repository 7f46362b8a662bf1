package fleet

import (
	"fmt"

	"otterseam/sim/metrics"
	"otterseam/sim/oracle"
	"otterseam/sim/scenario"
)

// Result is the result of one run of a script.
type Result struct {
	Script        *scenario.Scenario `json:"-"`
	Seed          uint64             `json:"seed"`
	Gateways      int                `json:"gateways"`
	Figures       *metrics.Results   `json:"figures"`
	Spans         []*Span            `json:"faults"`
	Lines         []Line             `json:"log"`
	Datagrams     float64            `json:"mail"`   // datagrams between api gateways
	FaultsApplied int                `json:"struck"` // faults whose target was present
	Running       []bool             `json:"runs"`   // by api gateway: whether it runs at the end
	Audit         *Audit             `json:"held,omitempty"`
	Kept          []string           `json:"promises"` // expectations of the script that were met
	Broken        []Failure          `json:"broken"`
}

// Failure describes a violated rule or an unmet expectation of the script.
type Failure struct {
	Text   string   `json:"text"`
	Lines  []string `json:"lines,omitempty"`  // trace of the invocation
	Faults []string `json:"faults,omitempty"` // in force at that time
}

// Span is a fault and the time during which it was in force, in seconds of the scenario.
type Span struct {
	Kind    string  `json:"kind"`
	Target  string  `json:"what"` // a link's name, or a process's
	Gateway int     `json:"edge"` // -1: none in particular
	Begins  float64 `json:"begins"`
	Ends    float64 `json:"ends"`

	service string // at the link's other end; "": the api gateway itself or its clients
}

// String returns the kind and target of the fault and when it was in force.
func (s *Span) String() string {
	ends := "the end"
	if s.Ends < never {
		ends = fmt.Sprintf("%.2f s", s.Ends)
	}
	return fmt.Sprintf("%s of %s from %.2f s to %s", s.Kind, s.Target, s.Begins, ends)
}

// describeViolations returns a failure for each violation, with the trace of its invocation and the faults in force.
func (f *injector) describeViolations(violations []oracle.Violation) []Failure {
	var failures []Failure
	for _, violation := range violations {
		failure := Failure{Text: violation.String(), Lines: f.traces.linesOf(violation.Ref)}
		for _, span := range f.spans {
			if violation.Ref != "" && span.Begins <= violation.At && span.Ends+recoveryGrace >= violation.At {
				failure.Faults = append(failure.Faults, span.String())
			}
		}
		failures = append(failures, failure)
	}
	return failures
}
