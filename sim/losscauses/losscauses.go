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

// Report is what of a play's report is read.
type Report struct {
	Name    string
	All     Count    `json:"all"`
	Windows []Window `json:"windows"`
	Events  []Event  `json:"events"`
}

// Count is what became of programs.
type Count struct {
	Asked   int `json:"n"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// Window is the programs that began in some seconds.
type Window struct {
	Name string `json:"name"` // its first second
	// MedianMS is how long half of the programs took at most, 0 if the report doesn't tell.
	MedianMS float64 `json:"p50_ms"`
	Count
}

// Event is a disruption or planned work.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	// Planned work is a cause only where no disruption is.
	Planned bool `json:"planned"`
}

// ErrNoReport says that a file is no report of a play. Errors of Parse wrap it.
var ErrNoReport = errors.New("is no report of a play")

// Parse reads a report.
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

// windowLength is how many seconds a report's windows are long.
const windowLength = 2.0

// Prefixes of the kinds of events, as the report of a play has them.
const (
	closingKind      = "closing" // the final fault
	configChangeKind = "config_change"
	lostAckKind      = "ack_lost"
)

const (
	// longestRun is how long programs last at most, in seconds, as far as most of them are concerned: one that began so long before
	// a disruption may have been lost to it.
	longestRun = 8.0
	// recovery is how long after a final fault programs that begin may still wait for the tier.
	recovery = 2.5
	// overloadFactor is by how much longer programs take in an overloaded window than in a calm one.
	overloadFactor = 1.15
	// calmShare is the share of the windows, those with the shortest programs, that count as calm.
	calmShare = 0.25
)

const (
	// InFlight is the cause of programs that were running when the final fault struck.
	InFlight = "in flight at the final fault"
	// Outage is the cause of programs that began in the outage after the final fault.
	Outage = "began in the outage after the final fault"
	// Overload is the cause of programs that no disruption was near and that took longer than those of calm seconds: hosts had more to
	// do than they could at once.
	Overload = "overload"
	// Unexplained is the cause of programs that no disruption was near.
	Unexplained = "unexplained"
)

// Share is what one cause took.
type Share struct {
	Cause string
	Late  int
	Lost  int // failed or refused
}

// Shares attributes the programs that were late or lost, the cause with most lost ones first.
func (r *Report) Shares() ([]Share, error) {
	byCause := map[string]*Share{}
	calm := r.calmMedian()
	for _, window := range r.Windows {
		if window.Late+window.Refused+window.Failed == 0 {
			continue
		}
		from, err := strconv.ParseFloat(window.Name, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: window %q is no second", r.Name, window.Name)
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
	return r.checked(byCause)
}

// calmMedian is how long half of the programs take at most in calm seconds, in milliseconds; infinite if the report doesn't tell.
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

// checked orders the shares and sees that they add up to what the report counts.
func (r *Report) checked(byCause map[string]*Share) ([]Share, error) {
	var shares []Share
	late, lost := 0, 0
	for _, each := range byCause {
		shares = append(shares, *each)
		late += each.Late
		lost += each.Lost
	}
	if late != r.All.Late || lost != r.All.Refused+r.All.Failed {
		return nil, fmt.Errorf("%s: windows hold %d late and %d lost programs, the report counts %d and %d",
			r.Name, late, lost, r.All.Late, r.All.Refused+r.All.Failed)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	return shares, nil
}

// causeOf names the disruption that programs which began at a second ran into: the final fault if they may have lived until then,
// else what was under way when they began, else what came soonest after; planned work only where there is none.
func (r *Report) causeOf(from float64) string {
	if cause, found := r.finalFault(from); found {
		return cause
	}
	if cause := r.nearest(from, false); cause != Unexplained {
		return cause
	}
	return r.nearest(from, true)
}

// finalFault is the cause of programs that a final fault met. Most of those that began in the last second before it would have ended
// after it as well, but the outage is what they were lost to.
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

// nearest is the disruption, or the planned work, that was under way at a second or came soonest after.
func (r *Report) nearest(from float64, planned bool) string {
	best, bestWait := Unexplained, longestRun
	for _, event := range r.Events {
		if event.Planned != planned || strings.HasPrefix(event.Kind, closingKind) {
			continue
		}
		if strings.HasPrefix(event.Kind, configChangeKind) || strings.HasPrefix(event.Kind, lostAckKind) {
			continue // nothing that clients meet
		}
		if wait := max(event.From-from, 0); from <= event.To && wait < bestWait {
			best, bestWait = event.Kind, wait
		}
	}
	return best
}
