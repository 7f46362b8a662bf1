package quotastoresim

import (
	"fmt"
	"slices"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

const (
	responseDelay = 0.0005 // seconds until a response reaches its client

	adderCount          = 3
	holderCount         = 2 // that run at once
	counterCount        = 2 // that adders add to
	planCount           = 2 // counters that holders report to
	maxAmount           = 9 // of an add
	maxUnits            = 5 // of usage that is admitted at once
	counterTTL          = 60.0
	reservedUnits       = 1000 // of a concurrency slot
	markerTTL           = 30.0
	maxDeliveries       = 3   // of an invocation
	replyReceivedChance = 0.8 // of a group's reply to the collection of usage
)

// workload simulates clients and records the results that they receive.
type workload struct {
	sim     *simulation
	stopped bool // no new commands are submitted
	calls   int  // number of calls so far

	adds    counterHistory
	holders []*holder
	markers markers
	billing billing
}

// call is a client's call in flight.
type call struct {
	number         int
	connectionLost func()
}

// responseHandler handles the outcome of a command and the reply to it.
type responseHandler func(outcome replication.Outcome, reply statemachine.Reply)

func newWorkload(s *simulation) *workload {
	w := &workload{sim: s, adds: counterHistory{}, markers: markers{granted: map[string][]string{}}, billing: newBilling()}
	for i := range adderCount {
		s.queue.ScheduleAfter(0.8+0.01*float64(i), func() { w.runAdder(i) })
	}
	for i := range holderCount {
		s.queue.ScheduleAfter(0.8, func() { w.startHolder(i) })
	}
	s.queue.ScheduleAfter(1, w.runInvocations)
	s.queue.ScheduleAfter(1, w.collect)
	return w
}

func (w *workload) newCall(connectionLost func()) *call {
	w.calls++
	return &call{number: w.calls, connectionLost: connectionLost}
}

// callsInOrder returns the calls in flight at a server, the oldest first.
func (srv *server) callsInOrder() []*call {
	var all []*call
	for c := range srv.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *call) int { return a.number - b.number })
	return all
}

// submit submits a client's command to a server. It calls onResponse with the result, whose outcome is unknown if the connection is
// lost.
func (w *workload) submit(srv *server, routingKey string, command statemachine.Command, onResponse responseHandler) {
	var c *call
	ended := false
	end := func(outcome replication.Outcome, reply statemachine.Reply) {
		if ended {
			return
		}
		ended = true
		delete(srv.calls, c)
		w.count(outcome)
		onResponse(outcome, reply)
	}
	c = w.newCall(func() { end(replication.Unknown, statemachine.Reply{}) })
	srv.calls[c] = true
	w.send(srv, srv.node.GroupOf(routingKey), command, end)
}

// send has a server execute a command. The response is lost if the process of the server ends first.
func (w *workload) send(srv *server, group int, command statemachine.Command, onResponse responseHandler) {
	s := w.sim
	process := srv.process
	s.execute(srv, func() {
		srv.node.Submit(group, command, func(outcome replication.Outcome, reply statemachine.Reply) {
			s.queue.ScheduleAfter(responseDelay, func() {
				if srv.process == process {
					onResponse(outcome, reply)
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

// finalCalls makes the next batch of usage the last one and reads each counter once more, after the groups have recovered.
func (w *workload) finalCalls() {
	w.billing.final = true
	for i := range counterCount {
		if srv := w.sim.randomServer(); srv != nil {
			w.add(srv, counterKey(i), 0, func() {})
		}
	}
}

func counterKey(i int) string { return fmt.Sprintf("count-%d", i) }

func planKey(i int) string { return fmt.Sprintf("plan-%d", i) }

// check checks the results that clients received against the states of the groups.
func (w *workload) check(state func(key string) *statemachine.State) {
	w.adds.check(w.sim.verdict)
	for i := range planCount {
		if s := state(planKey(i)); s != nil {
			w.checkPlan(planKey(i), s)
		}
	}
	w.markers.check(w.sim.verdict)
	for i := range planCount {
		w.checkBilling(planKey(i))
	}
}
