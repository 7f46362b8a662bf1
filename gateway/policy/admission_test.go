package policy

import "testing"

func TestThrottlesAtOnceWhenDeadlineIsTooClose(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.gateway.Accept(f.now, Request{Operation: "read", Customer: "c", Plan: "p", Units: 1, Deadline: f.now + 0.02})
	f.decide()
	if f.decisions[inv].Action != Throttle || len(f.calls) > 0 {
		t.Fatalf("want Throttle without a call, got %+v and %d calls", f.decisions[inv], len(f.calls))
	}
}

// A customer whose slots are all open in this instance is throttled without a call. The calls that add and subtract the slot
// would be wasted, and in between the slot would count against the customer at other API gateways.
func TestExhaustedConcurrencyQuotaThrottlesWithoutCall(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", MaxConcurrent: 2})
	first, second := f.accept(1, 3), f.accept(1, 3)
	f.replyTotal(1)
	f.replyTotal(2)
	f.wantAttempts(first, 1)
	f.wantAttempts(second, 1)
	calls := len(f.calls)
	third := f.accept(1, 3)
	if decision := f.decisions[third]; decision.Action != Throttle || decision.RetryAfter <= 0 || len(f.calls) != calls {
		t.Fatalf("got %+v after %d more calls, want Throttle without a call", decision, len(f.calls)-calls)
	}
	f.now += 0.02
	f.end(first, Succeeded)
	f.replyTotal(1) // reports the released slot
	again := f.accept(1, 3)
	f.replyTotal(2)
	f.wantAttempts(again, 1)
}
