package policy

import (
	"math"
	"testing"
)

// fake is the one tiny host that the stories play against: it keeps the clock and what the module has said.
type fake struct {
	t     *testing.T
	now   float64
	g     *Gateway
	calls []fakeCall
	last  map[*Invocation]Answer
	sends []*Delivery
	told  []string
	logs  []string
	off   []*Delivery
	n     int
}

type fakeCall struct {
	name   uint64
	amount float64
}

func (f *fake) Count(name uint64, amount, life float64) {
	f.calls = append(f.calls, fakeCall{name, amount})
}
func (f *fake) Cancel(d *Delivery)       { f.off = append(f.off, d) }
func (f *fake) Tell(to int, text string) { f.told = append(f.told, text) }
func (f *fake) Log(text string)          { f.logs = append(f.logs, text) }

var fakeOps = []Operation{
	{Name: "read", Objective: 1, Value: 1, Effect: Idempotent},
	{Name: "mark", Objective: 1, Value: 5, Effect: Tokened, Group: "zone", TokenTime: 2},
	{Name: "once", Objective: 1, Value: 5, Effect: NonIdempotent},
}

// newFake starts an api gateway, one of three, with the plan and two hosts.
func newFake(t *testing.T, p Plan) *fake { return newFakeOf(t, p, 3) }

func newFakeOf(t *testing.T, p Plan, gateways int) *fake {
	f := &fake{t: t, now: 1000, last: map[*Invocation]Answer{}}
	f.g = New(Standing{Gateways: gateways, Zone: "z"}, fakeOps, []Plan{p},
		Counter{Present: true, Limit: 0.05, Most: 8}, Cold{Share: 0.2, Warm: 10, Factor: 2},
		Allowed{Deliveries: 4, Cancel: true, Peers: true, Mail: 60}, f)
	f.g.Hosts(f.now, []Listed{{Addr: "a", Zone: "z", State: "active"}, {Addr: "b", Zone: "y", State: "active"}}, true)
	return f
}

func (f *fake) take(units float64, width int) *Invocation { return f.takeOp("read", units, width) }

func (f *fake) takeOp(op string, units float64, width int) *Invocation {
	inv := f.g.Take(f.now, Asked{
		Ref: "r", Operation: op, Customer: "c", Plan: "p", Units: units,
		GiveUp: f.now + 4, Width: width,
	})
	f.turns()
	return inv
}

func (f *fake) turns() {
	for inv := f.g.Turn(f.now); inv != nil; inv = f.g.Turn(f.now) {
		f.note(inv, f.g.Where(f.now, inv))
	}
}

func (f *fake) note(inv *Invocation, a Answer) {
	if a.Do == NotYet {
		return
	}
	if a.Do != Send && f.last[inv].Do > Send {
		f.t.Fatalf("a second final answer: %+v after %+v", a, f.last[inv])
	}
	f.last[inv] = a
	if a.Do == Send {
		f.sends = append(f.sends, inv.Deliveries[len(inv.Deliveries)-1])
	}
}

// wait lets time pass, with a Tick whenever the module asks for one.
func (f *fake) wait(s float64) {
	for end := f.now + s; f.now < end; {
		f.now = math.Min(end, f.now+f.g.Wait(f.now))
		f.g.Tick(f.now)
		f.turns()
	}
}

func (f *fake) wantCall(amount float64) {
	f.t.Helper()
	if n := len(f.calls); n <= f.n || f.calls[f.n].amount != amount {
		f.t.Fatalf("want a counter call of %v, got %+v after the first %d", amount, f.calls[f.n:], f.n)
	}
}

// total answers the oldest counter call.
func (f *fake) total(sum float64) { f.counted(Succeeded, sum) }

func (f *fake) counted(how Outcome, sum float64) {
	f.t.Helper()
	if f.n >= len(f.calls) {
		f.t.Fatal("no counter call is out")
	}
	f.n++
	f.g.Counted(f.now, f.calls[f.n-1].name, how, sum, 0.002)
	f.turns()
}

func (f *fake) wantSent(inv *Invocation, n int) {
	f.t.Helper()
	if len(inv.Deliveries) != n {
		f.t.Fatalf("want %d deliveries, got %d (%+v)", n, len(inv.Deliveries), f.last[inv])
	}
}

// ends ends the newest delivery of an invocation.
func (f *fake) ends(inv *Invocation, how Outcome) { f.endsWith(inv, Ended{How: how}) }

func (f *fake) endsWith(inv *Invocation, e Ended) {
	d := inv.Deliveries[len(inv.Deliveries)-1]
	e.Over, e.Took = e.Over || e.How == Succeeded, f.now-d.sent
	f.note(inv, f.g.After(f.now, d, e))
	f.turns()
}

// warmUp lets n invocations of 20 ms succeed, one after the other.
func (f *fake) warmUp(n int) {
	for range n {
		inv := f.take(1, 2)
		f.now += 0.02
		f.ends(inv, Succeeded)
	}
}

// answerAll lets everything succeed that has been out for 10 ms.
func (f *fake) answerAll() {
	for _, d := range f.sends {
		if d.Inv.out > 0 && f.now-d.sent > 0.0099 {
			f.ends(d.Inv, Succeeded)
		}
	}
}

// passes says whether an invocation goes out now; it is answered at once.
func (f *fake) passes(units float64, width int) bool {
	inv := f.take(units, width)
	if len(inv.Deliveries) == 0 {
		return false
	}
	f.ends(inv, Succeeded)
	return true
}

// totals answers all counter calls, each as if it had been the first on its name.
func (f *fake) totals() {
	for f.n < len(f.calls) {
		f.total(f.calls[f.n].amount)
	}
}

// noTotals lets all counter calls end without an answer.
func (f *fake) noTotals() {
	for f.n < len(f.calls) {
		f.counted(TimedOut, 0)
	}
}
