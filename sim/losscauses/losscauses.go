package losscauses

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Report is the part of a run's report that the package uses.
type Report struct {
	Name    string
	All     Count    `json:"all"`
	Windows []Window `json:"windows"`
	Events  []Event  `json:"events"`
}

// Count holds the number of programs and their outcomes.
type Count struct {
	Asked   int `json:"n"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Window holds the outcomes of the programs that began in one time window.
type Window struct {
	Name string `json:"name"` // first second of the window, as a number
	// MedianMS is the median duration of the programs, or 0 if the report has none.
	MedianMS float64 `json:"p50_ms"`
	Count
}

// Event is a disruption or planned operation.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	// Planned operations are considered as causes only if no disruption matches.
	Planned bool `json:"planned"`
}

// ErrNoReport is wrapped by the errors of Parse. It means that a file is not the report of a run.
var ErrNoReport = errors.New("is not the report of a run")

// Parse parses a report. The name becomes Report.Name and is used in error messages.
func Parse(name string, content []byte) (*Report, error) {
	report := &Report{Name: name}
	if err := json.Unmarshal(content, report); err != nil {
		return nil, fmt.Errorf("%s %w: %w", name, ErrNoReport, err)
	}
	if len(report.Windows) == 0 {
		return nil, fmt.Errorf("%s %w: it has no windows", name, ErrNoReport)
	}
	return report, nil
}

// windowLength is the length of a report's windows in seconds.
const windowLength = 2.0

// Prefixes of Event.Kind in a report.
const (
	closingKind      = "closing" // the final fault
	configChangeKind = "config_change"
	lostAckKind      = "ack_lost"
)

const (
	// longestRun is the maximum duration of most programs in seconds. A program that began at most this long before a disruption may have
	// been lost to it.
	longestRun = 8.0
	// recovery is the time in seconds after a final fault during which new programs may still have to wait for the tier.
	recovery = 2.5
	// overloadFactor is the ratio of a window's median duration to that of calm windows above which the window counts as overloaded.
	overloadFactor = 1.15
	// calmShare is the share of the windows, those with the lowest medians, that count as calm.
	calmShare = 0.25
)

const (
	// InFlight is the cause for programs that were running when the final fault began.
	InFlight = "in flight at the final fault"
	// Outage is the cause for programs that began in the outage after the final fault.
	Outage = "began in the outage after the final fault"
	// Overload is the cause for programs without a matching disruption that took longer than those of calm windows, because the load
	// exceeded the capacity of the hosts.
	Overload = "overload"
	// Unexplained is the cause for programs without a matching disruption and without signs of overload.
	Unexplained = "unexplained"
)

// Share holds the numbers of late and lost programs of one cause.
type Share struct {
	Cause string
	Late  int
	Lost  int // failed or refused
}

// Shares attributes the late and lost programs to causes and returns them in descending order of lost programs.
func (r *Report) Shares() ([]Share, error) {
	byCause := map[string]*Share{}
	calm := r.calmMedian()
	for _, window := range r.Windows {
		if window.Late+window.Refused+window.Failed == 0 {
			continue
		}
		from, err := strconv.ParseFloat(window.Name, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: window name %q is not a number of seconds", r.Name, window.Name)
		}
		cause := r.causeOf(from)
		if cause == Unexplained && window.MedianMS > overloadFactor*calm {
			cause = Overload
		}
		if byCause[cause] == nil {
			byCause[cause] = &Share{Cause: cause}
		}
		byCause[cause].Late += window.Late
		byCause[cause].Lost += window.Refused + window.Failed
	}
	return r.sortAndCheck(byCause)
}

// calmMedian returns the highest median duration of the calm windows in milliseconds, or infinity if the report has no medians.
func (r *Report) calmMedian() float64 {
	var medians []float64
	for _, window := range r.Windows {
		if window.MedianMS > 0 {
			medians = append(medians, window.MedianMS)
		}
	}
	if len(medians) == 0 {
		return math.Inf(1)
	}
	slices.Sort(medians)
	return medians[int(calmShare*float64(len(medians)-1))]
}

// sortAndCheck sorts the shares and returns an error if they don't add up to the totals of the report.
func (r *Report) sortAndCheck(byCause map[string]*Share) ([]Share, error) {
	var shares []Share
	late, lost := 0, 0
	for _, each := range byCause {
		shares = append(shares, *each)
		late += each.Late
		lost += each.Lost
	}
	if late != r.All.Late || lost != r.All.Refused+r.All.Failed {
		return nil, fmt.Errorf("%s: the windows add up to %d late and %d lost programs, but the totals of the report are %d and %d",
			r.Name, late, lost, r.All.Late, r.All.Refused+r.All.Failed)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	return shares, nil
}

// causeOf returns the cause for programs that began at a time: the final fault if they may have been running then, otherwise the
// disruption that was in progress when they began, otherwise the next one after that. Planned operations are considered only if no
// disruption matches.
func (r *Report) causeOf(from float64) string {
	if cause, found := r.finalFault(from); found {
		return cause
	}
	if cause := r.nearest(from, false); cause != Unexplained {
		return cause
	}
	return r.nearest(from, true)
}

// finalFault returns the cause for programs affected by a final fault, and whether there is one. Programs that began in the last second
// before the fault count as begun in the outage: most of them would have ended after the fault as well, but they were lost to the
// outage.
func (r *Report) finalFault(from float64) (cause string, found bool) {
	for _, event := range r.Events {
		if !strings.HasPrefix(event.Kind, closingKind) {
			continue
		}
		switch {
		case from >= event.From-windowLength/2 && from < event.From+recovery:
			return Outage, true
		case from < event.From && from+longestRun >= event.From:
			return InFlight, true
		}
	}
	return "", false
}

// nearest returns the kind of the disruption, or of the planned operation, that was in progress at a time or began soonest after it. It
// returns Unexplained if there is none within longestRun.
func (r *Report) nearest(from float64, planned bool) string {
	best, bestWait := Unexplained, longestRun
	for _, event := range r.Events {
		if event.Planned != planned || strings.HasPrefix(event.Kind, closingKind) {
			continue
		}
		if strings.HasPrefix(event.Kind, configChangeKind) || strings.HasPrefix(event.Kind, lostAckKind) {
			continue // these do not affect clients
		}
		if wait := max(event.From-from, 0); from <= event.To && wait < bestWait {
			best, bestWait = event.Kind, wait
		}
	}
	return best
}
