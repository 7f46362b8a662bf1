package fleet

import (
	"fmt"

	"otterseam/sim/metrics"
	"otterseam/sim/oracle"
	"otterseam/sim/scenario"
)

// Result is what came of a script.
type Result struct {
	Script   *scenario.Scenario `json:"-"`
	Seed     uint64             `json:"seed"`
	Gateways int                `json:"gateways"`
	Figures  *metrics.Results   `json:"figures"`
	Spans    []*Span            `json:"faults"`
	Lines    []Line             `json:"log"`
	Datagrams     float64            `json:"mail"`   // datagrams between api gateways
	FaultsApplied   int                `json:"struck"` // faults that found something
	Runs     []bool             `json:"runs"`   // by api gateway: whether it runs at the end
	Audit     *Audit             `json:"held,omitempty"`
	Kept     []string           `json:"promises"` // promises of the script that were kept
	Broken   []Story            `json:"broken"`
}

// Story is what is known of one broken rule or promise.
type Story struct {
	Text   string   `json:"text"`
	Lines  []string `json:"lines,omitempty"`  // what happened to the invocation
	Faults []string `json:"faults,omitempty"` // in force at that time
}

// Span is a fault and when it was in force, in seconds of the scenario.
type Span struct {
	Kind    string  `json:"kind"`
	Target  string  `json:"what"` // a link's name, or a process's
	Gateway int     `json:"edge"` // -1: none in particular
	Begins  float64 `json:"begins"`
	Ends    float64 `json:"ends"`

	service string // at the link's other end; "": the api gateway itself or its clients
}

// String says what was in force, and when.
func (s *Span) String() string {
	ends := "the end"
	if s.Ends < never {
		ends = fmt.Sprintf("%.2f s", s.Ends)
	}
	return fmt.Sprintf("%s of %s from %.2f s to %s", s.Kind, s.Target, s.Begins, ends)
}

// stories tells of each violation what happened to its invocation, and which faults were in force.
func (f *injector) stories(violations []oracle.Violation) []Story {
	var all []Story
	for _, violation := range violations {
		story := Story{Text: violation.String(), Lines: f.traces.of(violation.Ref)}
		for _, span := range f.spans {
			if violation.Ref != "" && span.Begins <= violation.At && span.Ends+healingTime >= violation.At {
				story.Faults = append(story.Faults, span.String())
			}
		}
		all = append(all, story)
	}
	return all
}
