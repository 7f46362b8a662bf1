package oracle

import (
	"math"
	"strings"
	"testing"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

func fixed(x float64) scenario.Span { return scenario.Span{Lo: x, Hi: x} }

// fixture is an oracle with a clock that the test moves.
type fixture struct {
	*Oracle
	now float64
}

func newFixture() *fixture {
	f := &fixture{}
	d := &scenario.Scenario{Gateway: scenario.Gateway{DrainGrace: fixed(0.25)}, Cold: scenario.ColdStart{Window: fixed(2)}}
	f.Oracle = New(d, 2, func() float64 { return f.now })
	return f
}

func newInvocation(effect, group string) *model.Invocation {
	op := &scenario.Operation{Name: "o", Effect: effect, Group: group, TokenTime: fixed(2), Work: fixed(0.1), Value: fixed(1)}
	plan := &scenario.Plan{Rate: fixed(2), Burst: fixed(10), CeilingRate: fixed(1), CeilingBurst: fixed(12), Price: fixed(1)}
	n := &model.Request{Customer: &model.Customer{Key: "c", Plan: plan}, Operation: model.Operation{Operation: op}, Units: 4, ActualUnits: 4}
	return &model.Invocation{Ref: "r", Request: n, GiveUpAt: 5}
}

func (f *fixture) send(inv *model.Invocation, host int) *model.Attempt {
	d := &model.Attempt{Invocation: inv, Number: len(inv.Attempts), Host: host, SentAt: f.now}
	inv.Attempts = append(inv.Attempts, d)
	f.AttemptSent(d)
	return d
}

// endAttempt ends an attempt. notRun means that its outcome proves that it never ran.
func endAttempt(attempt *model.Attempt, notRun bool) {
	attempt.Ended = true
	attempt.ProvenNotRun = notRun
}

// Each case violates one rule when wrong is set, and none otherwise.
var ruleCases = []struct {
	name string
	rule int
	text string
	play func(f *fixture, wrong bool)
}{
	{"two final answers", 1, "second final answer", func(f *fixture, wrong bool) {
		inv := newInvocation("idempotent", "")
		if f.InvocationAnswered(inv, model.Throttled); wrong {
			f.InvocationAnswered(inv, model.Errored)
		}
	}},
	{"no final answer", 1, "no final answer", func(f *fixture, wrong bool) {
		inv := newInvocation("idempotent", "")
		if !wrong {
			f.InvocationAnswered(inv, model.Errored)
		}
		f.ClientGaveUp(inv)
	}},
	{"answered late", 1, "after its client gave up", func(f *fixture, wrong bool) {
		inv := newInvocation("idempotent", "")
		if wrong {
			f.now = inv.GiveUpAt + 0.1
		}
		f.InvocationAnswered(inv, model.Errored)
	}},
	{"sent after the end", 1, "after its final answer", func(f *fixture, wrong bool) {
		inv := newInvocation("idempotent", "")
		if wrong {
			f.InvocationAnswered(inv, model.Errored)
		}
		f.send(inv, 0)
	}},
	{"run again although it may have run", 2, "may have run", func(f *fixture, wrong bool) {
		inv := newInvocation("non-idempotent", "")
		endAttempt(f.send(inv, 0), !wrong)
		f.send(inv, 1)
	}},
	{"throttled although it may have run", 2, "throttled", func(f *fixture, wrong bool) {
		inv := newInvocation("non-idempotent", "")
		endAttempt(f.send(inv, 0), !wrong)
		f.InvocationAnswered(inv, model.Throttled)
	}},
	{"token too old", 2, "s after delivery", func(f *fixture, wrong bool) {
		inv := newInvocation("tokened", "all")
		endAttempt(f.send(inv, 0), false)
		if f.now = 1.9; wrong {
			f.now = 2.1
		}
		f.send(inv, 1)
	}},
	{"outside its group", 2, "outside its group", func(f *fixture, wrong bool) {
		inv := newInvocation("tokened", "zone")
		endAttempt(f.send(inv, 0), false)
		f.CheckGroup(f.send(inv, 1), func(a, b int) bool { return !wrong })
	}},
	{"two attempts in flight at once", 2, "two deliveries out", func(f *fixture, wrong bool) {
		inv := newInvocation("idempotent", "")
		if d := f.send(inv, 0); !wrong {
			endAttempt(d, false)
		}
		f.send(inv, 1)
	}},
	{"run twice", 2, "run twice", func(f *fixture, wrong bool) {
		inv := newInvocation("non-idempotent", "")
		a := f.send(inv, 0)
		endAttempt(a, true) // the api gateway wrongly treats the outcome as proof that the attempt never ran
		b := f.send(inv, 1)
		if f.AttemptStarted(a); wrong {
			f.AttemptStarted(b)
		}
	}},
	{"new work to a draining host", 3, "leaving", func(f *fixture, wrong bool) {
		f.HostStateTold(0, 7, "leaving", 0)
		if f.now = 0.2; wrong {
			f.now = 0.4
		}
		f.send(newInvocation("idempotent", ""), 7)
	}},
	{"a cold host overloaded by gateways that know of its start", 4, "went down", func(f *fixture, wrong bool) {
		h := &hostmodel.Host{Number: 3, StartedAt: 1}
		if wrong {
			f.HostStateTold(0, 3, "active", 1)
		}
		f.HostOverloaded(h, []hostmodel.Arrival{{At: 1, Work: 5, Gateway: 0}, {At: 1, Work: 1, Gateway: 1}})
	}},
	{"a ceiling exceeded", 5, "ceiling", func(f *fixture, wrong bool) {
		cust := newInvocation("idempotent", "").Request.Customer
		for range map[bool]int{true: 4, false: 3}[wrong] { // 4 units each; the ceiling's burst is 12
			inv := newInvocation("idempotent", "")
			inv.Request.Customer = cust
			f.AttemptReached(f.send(inv, 0))
		}
	}},
}

func TestEachViolatedRuleIsReported(t *testing.T) {
	for _, each := range ruleCases {
		for _, wrong := range []bool{true, false} {
			f := newFixture()
			each.play(f, wrong)
			if !wrong && f.Total > 0 {
				t.Errorf("%s, without the wrong step: %v", each.name, f.Violations)
			}
			if wrong && (f.Total == 0 || f.Violations[0].Rule != each.rule || !strings.Contains(f.Violations[0].Text, each.text)) {
				t.Errorf("%s: %v", each.name, f.Violations)
			}
		}
	}
}

// A bucket grants exactly one burst plus its rate over time, regardless of the order and size of the requests.
func TestTokenBucketIsExact(t *testing.T) {
	f, d := newFixture(), randstream.New(3, "bucket")
	cust := newInvocation("idempotent", "").Request.Customer
	cust.Plan.CeilingRate = fixed(0)
	cust.Plan.Rate, cust.Plan.Burst = fixed(2), fixed(10)
	granted, n := 0.0, 0
	f.QuotaHasRoom(cust, 1) // creates the bucket, full; refill above the burst is lost
	for f.now < 1000 {
		if n > 0 {
			f.now += d.Exponential(0.05)
		}
		inv := newInvocation("idempotent", "")
		inv.Request.Customer, inv.GiveUpAt = cust, f.now+1
		inv.Request.Units, inv.Request.ActualUnits = 0.5, 0.5
		if room := f.QuotaHasRoom(cust, 0.5); room {
			if _, beyond := f.AttemptReached(f.send(inv, 0)); beyond {
				t.Fatalf("quota had room at %.3f s, but the attempt was reported as beyond it", f.now)
			}
			granted += 0.5
		}
		n++
	}
	// The requests exceed the rate, so the units granted are the burst and the refill less the remaining level.
	f.usage[cust].sent.fill(f.now)
	if want := 10 + 2*f.now - f.usage[cust].sent.level; math.Abs(granted-want) > 1e-6 || granted < 1990 {
		t.Fatalf("%.6f units granted of %d requested, want %.6f", granted, 2*n, want)
	}
}

// A customer at its concurrency limit exceeds it with one more attempt, and has room again after attempts are released.
func TestAttemptsInFlightCountAgainstTheLimit(t *testing.T) {
	f := newFixture()
	cust := &model.Customer{Key: "p", Plan: &scenario.Plan{MaxConcurrent: fixed(2)}}
	reach := func() (*model.Attempt, bool) {
		inv := newInvocation("idempotent", "")
		inv.Request.Customer = cust
		d := f.send(inv, 0)
		_, beyond := f.AttemptReached(d)
		return d, beyond
	}
	first, _ := reach()
	reach()
	if f.QuotaHasRoom(cust, 1) {
		t.Fatal("quota has room for a third attempt with a limit of two")
	}
	third, beyond := reach()
	if !beyond {
		t.Fatal("a third attempt with a limit of two is not reported as beyond the quota")
	}
	f.AttemptReleased(first)
	f.AttemptReleased(third)
	if f.AttemptReleased(third); !f.QuotaHasRoom(cust, 1) {
		t.Fatal("quota has no room after attempts were released")
	}
}
