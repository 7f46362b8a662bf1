package outage

import (
	"errors"
	"fmt"
	"slices"

	"otterseam/sim/batch"
)

const (
	faultKind       = "silent" // the fault of a day that silences its hosts
	baselineSeconds = 10       // most seconds before the outage over which the value served is averaged
	minStart        = 2        // seconds of a day before the outage
	maxServedShare  = 1e9      // bounds LeastServed where nothing was served before
	recoveredShare  = 0.95     // of the value served before, at which it counts as served again
)

// ErrNoOutage is returned for a run whose day has no outage, or one that leaves no time before or after it.
var ErrNoOutage = errors.New("a trouble of kind silent, from 2 s on and over before the day ends, is wanted")

// Measurement is what happened in the first outage of a run, and after it.
type Measurement struct {
	Day             string  `json:"day"`
	Decider         string  `json:"decider"`
	Seed            uint64  `json:"seed"`
	AttemptsBefore  float64 `json:"before"`     // a second, mean of the ten seconds before
	Attempts        float64 `json:"deliveries"` // in the outage
	Dials           float64 `json:"dials"`      // in the outage
	AttemptsAmid    float64 `json:"amid"`       // in the second six tenths into the outage
	RecoverySeconds int     `json:"back"`       // whole seconds after the outage until 95 % of the value served before is served
	LeastServed     float64 `json:"least"`      // in a second from then to the end, as a part of that before
	PeerMessages    float64 `json:"mail"`       // sent in the day, each counted for as many as received it
	NeverRecovered  bool    `json:"never_back"`
	Violations      int     `json:"breaks"` // of rules, in the whole day
}

// Measure measures the first outage of a run.
func Measure(run *batch.Run) (Measurement, error) {
	i := slices.IndexFunc(run.Faults, func(fault batch.Fault) bool { return fault.Kind == faultKind })
	if i < 0 || run.Faults[i].At < minStart || run.Faults[i].Ends+1 >= run.Length {
		return Measurement{}, fmt.Errorf("%s: %w", run.Day, ErrNoOutage)
	}
	from, to := int(run.Faults[i].At), int(run.Faults[i].Ends+0.5)
	begin := max(1, from-baselineSeconds)
	m := Measurement{Day: run.Day, Decider: run.Decider, Seed: run.Seed, Violations: run.ViolationCount, PeerMessages: run.PeerMessages}
	servedBefore := 0.0
	for _, second := range run.Seconds[begin:from] {
		m.AttemptsBefore += second.Attempts / float64(from-begin)
		servedBefore += second.Served / float64(from-begin)
	}
	for _, second := range run.Seconds[from:to] {
		m.Attempts += second.Attempts
		m.Dials += second.Dials
	}
	m.AttemptsAmid = run.Seconds[from+(to-from)*6/10].Attempts
	m.measureRecovery(run, to, servedBefore)
	return m, nil
}

// measureRecovery looks for the first second from which on the value served counts as served again.
func (m *Measurement) measureRecovery(run *batch.Run, from int, servedBefore float64) {
	end := min(len(run.Seconds), int(run.Length))
	m.RecoverySeconds = end - from
	m.NeverRecovered = true
	for at := from; at < end; at++ {
		if run.Seconds[at].Served < recoveredShare*servedBefore {
			continue
		}
		m.RecoverySeconds = at - from
		m.NeverRecovered = false
		m.LeastServed = maxServedShare
		for _, second := range run.Seconds[at:end] {
			m.LeastServed = min(m.LeastServed, second.Served/servedBefore)
		}
		return
	}
}
