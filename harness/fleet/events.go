package fleet

import (
	"slices"
	"strings"

	"otterseam/harness/sockets"
	"otterseam/sim/scenario"
	"otterseam/sim/simulation"
)

// waitingFault is a fault that waits for an event.
type waitingFault struct {
	number int // in the script
	fault  *scenario.ProcessFault
	by     []int // api gateways whose events count
	seen   int   // events so far
	done   bool
}

// Begin schedules the faults that come at a time, and has the others wait for their events.
func (f *injector) Begin(w *simulation.Simulation, g *sockets.Gateways) {
	awaited := map[string]bool{}
	for i := range f.script.ProcessFaults {
		awaited[f.script.ProcessFaults[i].On] = true
	}
	f.mu.Lock()
	f.world = w
	f.gateways = g
	f.awaited = awaited
	f.mu.Unlock()
	for i := range f.script.ProcessFaults {
		fault := &f.script.ProcessFaults[i]
		if fault.On == "" {
			w.Queue.ScheduleAfter(fault.At.Float(), func() { f.inject(i, fault) })
			continue
		}
		by, _ := scenario.ParseNumbers(fault.EventGateways, f.script.Fleet.Gateways.Int()) // the reader has checked it
		f.waiting = append(f.waiting, &waitingFault{number: i, fault: fault, by: by})
	}
	f.logs.begin(f)
}

// isAwaited says whether a fault waits for an event.
func (f *injector) isAwaited(event string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.awaited[event]
}

// EventSeen injects the faults that wait for an event at once, so that they are in force before what follows from it.
func (f *injector) EventSeen(event string, gateway int) { f.event(event, gateway, "") }

// event is EventSeen with the text of a log line.
func (f *injector) event(event string, gateway int, line string) {
	if f.world == nil {
		return
	}
	for _, waiting := range f.waiting {
		if !waiting.matches(event, gateway, line) {
			continue
		}
		waiting.seen++
		if waiting.seen < waiting.fault.Count.Int() {
			continue
		}
		waiting.done = true
		if delay := waiting.fault.At.Float(); delay > 0 {
			f.world.Queue.ScheduleAfter(delay, func() { f.inject(waiting.number, waiting.fault) })
		} else {
			f.inject(waiting.number, waiting.fault)
		}
	}
}

// matches says whether an event counts for the fault.
func (w *waitingFault) matches(event string, gateway int, line string) bool {
	if w.done || w.fault.On != event || !slices.Contains(w.by, gateway) {
		return false
	}
	return event != "log" || strings.Contains(line, w.fault.Text)
}
