package simulation

import (
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"
)

const (
	operatorCount    = 4
	linearPatience   = 250 // milliseconds until an order is sent again
	linearLength     = 12_000
	linearStops      = 9_000 // after which no new calls begin
	linearCopies     = 6     // one in so many sendings arrives once more, late
	linearCopyDelay  = 5_000 // at most
	firstLinearPlace = operatorPlace + 1
)

// linearOperator makes one call after another.
type linearOperator struct {
	s       *network
	history *linearHistory
	place   place
	number  int
	base    uint64
	calls   int
	past    []linearInput // orders that it may send again
	loss    int           // answers lost in a hundred
}

// linearHistory is what all operators saw.
type linearHistory struct {
	operations []porcupine.Operation
	fault      linearFault
}

func (h *linearHistory) begin(operator int, in linearInput, now int64) int {
	// a call without an answer may take effect at any later time
	h.operations = append(h.operations, porcupine.Operation{ClientId: operator, Input: in, Call: now, Output: linearOutput{}, Return: math.MaxInt64})
	return len(h.operations) - 1
}

func (h *linearHistory) end(operation int, out linearOutput, now int64) {
	h.operations[operation].Output = out
	h.operations[operation].Return = now
}

func (s *network) addLinearOperators(history *linearHistory) {
	loss := []int{0, 50, 90}[s.random.Intn(3)]
	for i := range operatorCount {
		o := &linearOperator{s: s, history: history, place: firstLinearPlace + place(i), number: i, loss: loss}
		s.at(600+s.random.Int63n(400), o.next)
	}
}

// next begins another call.
func (o *linearOperator) next() {
	if o.s.now > linearStops {
		return
	}
	o.calls++
	in := o.choose()
	o.send(in, o.history.begin(o.number, in, o.s.now), o.s.randomMember())
}

func (o *linearOperator) choose() linearInput {
	if o.calls%4 == 1 {
		return linearInput{kind: linearRead}
	}
	if len(o.past) > 0 && o.s.random.Intn(6) == 0 {
		return o.past[o.s.random.Intn(len(o.past))]
	}
	in := linearInput{
		base: o.base, version: o.base + 1 + uint64(o.s.random.Intn(2)), // operators pick the same numbers
		body: fmt.Sprintf("o%dc%d", o.number, o.calls),
	}
	if o.s.random.Intn(8) == 0 {
		in.base++ // on a version that is yet to come
		in.version++
	}
	o.past = append(o.past, in)
	return in
}

// send makes a call, and again at the next member until the answer is clear.
func (o *linearOperator) send(in linearInput, operation int, to place) {
	if o.s.now > linearLength {
		return
	}
	if o.s.random.Intn(linearCopies) == 0 {
		o.s.at(o.s.random.Int63n(linearCopyDelay), func() {
			o.s.send(o.place, to, func() { o.s.members[to].serveLinear(in, o.history.fault, func(linearOutput) {}) })
		})
	}
	call(o.s, o.place, to, linearPatience, func(answer func(linearOutput)) { o.s.members[to].serveLinear(in, o.history.fault, answer) },
		func(out linearOutput, ok bool) {
			if !ok || !out.clear || o.s.random.Intn(100) < o.loss {
				o.s.at(10+o.s.random.Int63n(50), func() { o.send(in, operation, o.s.nextMember(to)) })
				return
			}
			o.history.end(operation, out, o.s.now)
			if in.kind == linearRead {
				o.base = out.version
			} else if out.taken {
				o.base = max(o.base, in.version)
			}
			o.s.at(1+o.s.random.Int63n(200), o.next)
		})
}

func (h *linearHistory) judge() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(linearModel, h.operations, linearCheckLimit)
}

func (h *linearHistory) clear() int64 {
	count := int64(0)
	for _, operation := range h.operations {
		if operation.Output.(linearOutput).clear {
			count++
		}
	}
	return count
}
