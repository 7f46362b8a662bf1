package ejection

import (
	"sync"

	"otterseam/tier/control/state"
	"otterseam/tier/outlier"
)

// Ejector is the primary's outlier detector with the current ejections. Its state is not replicated: a new primary starts with an empty
// detector and ends each ejection of its predecessor at the latest one full duration after it became primary. Its methods may be called
// from any goroutine. Times are milliseconds of the caller's monotonic clock.
type Ejector struct {
	mu       sync.Mutex // guards the fields below; only the detector and the caller's fleet are called while it is held
	detector *outlier.Detector
	changed  bool             // a window was added since the last decision
	ends     map[string]int64 // end of the current ejections, by host ID
}

// New returns an ejector without observations or ejections.
func New() *Ejector {
	return &Ejector{detector: outlier.NewDetector(), ends: map[string]int64{}}
}

// Begin resets the ejector to the given current ejections, whose durations in milliseconds start now.
func (e *Ejector) Begin(durations map[string]int64, now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector = outlier.NewDetector()
	e.changed = false
	e.ends = map[string]int64{}
	for host, duration := range durations {
		e.ends[host] = now + duration
	}
}

// Observe adds the observations of a gateway.
func (e *Ejector) Observe(window outlier.Window, now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Add(window, now)
	e.changed = true
}

// Decide returns the hosts to eject, if observations were added since the last call, and the hosts whose ejections have ended.
func (e *Ejector) Decide(fleet func() outlier.Fleet, now int64) (eject []outlier.Ejection, ended []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for host, end := range e.ends {
		if now >= end {
			ended = append(ended, host)
			delete(e.ends, host)
		}
	}
	if !e.changed {
		return nil, ended
	}
	e.changed = false
	eject = e.detector.Decide(fleet(), now)
	for _, ejection := range eject {
		e.ends[ejection.Host] = now + ejection.DurationMS
	}
	return eject, ended
}

// FleetOf returns the listed hosts as the input of the detector.
func FleetOf(st *state.State) outlier.Fleet {
	fleet := outlier.Fleet{}
	for id, host := range st.Hosts() {
		fleet[host.Service] = append(fleet[host.Service], outlier.Host{ID: id, Zone: host.Zone})
	}
	return fleet
}
