package fleet

import (
	"slices"
	"strings"

	"otterseam/harness/sockets"
	"otterseam/sim/scenario"
	"otterseam/sim/simulation"
)

// pendingFault is a fault that waits for an event.
type pendingFault struct {
	number     int // index in the script
	fault      *scenario.ProcessFault
	gateways   []int // api gateways whose events count
	eventCount int   // events so far
	done       bool
}

// Begin schedules the faults that have a time, and registers those that wait for an event.
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
		gateways, _ := scenario.ParseNumbers(fault.EventGateways, f.script.Fleet.Gateways.Int()) // checked when the script was read
		f.pending = append(f.pending, &pendingFault{number: i, fault: fault, gateways: gateways})
	}
	f.logs.start(f)
}

// isAwaited reports whether a fault waits for an event.
func (f *injector) isAwaited(event string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.awaited[event]
}

// EventSeen immediately injects the faults that wait for an event, so that they are in force before any effect of the event.
func (f *injector) EventSeen(event string, gateway int) { f.handleEvent(event, gateway, "") }

// handleEvent is EventSeen with the text of a log line, which is "" for other events.
func (f *injector) handleEvent(event string, gateway int, line string) {
	if f.world == nil {
		return
	}
	for _, pending := range f.pending {
		if !pending.matches(event, gateway, line) {
			continue
		}
		pending.eventCount++
		if pending.eventCount < pending.fault.Count.Int() {
			continue
		}
		pending.done = true
		if delay := pending.fault.At.Float(); delay > 0 {
			f.world.Queue.ScheduleAfter(delay, func() { f.inject(pending.number, pending.fault) })
		} else {
			f.inject(pending.number, pending.fault)
		}
	}
}

// matches reports whether an event counts towards the trigger of the fault.
func (p *pendingFault) matches(event string, gateway int, line string) bool {
	if p.done || p.fault.On != event || !slices.Contains(p.gateways, gateway) {
		return false
	}
	return event != "log" || strings.Contains(line, p.fault.Text)
}
