package simulation

import (
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"
)

const (
	operatorCount       = 4
	responseTimeout     = 250 // milliseconds until a call without answer is sent again
	historyRunLength    = 12_000
	lastCallAt          = 9_000 // no new calls begin after this time
	duplicateOneIn      = 6     // one in this number of requests is delivered a second time, with a delay
	maxDuplicateDelay   = 5_000 // longest delay of a duplicate
	firstConfigOperator = operatorProcess + 1
)

// configOperator is an operator that makes one call after another.
type configOperator struct {
	s              *sim
	history        *callHistory
	process        process
	index          int
	base           uint64
	calls          int
	earlierChanges []configCall // changes that may be sent again as new calls
	lossPercent    int          // percentage of answers that are lost
}

// callHistory is the history of the calls of all operators.
type callHistory struct {
	operations []porcupine.Operation
	fault      protocolFault
}

func (h *callHistory) begin(operator int, in configCall, now int64) int {
	// A call without an answer may take effect at any later time.
	h.operations = append(h.operations, porcupine.Operation{ClientId: operator, Input: in, Call: now, Output: configResult{}, Return: math.MaxInt64})
	return len(h.operations) - 1
}

func (h *callHistory) end(operation int, out configResult, now int64) {
	h.operations[operation].Output = out
	h.operations[operation].Return = now
}

func (s *sim) addConfigOperators(history *callHistory) {
	lossPercent := []int{0, 50, 90}[s.random.Intn(3)]
	for i := range operatorCount {
		o := &configOperator{s: s, history: history, process: firstConfigOperator + process(i), index: i, lossPercent: lossPercent}
		s.after(600+s.random.Int63n(400), o.startCall)
	}
}

// startCall begins the operator's next call.
func (o *configOperator) startCall() {
	if o.s.now > lastCallAt {
		return
	}
	o.calls++
	in := o.chooseCall()
	o.send(in, o.history.begin(o.index, in, o.s.now), o.s.randomMember())
}

func (o *configOperator) chooseCall() configCall {
	if o.calls%4 == 1 {
		return configCall{kind: readCall}
	}
	if len(o.earlierChanges) > 0 && o.s.random.Intn(6) == 0 {
		return o.earlierChanges[o.s.random.Intn(len(o.earlierChanges))]
	}
	in := configCall{
		base: o.base, version: o.base + 1 + uint64(o.s.random.Intn(2)), // different operators choose the same versions
		body: fmt.Sprintf("o%dc%d", o.index, o.calls),
	}
	if o.s.random.Intn(8) == 0 {
		in.base++ // based on a version that doesn't exist yet
		in.version++
	}
	o.earlierChanges = append(o.earlierChanges, in)
	return in
}

// send sends a call to a member, and again to the next member until the answer is definite.
func (o *configOperator) send(in configCall, operation int, to process) {
	if o.s.now > historyRunLength {
		return
	}
	if o.s.random.Intn(duplicateOneIn) == 0 {
		o.s.after(o.s.random.Int63n(maxDuplicateDelay), func() {
			o.s.send(o.process, to, func() { o.s.members[to].serveConfigCall(in, o.history.fault, func(configResult) {}) })
		})
	}
	call(o.s, o.process, to, responseTimeout, func(answer func(configResult)) { o.s.members[to].serveConfigCall(in, o.history.fault, answer) },
		func(out configResult, ok bool) {
			if !ok || !out.definite || o.s.random.Intn(100) < o.lossPercent {
				o.s.after(10+o.s.random.Int63n(50), func() { o.send(in, operation, o.s.nextMember(to)) })
				return
			}
			o.history.end(operation, out, o.s.now)
			if in.kind == readCall {
				o.base = out.version
			} else if out.applied {
				o.base = max(o.base, in.version)
			}
			o.s.after(1+o.s.random.Int63n(200), o.startCall)
		})
}

func (h *callHistory) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel, h.operations, checkTimeout)
}

func (h *callHistory) definiteResults() int64 {
	count := int64(0)
	for _, operation := range h.operations {
		if operation.Output.(configResult).definite {
			count++
		}
	}
	return count
}
