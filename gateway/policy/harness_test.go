package policy

import (
	"math"
	"testing"
)

// smallPlan has a quota on the rate alone.
var smallPlan = Plan{Name: "p", Rate: 2, Burst: 10}

// harness drives a Gateway in a test. It provides the clock and is the gateway's Output. It records calls of the Output and
// decisions.
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
	replied      int // number of calls that have been answered
}

type addedCount struct {
	name   uint64
	amount float64
}

func (f *harness) AddCount(name uint64, amount, life float64) {
	f.calls = append(f.calls, addedCount{name, amount})
}
func (f *harness) CancelAttempt(attempt *Attempt) { f.cancelled = append(f.cancelled, attempt) }
func (f *harness) SendPeer(to int, text string)   { f.peerMessages = append(f.peerMessages, text) }
func (f *harness) Log(text string)                { f.logs = append(f.logs, text) }

var testOperations = []Operation{
	{Name: "read", LatencyTarget: 1, Value: 1, Effect: Idempotent},
	{Name: "mark", LatencyTarget: 1, Value: 5, Effect: Deduplicated, DedupScope: "zone", DedupWindow: 2},
	{Name: "once", LatencyTarget: 1, Value: 5, Effect: NonIdempotent},
}

// newHarness returns a harness for one of three API gateways, with the plan and two hosts.
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

func (f *harness) accept(units float64, gatewayCount int) *Invocation {
	return f.acceptOperation("read", units, gatewayCount)
}

func (f *harness) acceptOperation(op string, units float64, gatewayCount int) *Invocation {
	inv := f.gateway.Accept(f.now, Request{
		Ref: "r", Operation: op, Customer: "c", Plan: "p", Units: units,
		Deadline: f.now + 4, GatewayCount: gatewayCount,
	})
	f.decide()
	return inv
}

func (f *harness) decide() {
	for inv := f.gateway.Next(f.now); inv != nil; inv = f.gateway.Next(f.now) {
		f.recordDecision(inv, f.gateway.Decide(f.now, inv))
	}
}

func (f *harness) recordDecision(inv *Invocation, decision Decision) {
	if decision.Action == Pending {
		return
	}
	if decision.Action != Send && f.decisions[inv].Action > Send {
		f.t.Fatalf("a second final answer: %+v after %+v", decision, f.decisions[inv])
	}
	f.decisions[inv] = decision
	if decision.Action == Send {
		f.attempts = append(f.attempts, inv.Attempts[len(inv.Attempts)-1])
	}
}

// wait advances the clock by s seconds and calls Tick whenever it is due.
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

// replyTotal answers the oldest counter call with a total.
func (f *harness) replyTotal(total float64) { f.reply(Succeeded, total) }

func (f *harness) reply(outcome Outcome, total float64) {
	f.t.Helper()
	if f.replied >= len(f.calls) {
		f.t.Fatal("no counter call is in flight")
	}
	f.replied++
	f.gateway.CounterReplied(f.now, f.calls[f.replied-1].name, outcome, total, 0.002)
	f.decide()
}

func (f *harness) wantAttempts(inv *Invocation, n int) {
	f.t.Helper()
	if len(inv.Attempts) != n {
		f.t.Fatalf("want %d attempts, got %d (%+v)", n, len(inv.Attempts), f.decisions[inv])
	}
}

// end ends the newest attempt of an invocation.
func (f *harness) end(inv *Invocation, o Outcome) { f.endWith(inv, AttemptResult{Outcome: o}) }

func (f *harness) endWith(inv *Invocation, result AttemptResult) {
	attempt := inv.Attempts[len(inv.Attempts)-1]
	result.Final, result.Duration = result.Final || result.Outcome == Succeeded, f.now-attempt.sentAt
	f.recordDecision(inv, f.gateway.AttemptEnded(f.now, attempt, result))
	f.decide()
}

// warmUp runs n invocations, one after the other, that succeed after 20 ms each.
func (f *harness) warmUp(n int) {
	for range n {
		inv := f.accept(1, 2)
		f.now += 0.02
		f.end(inv, Succeeded)
	}
}

// answerAll ends every attempt with success that has been in flight for about 10 ms or longer.
func (f *harness) answerAll() {
	for _, attempt := range f.attempts {
		if attempt.Invocation.inFlight > 0 && f.now-attempt.sentAt > 0.0099 {
			f.end(attempt.Invocation, Succeeded)
		}
	}
}

// admits reports whether a new invocation is sent now. It ends its attempt at once.
func (f *harness) admits(units float64, gatewayCount int) bool {
	inv := f.accept(units, gatewayCount)
	if len(inv.Attempts) == 0 {
		return false
	}
	f.end(inv, Succeeded)
	return true
}

// replyEachAlone answers all counter calls, each with a total that holds only the call's own amount.
func (f *harness) replyEachAlone() {
	for f.replied < len(f.calls) {
		f.replyTotal(f.calls[f.replied].amount)
	}
}

// timeOutCalls makes all counter calls time out.
func (f *harness) timeOutCalls() {
	for f.replied < len(f.calls) {
		f.reply(TimedOut, 0)
	}
}
