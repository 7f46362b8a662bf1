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
	last  map[*Invocation]Decision
	sends []*Attempt
	told  []string
	logs  []string
	off   []*Attempt
	n     int
}

type fakeCall struct {
	name   uint64
	amount float64
}

func (f *fake) AddCount(name uint64, amount, life float64) {
	f.calls = append(f.calls, fakeCall{name, amount})
}
func (f *fake) CancelAttempt(d *Attempt)     { f.off = append(f.off, d) }
func (f *fake) SendPeer(to int, text string) { f.told = append(f.told, text) }
func (f *fake) Log(text string)              { f.logs = append(f.logs, text) }

var fakeOps = []Operation{
	{Name: "read", LatencyTarget: 1, Value: 1, Effect: Idempotent},
	{Name: "mark", LatencyTarget: 1, Value: 5, Effect: Deduplicated, DedupScope: "zone", DedupWindow: 2},
	{Name: "once", LatencyTarget: 1, Value: 5, Effect: NonIdempotent},
}

// newFake starts an api gateway, one of three, with the plan and two hosts.
func newFake(t *testing.T, p Plan) *fake { return newFakeOf(t, p, 3) }

func newFakeOf(t *testing.T, p Plan, gateways int) *fake {
	f := &fake{t: t, now: 1000, last: map[*Invocation]Decision{}}
	f.g = New(Instance{Gateways: gateways, Zone: "z"}, fakeOps, []Plan{p},
		CounterConfig{Present: true, Timeout: 0.05, MaxUnits: 8}, SlowStart{InitialCapacity: 0.2, Duration: 10, OverloadFactor: 2},
		Limits{MaxAttempts: 4, CanCancel: true, PeerMessages: true, PeerMessageRate: 60}, f)
	f.g.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active"}, {Addr: "b", Zone: "y", State: "active"}}, true)
	return f
}

func (f *fake) take(units float64, width int) *Invocation { return f.takeOp("read", units, width) }

func (f *fake) takeOp(op string, units float64, width int) *Invocation {
	inv := f.g.Accept(f.now, Request{
		Ref: "r", Operation: op, Customer: "c", Plan: "p", Units: units,
		Deadline: f.now + 4, GatewayCount: width,
	})
	f.turns()
	return inv
}

func (f *fake) turns() {
	for inv := f.g.Next(f.now); inv != nil; inv = f.g.Next(f.now) {
		f.note(inv, f.g.Decide(f.now, inv))
	}
}

func (f *fake) note(inv *Invocation, a Decision) {
	if a.Action == Pending {
		return
	}
	if a.Action != Send && f.last[inv].Action > Send {
		f.t.Fatalf("a second final answer: %+v after %+v", a, f.last[inv])
	}
	f.last[inv] = a
	if a.Action == Send {
		f.sends = append(f.sends, inv.Attempts[len(inv.Attempts)-1])
	}
}

// wait lets time pass, with a Tick whenever the module asks for one.
func (f *fake) wait(s float64) {
	for end := f.now + s; f.now < end; {
		f.now = math.Min(end, f.now+f.g.TickDelay(f.now))
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
	f.g.CounterReplied(f.now, f.calls[f.n-1].name, how, sum, 0.002)
	f.turns()
}

func (f *fake) wantSent(inv *Invocation, n int) {
	f.t.Helper()
	if len(inv.Attempts) != n {
		f.t.Fatalf("want %d deliveries, got %d (%+v)", n, len(inv.Attempts), f.last[inv])
	}
}

// ends ends the newest delivery of an invocation.
func (f *fake) ends(inv *Invocation, how Outcome) { f.endsWith(inv, AttemptResult{Outcome: how}) }

func (f *fake) endsWith(inv *Invocation, e AttemptResult) {
	d := inv.Attempts[len(inv.Attempts)-1]
	e.Final, e.Duration = e.Final || e.Outcome == Succeeded, f.now-d.sentAt
	f.note(inv, f.g.AttemptEnded(f.now, d, e))
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
		if d.Invocation.inFlight > 0 && f.now-d.sentAt > 0.0099 {
			f.ends(d.Invocation, Succeeded)
		}
	}
}

// passes says whether an invocation goes out now; it is answered at once.
func (f *fake) passes(units float64, width int) bool {
	inv := f.take(units, width)
	if len(inv.Attempts) == 0 {
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
