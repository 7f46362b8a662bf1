package quotastoresim

import (
	"fmt"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

// holder is a gateway that admits requests, reports their cost or records it as unreported, and meters usage for billing.
type holder struct {
	id       string
	accounts map[string]*account // by counter key
	gone     bool                // its process has ended or its lease has expired
	version  uint64
}

// account is the usage that a holder has admitted for one counter.
type account struct {
	admitted     float64 // total
	acknowledged float64 // the highest total that was acknowledged
	sent         float64 // the last total that was sent
}

func (h *holder) account(key string) *account {
	a := h.accounts[key]
	if a == nil {
		a = &account{}
		h.accounts[key] = a
	}
	return a
}

// startHolder runs a holder for a random time and then starts another one.
func (w *workload) startHolder(i int) {
	if w.stopped {
		return
	}
	s := w.sim
	h := &holder{id: fmt.Sprintf("edge-%d/%d", i, len(w.holders)), accounts: map[string]*account{}}
	w.holders = append(w.holders, h)
	s.queue.ScheduleAfter(s.random.Uniform(2, 8), func() {
		h.gone = true // its process ends and loses its state
		s.queue.ScheduleAfter(s.random.Uniform(0, 1), func() { w.startHolder(i) })
	})
	w.runHolder(h)
}

// runHolder submits random commands of a holder at random intervals until the holder or the workload ends.
func (w *workload) runHolder(h *holder) {
	s := w.sim
	if h.gone || w.stopped {
		return
	}
	s.queue.ScheduleAfter(s.random.Uniform(0.05, 0.5), func() { w.runHolder(h) })
	srv := s.randomServer()
	if srv == nil {
		return
	}
	key := planKey(s.random.IntN(planCount))
	account := h.account(key)
	h.version++
	command := statemachine.Command{Key: key, Holder: h.id, Version: h.version, TTL: counterTTL}
	switch s.random.IntN(4) {
	case 0:
		w.recordUnreported(srv, h, account, command)
	case 1:
		w.meter(srv, command)
	default:
		w.report(srv, h, account, command)
	}
}

func (w *workload) randomUnits() float64 { return float64(1 + w.sim.random.IntN(maxUnits)) }

// recordUnreported records usage that was admitted while the counter was unavailable.
func (w *workload) recordUnreported(srv *server, h *holder, a *account, command statemachine.Command) {
	a.admitted += w.randomUnits()
	command.Kind = statemachine.RecordUnreported
	command.Amount = a.admitted
	w.submitAccount(srv, h.id, h, a, command)
}

// report reports admitted usage together with reserved concurrency slots.
func (w *workload) report(srv *server, h *holder, a *account, command statemachine.Command) {
	a.admitted += w.randomUnits()
	command.Kind = statemachine.ReportUsage
	command.Reserved = float64(reservedUnits * w.sim.random.IntN(3))
	command.Amount = a.admitted + command.Reserved
	w.submitAccount(srv, command.Key, h, a, command)
}

func (w *workload) submitAccount(srv *server, routingKey string, h *holder, a *account, command statemachine.Command) {
	sent := a.admitted
	a.sent = sent
	w.submit(srv, routingKey, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		if h.gone || outcome != replication.Answered {
			return // the holder received no answer
		}
		switch reply.Code {
		case statemachine.Done:
			a.acknowledged = max(a.acknowledged, sent)
		case statemachine.LeaseExpired:
			h.gone = true // its process still runs, but would have to continue under a new ID
		default:
		}
	})
}

// checkPlan checks that the stored total of each holder is at least what was acknowledged and at most what was sent, and that the
// counter's total is the sum of its holders' totals.
func (w *workload) checkPlan(key string, s *statemachine.State) {
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
			v.addLost("%s: holder %s: %g acknowledged, %g stored", key, h.id, a.acknowledged, held)
		}
		if held > a.sent {
			v.addDoubleCounted("%s: holder %s: %g sent, %g stored", key, h.id, a.sent, held)
		}
	}
	if total, ok := s.Total(key); ok && total > sum {
		v.addDoubleCounted("%s: holders have %g, the total is %g", key, sum, total)
	} else if ok && total < sum {
		v.addLost("%s: holders have %g, the total is %g", key, sum, total)
	}
}
