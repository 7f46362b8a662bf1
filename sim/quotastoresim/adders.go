package quotastoresim

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

const (
	nanosecondsPerSecond = 1e9
	checkTimeout         = 3 * time.Second // of the linearizability check of one history
)

// counterHistory holds the adds to counters and their results, by key.
type counterHistory map[string][]porcupine.Operation

// addResult is the result of an add. The total is unset if the result is not known.
type addResult struct {
	total float64
	known bool
}

// counterModel is the sequential specification of a counter.
var counterModel = porcupine.Model{
	Init: func() any { return 0.0 },
	Step: func(state, input, output any) (bool, any) {
		total, result := state.(float64)+input.(float64), output.(addResult)
		return !result.known || total == result.total, total
	},
}

// runAdder adds to random counters at random intervals until the workload stops.
func (w *workload) runAdder(adder int) {
	if w.stopped {
		return
	}
	s := w.sim
	srv := s.randomServer()
	next := func() { s.queue.ScheduleAfter(s.random.Uniform(0.05, 0.4), func() { w.runAdder(adder) }) }
	if srv == nil {
		next()
		return
	}
	w.add(srv, counterKey(s.random.IntN(counterCount)), float64(1+s.random.IntN(maxAmount)), next)
}

func (w *workload) add(srv *server, key string, amount float64, next func()) {
	started := w.sim.queue.Now()
	command := statemachine.Command{Kind: statemachine.Add, Key: key, Amount: amount, TTL: counterTTL}
	w.submit(srv, key, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		if outcome != replication.Rejected {
			w.adds.record(key, amount, started, w.sim.queue.Now(), outcome, reply)
		}
		next()
	})
}

// record records an add that was or may have been executed. Each add has a client of its own, as a client must not have two operations
// at once and an add without a known result never ends.
func (h counterHistory) record(key string, amount, started, ended float64, outcome replication.Outcome, reply statemachine.Reply) {
	operation := porcupine.Operation{
		ClientId: len(h[key]), Input: amount, Call: int64(started * nanosecondsPerSecond),
		Return: int64(ended * nanosecondsPerSecond), Output: addResult{reply.Total, true},
	}
	if outcome == replication.Unknown {
		operation.Output = addResult{}
		operation.Return = math.MaxInt64
	}
	h[key] = append(h[key], operation)
}

// check checks that each history is linearizable.
func (h counterHistory) check(v *Verdict) {
	for i := range counterCount {
		key := counterKey(i)
		switch porcupine.CheckOperationsTimeout(counterModel, h[key], checkTimeout) {
		case porcupine.Illegal:
			v.addLost("%s: the history of %d adds is not linearizable", key, len(h[key]))
		case porcupine.Unknown:
			v.Undecided++
		case porcupine.Ok:
		}
	}
}
