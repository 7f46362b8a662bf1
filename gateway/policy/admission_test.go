package policy

import "testing"

func TestThrottlesAtOnceWhenDeadlineIsTooClose(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.gateway.Accept(f.now, Request{Operation: "read", Customer: "c", Plan: "p", Units: 1, Deadline: f.now + 0.02})
	f.decide()
	if f.decisions[inv].Action != Throttle || len(f.calls) > 0 {
		t.Fatalf("want a throttling with no call, got %+v and %d calls", f.decisions[inv], len(f.calls))
	}
}

// With its open slots full by what is out here, a customer's next try can only be refused: the call that adds it and the
// one that takes it off again would be spent for nothing, and meanwhile its slot counts against other API gateways.
func TestConcurrencyQuotaFullHereCostsNoCall(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", MaxConcurrent: 2})
	first, second := f.accept(1, 3), f.accept(1, 3)
	f.replyTotal(1)
	f.replyTotal(2)
	f.wantAttempts(first, 1)
	f.wantAttempts(second, 1)
	calls := len(f.calls)
	third := f.accept(1, 3)
	if a := f.decisions[third]; a.Action != Throttle || a.RetryAfter <= 0 || len(f.calls) != calls {
		t.Fatalf("got %+v after %d further calls", a, len(f.calls)-calls)
	}
	f.now += 0.02
	f.end(first, Succeeded)
	f.replyTotal(1) // the place given back
	again := f.accept(1, 3)
	f.replyTotal(2)
	f.wantAttempts(again, 1)
}
