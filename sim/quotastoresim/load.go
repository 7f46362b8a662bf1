package quotastoresim

// This file owns who asks, and the judgement of what they were told: histories of adds checked for linearizability, what
// holders had promised to them, marks, and use.

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"otterseam/quotastore/replication"
	"otterseam/quotastore/statemachine"
)

type load struct {
	w       *world
	over    bool
	history map[string][]porcupine.Operation
	holders []*holder
	marks   map[string][]string // by invocation: who was let through
	taken   map[string]float64  // by customer
	used    map[string]*usage   // by holder and customer
	batch   uint64
	final   bool
	told    int
	asked   int
}

// holder is an api gateway that lets work in, adds its cost, or notes it as owed.
type holder struct {
	id    string
	names map[string]*account
	gone  bool
	order uint64
}

type account struct {
	sum         float64 // of all let in
	acked, sent float64 // the most of it that was promised to be added; the most that was told
}

type usage struct{ acked, sent float64 }

func newLoad(w *world) *load {
	l := &load{w: w, history: map[string][]porcupine.Operation{}, marks: map[string][]string{}, taken: map[string]float64{}, used: map[string]*usage{}}
	for i := range 3 {
		w.q.After(0.8+0.01*float64(i), func() { l.adds(i) })
	}
	for i := range 2 {
		w.q.After(0.8, func() { l.begin(i) })
	}
	w.q.After(1, l.marking)
	w.q.After(1, l.take)
	return l
}

func (l *load) stop() { l.over = true }

// adds is a caller of the counter's protocol.
func (l *load) adds(client int) {
	if l.over {
		return
	}
	w := l.w
	x := w.some()
	next := func() { w.q.After(w.dice.Between(0.05, 0.4), func() { l.adds(client) }) }
	if x == nil {
		next()
		return
	}
	l.add(x, client, fmt.Sprintf("count-%d", w.dice.IntN(2)), float64(1+w.dice.IntN(9)), next)
}

type added struct {
	amount, total float64
	known         bool
}

func (l *load) add(x *node, client int, name string, amount float64, next func()) {
	begun := l.w.q.Now()
	l.w.ask(x, name, statemachine.Command{Kind: statemachine.Add, Key: name, Amount: amount, TTL: 60}, func(how replication.Outcome, r statemachine.Reply) {
		op := porcupine.Operation{ClientId: client, Input: amount, Call: int64(begun * 1e9), Return: int64(l.w.q.Now() * 1e9), Output: added{amount, r.Total, true}}
		switch how {
		case replication.Unknown:
			op.Output, op.Return = added{amount, 0, false}, math.MaxInt64
		case replication.Rejected:
			next()
			return
		}
		// A caller whose call is still out would be two at once.
		op.ClientId = len(l.history[name])
		l.history[name] = append(l.history[name], op)
		next()
	})
}

// begin has a holder live, for a time.
func (l *load) begin(i int) {
	if l.over {
		return
	}
	w := l.w
	h := &holder{id: fmt.Sprintf("edge-%d/%d", i, len(l.holders)), names: map[string]*account{}}
	l.holders = append(l.holders, h)
	w.q.After(w.dice.Between(2, 8), func() {
		h.gone = true // dies with all that it knew
		w.q.After(w.dice.Between(0, 1), func() { l.begin(i) })
	})
	l.live(h)
}

func (l *load) live(h *holder) {
	w := l.w
	if h.gone || l.over {
		return
	}
	w.q.After(w.dice.Between(0.05, 0.5), func() { l.live(h) })
	x := w.some()
	if x == nil {
		return
	}
	name := fmt.Sprintf("plan-%d", w.dice.IntN(2))
	a := h.names[name]
	if a == nil {
		a = &account{}
		h.names[name] = a
	}
	h.order++
	e := statemachine.Command{Key: name, Holder: h.id, Version: h.order, TTL: 60}
	switch w.dice.IntN(4) {
	case 0: // let in while the counter was away
		a.sum += float64(1 + w.dice.IntN(5))
		e.Kind, e.Amount = statemachine.RecordUnreported, a.sum
	case 1: // uses
		u := l.used[h.id+" "+name]
		if u == nil {
			u = &usage{}
			l.used[h.id+" "+name] = u
		}
		u.sent += float64(1 + w.dice.IntN(5))
		e.Kind, e.Amount = statemachine.MeterUsage, u.sent
		w.ask(x, h.id, e, func(how replication.Outcome, r statemachine.Reply) {
			if how == replication.Answered && r.Code == statemachine.Done {
				u.acked = max(u.acked, e.Amount)
			}
		})
		return
	default:
		a.sum += float64(1 + w.dice.IntN(5))
		e.Kind, e.Reserved = statemachine.ReportUsage, float64(1000*w.dice.IntN(3))
		e.Amount = a.sum + e.Reserved
	}
	mine := a.sum
	a.sent = mine
	key := name
	if e.Kind == statemachine.RecordUnreported {
		key = h.id
	}
	w.ask(x, key, e, func(how replication.Outcome, r statemachine.Reply) {
		if h.gone || how != replication.Answered {
			return // nobody heard
		}
		if r.Code == statemachine.Done {
			a.acked = max(a.acked, mine)
		} else if r.Code == statemachine.LeaseExpired {
			h.gone = true // given up though it lived: it would go on under another name
		}
	})
}

// marking has invocations that must not run twice come to several api gateways.
func (l *load) marking() {
	if l.over {
		return
	}
	w := l.w
	w.q.After(w.dice.Between(0.1, 0.5), l.marking)
	l.told++
	ref := fmt.Sprintf("ref-%d", l.told)
	for i := range 1 + w.dice.IntN(3) {
		w.q.After(w.dice.Between(0, 3), func() {
			x := w.some()
			if x == nil {
				return
			}
			who := fmt.Sprintf("edge-%d", i)
			w.ask(x, ref, statemachine.Command{Kind: statemachine.AcquireMarker, Key: ref, Holder: who, TTL: 30}, func(how replication.Outcome, r statemachine.Reply) {
				if how == replication.Answered && r.Code == statemachine.Done {
					l.marks[ref] = append(l.marks[ref], who)
				}
			})
		})
	}
}

// take is who bills: it asks for a batch until it has it, and notes each once by its number.
func (l *load) take() {
	if l.over && l.batch >= 1000 {
		return
	}
	w := l.w
	again := func() { w.q.After(w.dice.Between(0.2, 0.8), l.take) }
	x := w.some()
	if x == nil {
		again()
		return
	}
	n := l.batch + 1
	got := make([]*statemachine.Reply, w.terms.Groups)
	left := w.terms.Groups
	for g := range w.terms.Groups {
		l.takeOf(x, g, n, func(r *statemachine.Reply) {
			got[g] = r
			if left--; left > 0 {
				return
			}
			for _, r := range got {
				if r == nil {
					again()
					return
				}
			}
			l.batch = n
			for _, r := range got {
				for _, u := range r.Usage {
					l.taken[u.Customer] += u.Units
				}
			}
			if l.final {
				l.batch = 1000
				return
			}
			again()
		})
	}
}

func (l *load) takeOf(x *node, g int, n uint64, then func(*statemachine.Reply)) {
	w := l.w
	done := false
	say := func(r *statemachine.Reply) {
		if !done {
			done = true
			then(r)
		}
	}
	l.asked++
	o := &op{nth: l.asked, cut: func() { say(nil) }}
	x.open[o] = true
	run := x.run
	w.do(x, func() {
		x.core.Submit(g, statemachine.Command{Kind: statemachine.CollectUsage, Version: n}, func(how replication.Outcome, r statemachine.Reply) {
			w.q.After(0.0005, func() {
				if x.run != run {
					return
				}
				delete(x.open, o)
				if how == replication.Answered && r.Code == statemachine.Done && (l.final || w.dice.Chance(0.8)) { // the answer may be lost on the way back
					say(&r)
				} else {
					say(nil)
				}
			})
		})
	})
}

// last asks once more for everything, after all has settled.
func (l *load) last() {
	l.final = true
	for i := range 2 {
		if x := l.w.some(); x != nil {
			l.add(x, 99, fmt.Sprintf("count-%d", i), 0, func() {})
		}
	}
}

var model = porcupine.Model{
	Init: func() any { return 0.0 },
	Step: func(state, input, output any) (bool, any) {
		s, o := state.(float64)+input.(float64), output.(added)
		return !o.known || s == o.total, s
	},
}

func (l *load) judge(state func(name string) *statemachine.State) {
	v := l.w.v
	for _, name := range []string{"count-0", "count-1"} {
		switch porcupine.CheckOperationsTimeout(model, l.history[name], 3*time.Second) {
		case porcupine.Illegal:
			v.Lost = append(v.Lost, fmt.Sprintf("%s: its history of %d adds is not that of one counter", name, len(l.history[name])))
		case porcupine.Unknown:
			v.Undecided++
		}
	}
	for _, name := range []string{"plan-0", "plan-1"} {
		s := state(name)
		if s == nil {
			continue
		}
		sum := 0.0
		for _, h := range l.holders {
			a := h.names[name]
			if a == nil {
				continue
			}
			own := s.HolderTotal(name, h.id)
			sum += own
			if own < a.acked {
				v.Lost = append(v.Lost, fmt.Sprintf("%s: %s was promised %g and has %g", name, h.id, a.acked, own))
			}
			if own > a.sent {
				v.DoubleCounted = append(v.DoubleCounted, fmt.Sprintf("%s: %s told of %g and has %g", name, h.id, a.sent, own))
			}
		}
		if total, ok := s.Total(name); ok && total > sum {
			v.DoubleCounted = append(v.DoubleCounted, fmt.Sprintf("%s: holders have %g, the total is %g", name, sum, total))
		} else if ok && total < sum {
			v.Lost = append(v.Lost, fmt.Sprintf("%s: holders have %g, the total is %g", name, sum, total))
		}
	}
	for ref, who := range l.marks {
		if len(who) > 1 {
			v.DuplicateEffects = append(v.DuplicateEffects, fmt.Sprintf("%s was let through by %v", ref, who))
		}
	}
	slices.Sort(v.DuplicateEffects)
	for _, customer := range []string{"plan-0", "plan-1"} {
		acked, sent := 0.0, 0.0
		for _, h := range l.holders {
			if u := l.used[h.id+" "+customer]; u != nil {
				acked, sent = acked+u.acked, sent+u.sent
			}
		}
		if l.batch < 1000 {
			v.NotRecovered = append(v.NotRecovered, "the last batch of use was not handed out")
			continue
		}
		if l.taken[customer] < acked {
			v.Lost = append(v.Lost, fmt.Sprintf("use of %s: %g promised, %g handed out", customer, acked, l.taken[customer]))
		}
		if l.taken[customer] > sent {
			v.DoubleCounted = append(v.DoubleCounted, fmt.Sprintf("use of %s: %g counted, %g handed out", customer, sent, l.taken[customer]))
		}
	}
}
