package ejection

import (
	"sync"

	"otterseam/tier/control/state"
	"otterseam/tier/outlier"
)

// Ejector is the primary's detector of outliers with the ejections that are in force. What it knows is its own: a new primary begins
// anew, and what it finds decided lapses after its term at the latest. Its methods may be called from any goroutine; times are those
// of the caller's steady clock, in milliseconds.
type Ejector struct {
	mu       sync.Mutex // guards what follows; nothing is called under it but the detector and the caller's fleet
	detector *outlier.Detector
	changed  bool             // a window has come since the last decision
	ends     map[string]int64 // when the terms of ejected hosts end, by id
}

// New makes an ejector that has seen nothing.
func New() *Ejector {
	return &Ejector{detector: outlier.NewDetector(), ends: map[string]int64{}}
}

// Begin starts anew, with the terms in milliseconds that are in force.
func (e *Ejector) Begin(terms map[string]int64, now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector = outlier.NewDetector()
	e.changed = false
	e.ends = map[string]int64{}
	for host, term := range terms {
		e.ends[host] = now + term
	}
}

// Observe adds what a gateway saw.
func (e *Ejector) Observe(window outlier.Window, now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Add(window, now)
	e.changed = true
}

// Decide returns the hosts to eject, if anything has come since the last time, and those whose terms have ended.
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

// FleetOf is what the detector has to know of the hosts on the list.
func FleetOf(st *state.State) outlier.Fleet {
	fleet := outlier.Fleet{}
	for id, host := range st.Hosts() {
		fleet[host.Service] = append(fleet[host.Service], outlier.Host{ID: id, Zone: host.Zone})
	}
	return fleet
}
