package quotastoresim

import (
	"fmt"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// holder is a gateway that lets work in and reports its cost, or notes it as unreported, and meters usage for billing.
type holder struct {
	id       string
	accounts map[string]*account // by key of the counter
	gone     bool                // it has died, or its lease has expired
	version  uint64
}

// account is what a holder let in for one counter.
type account struct {
	letIn        float64 // in total
	acknowledged float64 // the most of it that was acknowledged
	sent         float64 // the most of it that was sent
}

func (h *holder) account(key string) *account {
	a := h.accounts[key]
	if a == nil {
		a = &account{}
		h.accounts[key] = a
	}
	return a
}

// beginHolder has a holder live for a time, and another one after it.
func (w *workload) beginHolder(i int) {
	if w.over {
		return
	}
	s := w.sim
	h := &holder{id: fmt.Sprintf("edge-%d/%d", i, len(w.holders)), accounts: map[string]*account{}}
	w.holders = append(w.holders, h)
	s.queue.ScheduleAfter(s.random.Uniform(2, 8), func() {
		h.gone = true // dies with all that it knew
		s.queue.ScheduleAfter(s.random.Uniform(0, 1), func() { w.beginHolder(i) })
	})
	w.keepReporting(h)
}

func (w *workload) keepReporting(h *holder) {
	s := w.sim
	if h.gone || w.over {
		return
	}
	s.queue.ScheduleAfter(s.random.Uniform(0.05, 0.5), func() { w.keepReporting(h) })
	x := s.randomServer()
	if x == nil {
		return
	}
	key := planKey(s.random.IntN(planCount))
	account := h.account(key)
	h.version++
	command := statemachine.Command{Key: key, Holder: h.id, Version: h.version, TTL: counterTTL}
	switch s.random.IntN(4) {
	case 0:
		w.recordUnreported(x, h, account, command)
	case 1:
		w.meter(x, command)
	default:
		w.report(x, h, account, command)
	}
}

func (w *workload) randomUnits() float64 { return float64(1 + w.sim.random.IntN(maxUnits)) }

// recordUnreported notes what was let in while the counter was away.
func (w *workload) recordUnreported(x *server, h *holder, a *account, command statemachine.Command) {
	a.letIn += w.randomUnits()
	command.Kind = statemachine.RecordUnreported
	command.Amount = a.letIn
	w.submitAccount(x, h.id, h, a, command)
}

// report reports what was let in, with concurrency slots that are reserved.
func (w *workload) report(x *server, h *holder, a *account, command statemachine.Command) {
	a.letIn += w.randomUnits()
	command.Kind = statemachine.ReportUsage
	command.Reserved = float64(reservedUnits * w.sim.random.IntN(3))
	command.Amount = a.letIn + command.Reserved
	w.submitAccount(x, command.Key, h, a, command)
}

func (w *workload) submitAccount(x *server, routingKey string, h *holder, a *account, command statemachine.Command) {
	sent := a.letIn
	a.sent = sent
	w.submit(x, routingKey, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		if h.gone || outcome != replication.Answered {
			return // nobody heard
		}
		switch reply.Code {
		case statemachine.Done:
			a.acknowledged = max(a.acknowledged, sent)
		case statemachine.LeaseExpired:
			h.gone = true // though it lives: it would go on under another name
		default:
		}
	})
}

// judgePlan wants each holder to have what was acknowledged and no more than it sent, and the total to be the sum of that.
func (w *workload) judgePlan(key string, s *statemachine.State) {
	v := w.sim.verdict
	sum := 0.0
	for _, h := range w.holders {
		a := h.accounts[key]
		if a == nil {
			continue
		}
		held := s.HolderTotal(key, h.id)
		sum += held
		if held < a.acknowledged {
			v.lost("%s: %s was promised %g and has %g", key, h.id, a.acknowledged, held)
		}
		if held > a.sent {
			v.doubleCounted("%s: %s told of %g and has %g", key, h.id, a.sent, held)
		}
	}
	if total, ok := s.Total(key); ok && total > sum {
		v.doubleCounted("%s: holders have %g, the total is %g", key, sum, total)
	} else if ok && total < sum {
		v.lost("%s: holders have %g, the total is %g", key, sum, total)
	}
}
