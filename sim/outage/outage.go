package outage

import (
	"errors"
	"fmt"
	"slices"

	"otterseam/sim/batch"
)

const (
	faultKind       = "silent" // the fault of a day that silences its hosts
	baselineSeconds = 10       // longest period before the outage over which the value served is averaged
	minStart        = 2        // earliest start of the outage, in seconds
	maxServedShare  = 1e9      // limits LeastServed if nothing was served before
	recoveredShare  = 0.95     // fraction of the value served before that counts as recovered
)

// ErrNoOutage is returned for a run whose day has no outage, or has one with no time before or after it.
var ErrNoOutage = errors.New("the first trouble of kind silent must start at 2 s or later and end before the day does")

// Measurement holds the measurements of the first outage of a run.
type Measurement struct {
	Day             string  `json:"day"`
	Decider         string  `json:"decider"`
	Seed            uint64  `json:"seed"`
	AttemptsBefore  float64 `json:"before"`     // attempts a second, mean of the ten seconds before the outage
	Attempts        float64 `json:"deliveries"` // during the outage
	Dials           float64 `json:"dials"`      // during the outage
	AttemptsAmid    float64 `json:"amid"`       // in the one second that begins after six tenths of the outage
	RecoverySeconds int     `json:"back"`       // seconds after the outage until a second with 95 % of the value served before
	LeastServed     float64 `json:"least"`      // lowest value served in a second from the recovery on, relative to that before
	PeerMessages    float64 `json:"mail"`       // sent in the whole day, counted once for each receiver
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

// measureRecovery finds the first second in which the value served has recovered, and the lowest value served from then on.
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
