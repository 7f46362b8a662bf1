package quotastoresim

import (
	"fmt"
	"slices"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

const (
	answerDelay = 0.0005 // seconds on the way back to a client

	adderCount    = 3
	holderCount   = 2 // that live at once
	counterCount  = 2 // that adders add to
	planCount     = 2 // counters that holders report to
	maxAmount     = 9 // of an add
	maxUnits      = 5 // of usage that is let in at once
	counterTTL    = 60.0
	reservedUnits = 1000 // of a concurrency slot
	markerTTL     = 30.0
	maxDeliveries = 3 // of an invocation
	answerHeard   = 0.8
)

// workload is what clients ask for, and what they were told.
type workload struct {
	sim   *simulation
	over  bool // nothing new is asked for
	calls int

	adds    counterHistory
	holders []*holder
	markers markers
	billing billing
}

// call is one of a client, in flight.
type call struct {
	number         int
	connectionLost func()
}

// answered hears what a client was told.
type answered func(outcome replication.Outcome, reply statemachine.Reply)

func newWorkload(s *simulation) *workload {
	w := &workload{sim: s, adds: counterHistory{}, markers: markers{letThrough: map[string][]string{}}, billing: newBilling()}
	for i := range adderCount {
		s.queue.ScheduleAfter(0.8+0.01*float64(i), func() { w.keepAdding(i) })
	}
	for i := range holderCount {
		s.queue.ScheduleAfter(0.8, func() { w.beginHolder(i) })
	}
	s.queue.ScheduleAfter(1, w.keepMarking)
	s.queue.ScheduleAfter(1, w.collect)
	return w
}

func (w *workload) newCall(connectionLost func()) *call {
	w.calls++
	return &call{number: w.calls, connectionLost: connectionLost}
}

// callsInOrder returns the calls in flight at a server.
func (x *server) callsInOrder() []*call {
	var all []*call
	for c := range x.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *call) int { return a.number - b.number })
	return all
}

// submit has a server execute a command for a client; then hears of the answer, or that the connection broke.
func (w *workload) submit(x *server, routingKey string, command statemachine.Command, then answered) {
	var c *call
	over := false
	end := func(outcome replication.Outcome, reply statemachine.Reply) {
		if over {
			return
		}
		over = true
		delete(x.calls, c)
		w.count(outcome)
		then(outcome, reply)
	}
	c = w.newCall(func() { end(replication.Unknown, statemachine.Reply{}) })
	x.calls[c] = true
	w.send(x, x.node.GroupOf(routingKey), command, end)
}

// send has a server execute a command; its answer is lost with its process.
func (w *workload) send(x *server, group int, command statemachine.Command, then answered) {
	s := w.sim
	process := x.process
	s.execute(x, func() {
		x.node.Submit(group, command, func(outcome replication.Outcome, reply statemachine.Reply) {
			s.queue.ScheduleAfter(answerDelay, func() {
				if x.process == process {
					then(outcome, reply)
				}
			})
		})
	})
}

func (w *workload) count(outcome replication.Outcome) {
	switch outcome {
	case replication.Answered:
		w.sim.verdict.Answered++
	case replication.Rejected:
		w.sim.verdict.Rejected++
	default:
		w.sim.verdict.Unknown++
	}
}

// lastCalls asks once more for everything, after all has settled.
func (w *workload) lastCalls() {
	w.billing.last = true
	for i := range counterCount {
		if x := w.sim.randomServer(); x != nil {
			w.add(x, counterKey(i), 0, func() {})
		}
	}
}

func counterKey(i int) string { return fmt.Sprintf("count-%d", i) }

func planKey(i int) string { return fmt.Sprintf("plan-%d", i) }

// judge judges what clients were told by the states of the groups.
func (w *workload) judge(state func(key string) *statemachine.State) {
	w.adds.judge(w.sim.verdict)
	for i := range planCount {
		if s := state(planKey(i)); s != nil {
			w.judgePlan(planKey(i), s)
		}
	}
	w.markers.judge(w.sim.verdict)
	for i := range planCount {
		w.judgeBilling(planKey(i))
	}
}
