package quotastoresim

import (
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// billing meters usage, and collects it in batches: a batch is asked for until it is there, and noted once by its number.
type billing struct {
	meters    map[string]*meter  // by holder and customer
	collected map[string]float64 // by customer
	batch     uint64             // the last one that was collected
	last      bool               // the next batch is the last
	done      bool               // it was collected
}

// meter is what a holder counted for a customer.
type meter struct{ acknowledged, sent float64 }

func newBilling() billing {
	return billing{meters: map[string]*meter{}, collected: map[string]float64{}}
}

func meterKey(holder, customer string) string { return holder + " " + customer }

// meter meters usage of a customer, whose name is the key of the command.
func (w *workload) meter(x *server, command statemachine.Command) {
	key := meterKey(command.Holder, command.Key)
	m := w.billing.meters[key]
	if m == nil {
		m = &meter{}
		w.billing.meters[key] = m
	}
	m.sent += w.randomUnits()
	command.Kind = statemachine.MeterUsage
	command.Amount = m.sent
	w.submit(x, command.Holder, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		if outcome == replication.Answered && reply.Code == statemachine.Done {
			m.acknowledged = max(m.acknowledged, command.Amount)
		}
	})
}

// collect asks all groups for the next batch, and goes on to do so.
func (w *workload) collect() {
	if w.over && w.billing.done {
		return
	}
	x := w.sim.randomServer()
	if x == nil {
		w.collectLater()
		return
	}
	batch := w.billing.batch + 1
	left := w.sim.config.Groups
	replies := make([]*statemachine.Reply, left)
	for group := range replies {
		w.collectGroup(x, group, batch, func(reply *statemachine.Reply) {
			replies[group] = reply
			if left--; left == 0 {
				w.collectedAll(batch, replies)
			}
		})
	}
}

func (w *workload) collectLater() {
	w.sim.queue.ScheduleAfter(w.sim.random.Uniform(0.2, 0.8), w.collect)
}

// collectedAll takes the replies of all groups for a batch; nil: a group's was not heard, and the batch is asked for again.
func (w *workload) collectedAll(batch uint64, replies []*statemachine.Reply) {
	for _, reply := range replies {
		if reply == nil {
			w.collectLater()
			return
		}
	}
	w.billing.batch = batch
	for _, reply := range replies {
		for _, u := range reply.Usage {
			w.billing.collected[u.Customer] += u.Units
		}
	}
	if w.billing.last {
		w.billing.done = true
		return
	}
	w.collectLater()
}

// collectGroup asks one group; then hears its reply, or nil where the answer was lost.
func (w *workload) collectGroup(x *server, group int, batch uint64, then func(*statemachine.Reply)) {
	over := false
	end := func(reply *statemachine.Reply) {
		if !over {
			over = true
			then(reply)
		}
	}
	c := w.newCall(func() { end(nil) })
	x.calls[c] = true
	command := statemachine.Command{Kind: statemachine.CollectUsage, Version: batch}
	w.send(x, group, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		delete(x.calls, c)
		isDone := outcome == replication.Answered && reply.Code == statemachine.Done
		if isDone && (w.billing.last || w.sim.random.Chance(answerHeard)) {
			end(&reply)
		} else {
			end(nil)
		}
	})
}

// judgeBilling wants what was acknowledged to be collected, and no more than was sent.
func (w *workload) judgeBilling(customer string) {
	v := w.sim.verdict
	acknowledged, sent := 0.0, 0.0
	for _, h := range w.holders {
		if m := w.billing.meters[meterKey(h.id, customer)]; m != nil {
			acknowledged += m.acknowledged
			sent += m.sent
		}
	}
	if !w.billing.done {
		v.notRecovered("the last batch of use was not handed out")
		return
	}
	collected := w.billing.collected[customer]
	if collected < acknowledged {
		v.lost("use of %s: %g promised, %g handed out", customer, acknowledged, collected)
	}
	if collected > sent {
		v.doubleCounted("use of %s: %g counted, %g handed out", customer, sent, collected)
	}
}
