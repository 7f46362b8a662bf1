package policy

import (
	"math"
	"testing"
)

// smallPlan has a quota on the rate alone.
var smallPlan = Plan{Name: "p", Rate: 2, Burst: 10}

// harness drives a Gateway in a test: it keeps the clock, and what the gateway decided and put out.
type harness struct {
	t            *testing.T
	now          float64
	gateway      *Gateway
	calls        []addedCount
	decisions    map[*Invocation]Decision
	attempts     []*Attempt
	peerMessages []string
	logs         []string
	cancelled    []*Attempt
	replied      int
}

type addedCount struct {
	name   uint64
	amount float64
}

func (f *harness) AddCount(name uint64, amount, life float64) {
	f.calls = append(f.calls, addedCount{name, amount})
}
func (f *harness) CancelAttempt(d *Attempt)     { f.cancelled = append(f.cancelled, d) }
func (f *harness) SendPeer(to int, text string) { f.peerMessages = append(f.peerMessages, text) }
func (f *harness) Log(text string)              { f.logs = append(f.logs, text) }

var testOperations = []Operation{
	{Name: "read", LatencyTarget: 1, Value: 1, Effect: Idempotent},
	{Name: "mark", LatencyTarget: 1, Value: 5, Effect: Deduplicated, DedupScope: "zone", DedupWindow: 2},
	{Name: "once", LatencyTarget: 1, Value: 5, Effect: NonIdempotent},
}

// newHarness starts an API gateway, one of three, with the plan and two hosts.
func newHarness(t *testing.T, p Plan) *harness { return newHarnessOf(t, p, 3) }

func newHarnessOf(t *testing.T, p Plan, gateways int) *harness {
	f := &harness{t: t, now: 1000, decisions: map[*Invocation]Decision{}}
	f.gateway = New(Config{
		Instance: Instance{Gateways: gateways, Zone: "z"}, Operations: testOperations, Plans: []Plan{p},
		Counter:   CounterConfig{Present: true, Timeout: 0.05, MaxUnits: 8},
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: 10, OverloadFactor: 2},
		Limits:    Limits{MaxAttempts: 4, CanCancel: true, PeerMessages: true, PeerMessageRate: 60},
	}, f)
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active"}, {Addr: "b", Zone: "y", State: "active"}}, true)
	return f
}

func (f *harness) accept(units float64, width int) *Invocation {
	return f.acceptOperation("read", units, width)
}

func (f *harness) acceptOperation(op string, units float64, width int) *Invocation {
	inv := f.gateway.Accept(f.now, Request{
		Ref: "r", Operation: op, Customer: "c", Plan: "p", Units: units,
		Deadline: f.now + 4, GatewayCount: width,
	})
	f.decide()
	return inv
}

func (f *harness) decide() {
	for inv := f.gateway.Next(f.now); inv != nil; inv = f.gateway.Next(f.now) {
		f.record(inv, f.gateway.Decide(f.now, inv))
	}
}

func (f *harness) record(inv *Invocation, a Decision) {
	if a.Action == Pending {
		return
	}
	if a.Action != Send && f.decisions[inv].Action > Send {
		f.t.Fatalf("a second final answer: %+v after %+v", a, f.decisions[inv])
	}
	f.decisions[inv] = a
	if a.Action == Send {
		f.attempts = append(f.attempts, inv.Attempts[len(inv.Attempts)-1])
	}
}

// wait lets time pass, with a Tick whenever the gateway asks for one.
func (f *harness) wait(s float64) {
	for end := f.now + s; f.now < end; {
		f.now = math.Min(end, f.now+f.gateway.TickDelay(f.now))
		f.gateway.Tick(f.now)
		f.decide()
	}
}

func (f *harness) wantCall(amount float64) {
	f.t.Helper()
	if n := len(f.calls); n <= f.replied || f.calls[f.replied].amount != amount {
		f.t.Fatalf("want a counter call of %v, got %+v after the first %d", amount, f.calls[f.replied:], f.replied)
	}
}

// replyTotal answers the oldest counter call.
func (f *harness) replyTotal(sum float64) { f.reply(Succeeded, sum) }

func (f *harness) reply(how Outcome, sum float64) {
	f.t.Helper()
	if f.replied >= len(f.calls) {
		f.t.Fatal("no counter call is in flight")
	}
	f.replied++
	f.gateway.CounterReplied(f.now, f.calls[f.replied-1].name, how, sum, 0.002)
	f.decide()
}

func (f *harness) wantAttempts(inv *Invocation, n int) {
	f.t.Helper()
	if len(inv.Attempts) != n {
		f.t.Fatalf("want %d attempts, got %d (%+v)", n, len(inv.Attempts), f.decisions[inv])
	}
}

// end ends the newest attempt of an invocation.
func (f *harness) end(inv *Invocation, how Outcome) { f.endWith(inv, AttemptResult{Outcome: how}) }

func (f *harness) endWith(inv *Invocation, e AttemptResult) {
	d := inv.Attempts[len(inv.Attempts)-1]
	e.Final, e.Duration = e.Final || e.Outcome == Succeeded, f.now-d.sentAt
	f.record(inv, f.gateway.AttemptEnded(f.now, d, e))
	f.decide()
}

// warmUp lets n invocations of 20 ms succeed, one after the other.
func (f *harness) warmUp(n int) {
	for range n {
		inv := f.accept(1, 2)
		f.now += 0.02
		f.end(inv, Succeeded)
	}
}

// answerAll lets every attempt succeed that has been in flight for 10 ms.
func (f *harness) answerAll() {
	for _, d := range f.attempts {
		if d.Invocation.inFlight > 0 && f.now-d.sentAt > 0.0099 {
			f.end(d.Invocation, Succeeded)
		}
	}
}

// passes says whether an invocation is sent now; it is answered at once.
func (f *harness) passes(units float64, width int) bool {
	inv := f.accept(units, width)
	if len(inv.Attempts) == 0 {
		return false
	}
	f.end(inv, Succeeded)
	return true
}

// replyEachAlone answers all counter calls, each as if it had been the first on its count.
func (f *harness) replyEachAlone() {
	for f.replied < len(f.calls) {
		f.replyTotal(f.calls[f.replied].amount)
	}
}

// timeOutCalls lets all counter calls end without an answer.
func (f *harness) timeOutCalls() {
	for f.replied < len(f.calls) {
		f.reply(TimedOut, 0)
	}
}
