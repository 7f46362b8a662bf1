package quotastoresim

import (
	"fmt"
	"slices"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// markers tracks invocations that must run at most once and that are delivered to several gateways.
type markers struct {
	invocations int
	granted     map[string][]string // holders that were granted the marker, by invocation
}

// runInvocations creates invocations at random intervals and delivers each to one or more gateways.
func (w *workload) runInvocations() {
	if w.stopped {
		return
	}
	s := w.sim
	s.queue.ScheduleAfter(s.random.Uniform(0.1, 0.5), w.runInvocations)
	w.markers.invocations++
	invocation := fmt.Sprintf("ref-%d", w.markers.invocations)
	for i := range 1 + s.random.IntN(maxDeliveries) {
		s.queue.ScheduleAfter(s.random.Uniform(0, 3), func() { w.deliver(invocation, fmt.Sprintf("edge-%d", i)) })
	}
}

// deliver acquires the marker of an invocation for a gateway, which may run the invocation if it is granted.
func (w *workload) deliver(invocation, holder string) {
	srv := w.sim.randomServer()
	if srv == nil {
		return
	}
	command := statemachine.Command{Kind: statemachine.AcquireMarker, Key: invocation, Holder: holder, TTL: markerTTL}
	w.submit(srv, invocation, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		if outcome == replication.Answered && reply.Code == statemachine.Done {
			w.markers.granted[invocation] = append(w.markers.granted[invocation], holder)
		}
	})
}

// check checks that the marker of each invocation was granted at most once.
func (m *markers) check(v *Verdict) {
	for invocation, holders := range m.granted {
		if len(holders) > 1 {
			v.DuplicateEffects = append(v.DuplicateEffects, fmt.Sprintf("%s was granted to %v", invocation, holders))
		}
	}
	slices.Sort(v.DuplicateEffects)
}
