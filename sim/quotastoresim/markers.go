package quotastoresim

import (
	"fmt"
	"slices"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// markers are invocations that must not run twice, and come to several gateways.
type markers struct {
	invocations int
	letThrough  map[string][]string // holders whose delivery was let through, by invocation
}

func (w *workload) keepMarking() {
	if w.over {
		return
	}
	s := w.sim
	s.queue.ScheduleAfter(s.random.Uniform(0.1, 0.5), w.keepMarking)
	w.markers.invocations++
	invocation := fmt.Sprintf("ref-%d", w.markers.invocations)
	for i := range 1 + s.random.IntN(maxDeliveries) {
		s.queue.ScheduleAfter(s.random.Uniform(0, 3), func() { w.deliver(invocation, fmt.Sprintf("edge-%d", i)) })
	}
}

// deliver asks whether a gateway may deliver an invocation.
func (w *workload) deliver(invocation, holder string) {
	x := w.sim.randomServer()
	if x == nil {
		return
	}
	command := statemachine.Command{Kind: statemachine.AcquireMarker, Key: invocation, Holder: holder, TTL: markerTTL}
	w.submit(x, invocation, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		if outcome == replication.Answered && reply.Code == statemachine.Done {
			w.markers.letThrough[invocation] = append(w.markers.letThrough[invocation], holder)
		}
	})
}

// judge wants one delivery of each invocation at most.
func (m *markers) judge(v *Verdict) {
	for invocation, holders := range m.letThrough {
		if len(holders) > 1 {
			v.DuplicateEffects = append(v.DuplicateEffects, fmt.Sprintf("%s was let through by %v", invocation, holders))
		}
	}
	slices.Sort(v.DuplicateEffects)
}
