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
	checkTimeout         = 3 * time.Second // of one history
)

// counterHistory is what was asked of counters and answered, by key.
type counterHistory map[string][]porcupine.Operation

// addResult is what an add was answered.
type addResult struct {
	total float64
	known bool
}

// counterModel is a counter as one machine would have it.
var counterModel = porcupine.Model{
	Init: func() any { return 0.0 },
	Step: func(state, input, output any) (bool, any) {
		total, result := state.(float64)+input.(float64), output.(addResult)
		return !result.known || total == result.total, total
	},
}

// keepAdding is a client of the counter's protocol.
func (w *workload) keepAdding(adder int) {
	if w.over {
		return
	}
	s := w.sim
	x := s.randomServer()
	next := func() { s.queue.ScheduleAfter(s.random.Uniform(0.05, 0.4), func() { w.keepAdding(adder) }) }
	if x == nil {
		next()
		return
	}
	w.add(x, counterKey(s.random.IntN(counterCount)), float64(1+s.random.IntN(maxAmount)), next)
}

func (w *workload) add(x *server, key string, amount float64, next func()) {
	begun := w.sim.queue.Now()
	command := statemachine.Command{Kind: statemachine.Add, Key: key, Amount: amount, TTL: counterTTL}
	w.submit(x, key, command, func(outcome replication.Outcome, reply statemachine.Reply) {
		if outcome != replication.Rejected {
			w.adds.note(key, amount, begun, w.sim.queue.Now(), outcome, reply)
		}
		next()
	})
}

// note notes an add that was or may have been executed. Each is an operation of a client of its own: a client whose add is still out
// would be two at once.
func (h counterHistory) note(key string, amount, begun, ended float64, outcome replication.Outcome, reply statemachine.Reply) {
	operation := porcupine.Operation{
		ClientId: len(h[key]), Input: amount, Call: int64(begun * nanosecondsPerSecond),
		Return: int64(ended * nanosecondsPerSecond), Output: addResult{reply.Total, true},
	}
	if outcome == replication.Unknown {
		operation.Output = addResult{}
		operation.Return = math.MaxInt64
	}
	h[key] = append(h[key], operation)
}

// judge wants each history to be that of one counter.
func (h counterHistory) judge(v *Verdict) {
	for i := range counterCount {
		key := counterKey(i)
		switch porcupine.CheckOperationsTimeout(counterModel, h[key], checkTimeout) {
		case porcupine.Illegal:
			v.lost("%s: its history of %d adds is not that of one counter", key, len(h[key]))
		case porcupine.Unknown:
			v.Undecided++
		case porcupine.Ok:
		}
	}
}
