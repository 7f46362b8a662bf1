package quotastoresim

import (
	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// billing meters usage and collects it in numbered batches. A batch is requested until all groups have replied, and then counted
// once.
type billing struct {
	meters    map[string]*meter  // by meterKey
	collected map[string]float64 // by customer
	batch     uint64             // the number of the last collected batch
	final     bool               // the next batch is the last one
	done      bool               // the last batch was collected
}

// meter is the total usage that a holder has metered for a customer.
type meter struct{ acknowledged, sent float64 }

func newBilling() billing {
	return billing{meters: map[string]*meter{}, collected: map[string]float64{}}
}

func meterKey(holder, customer string) string { return holder + " " + customer }

// meter meters usage of a customer. The key of the command is the name of the customer.
func (w *workload) meter(srv *server, command statemachine.Command) {
	key := meterKey(command.Holder, command.Key)
	m := w.billing.meters[key]
	if m == nil {
		m = &meter{}
		w.billing.meters[key] = m
	}
	m.sent += w.randomUnits()
	command.Kind = statemachine.MeterUsage
	command.Amount = m.sent
	w.submit(srv, command.Holder, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		if outcome == replication.Answered && reply.Code == statemachine.Done {
			m.acknowledged = max(m.acknowledged, command.Amount)
		}
	})
}

// collect requests the next batch from all groups, and repeats until the last batch was collected.
func (w *workload) collect() {
	if w.stopped && w.billing.done {
		return
	}
	srv := w.sim.randomServer()
	if srv == nil {
		w.scheduleCollect()
		return
	}
	batch := w.billing.batch + 1
	left := w.sim.config.Groups
	replies := make([]*statemachine.Reply, left)
	for group := range replies {
		w.collectGroup(srv, group, batch, func(reply *statemachine.Reply) {
			replies[group] = reply
			if left--; left == 0 {
				w.handleReplies(batch, replies)
			}
		})
	}
}

func (w *workload) scheduleCollect() {
	w.sim.queue.ScheduleAfter(w.sim.random.Uniform(0.2, 0.8), w.collect)
}

// handleReplies counts the replies of all groups for a batch. If a reply is nil, which means that it was lost, the batch is requested
// again.
func (w *workload) handleReplies(batch uint64, replies []*statemachine.Reply) {
	for _, reply := range replies {
		if reply == nil {
			w.scheduleCollect()
			return
		}
	}
	w.billing.batch = batch
	for _, reply := range replies {
		for _, u := range reply.Usage {
			w.billing.collected[u.Customer] += u.Units
		}
	}
	if w.billing.final {
		w.billing.done = true
		return
	}
	w.scheduleCollect()
}

// collectGroup requests a batch from one group. It calls onReply with the reply, or with nil if the reply was lost.
func (w *workload) collectGroup(srv *server, group int, batch uint64, onReply func(*statemachine.Reply)) {
	ended := false
	end := func(reply *statemachine.Reply) {
		if !ended {
			ended = true
			onReply(reply)
		}
	}
	c := w.newCall(func() { end(nil) })
	srv.calls[c] = true
	command := statemachine.Command{Kind: statemachine.CollectUsage, Version: batch}
	w.send(srv, group, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		delete(srv.calls, c)
		succeeded := outcome == replication.Answered && reply.Code == statemachine.Done
		if succeeded && (w.billing.final || w.sim.random.Chance(replyReceivedChance)) {
			end(&reply)
		} else {
			end(nil)
		}
	})
}

// checkBilling checks that the collected usage of a customer is at least what was acknowledged and at most what was sent.
func (w *workload) checkBilling(customer string) {
	v := w.sim.verdict
	acknowledged, sent := 0.0, 0.0
	for _, h := range w.holders {
		if m := w.billing.meters[meterKey(h.id, customer)]; m != nil {
			acknowledged += m.acknowledged
			sent += m.sent
		}
	}
	if !w.billing.done {
		v.addNotRecovered("the last batch of usage was not collected")
		return
	}
	collected := w.billing.collected[customer]
	if collected < acknowledged {
		v.addLost("usage of %s: %g acknowledged, %g collected", customer, acknowledged, collected)
	}
	if collected > sent {
		v.addDoubleCounted("usage of %s: %g sent, %g collected", customer, sent, collected)
	}
}
