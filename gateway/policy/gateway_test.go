package policy

import (
	"testing"

	"otterseam/gateway/overload"
)

func TestDecidesWithoutCounterPlanOperationOrHosts(t *testing.T) {
	t.Run("no counter: admits its share of the quota", func(t *testing.T) {
		f := newHarness(t, smallPlan)
		f.gateway.counter.limiter = overload.NewCallLimiter(false, 0)
		admitted := 0
		for range 10 {
			if f.admits(2, 2) {
				admitted++
			}
		}
		if admitted < 2 || admitted > 5 || len(f.calls) > 0 {
			t.Fatalf("%d admitted without a counter, %d calls", admitted, len(f.calls))
		}
	})
	t.Run("unknown plan: applies no quota and logs it", func(t *testing.T) {
		f := newHarness(t, smallPlan)
		inv := f.gateway.Accept(f.now, Request{Operation: "read", Customer: "c", Plan: "q", Units: 500, Deadline: f.now + 4})
		f.decide()
		f.wantAttempts(inv, 1)
		if len(f.logs) != 1 {
			t.Fatalf("logs %q", f.logs)
		}
	})
	t.Run("unknown operation: treats it as non-idempotent", func(t *testing.T) {
		f := newHarness(t, smallPlan)
		inv := f.gateway.Accept(f.now, Request{Operation: "new", Customer: "c", Plan: "q", Deadline: f.now + 4})
		f.decide()
		f.end(inv, TimedOut)
		if f.decisions[inv].Action != Fail {
			t.Fatalf("got %+v", f.decisions[inv])
		}
	})
	t.Run("no hosts: throttles in time", func(t *testing.T) {
		f := newHarness(t, Plan{Name: "p"})
		f.gateway.UpdateHosts(f.now, nil, true)
		inv := f.accept(1, 2)
		f.wait(1)
		if f.decisions[inv].Action != Throttle {
			t.Fatalf("got %+v", f.decisions[inv])
		}
	})
}

func TestAbandonedInvocationGetsNoAttempt(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.accept(3, 2)
	f.gateway.Abandon(f.now, inv)
	f.replyTotal(3)
	f.wait(0.5)
	f.wantAttempts(inv, 0)
	f.wantCall(-3)
}

func TestAttemptTimesOutAtTargetWhenLateAnswerIsWorthNothing(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.gateway.operations["mark"].LateValue = 0.2
	for op, want := range map[string]float64{"read": 1, "mark": 0, "once": 0} {
		if decision := f.decisions[f.acceptOperation(op, 1, 2)]; decision.Action != Send || decision.Timeout != want {
			t.Errorf("%s: want %v s, got %+v", op, want, decision)
		}
	}
}

// While an attempt waits for its connection its host may leave, or restart and be cold again.
func TestConfirmSendChecksHostAgain(t *testing.T) {
	for name, list := range map[string][]HostEntry{
		"leaves":        {{Addr: "a", Zone: "z", State: "leaving"}, {Addr: "b", Zone: "y", State: "leaving"}},
		"is removed":    {},
		"has restarted": {{Addr: "a", Zone: "z", State: "active", StartedAt: 1000.1}, {Addr: "b", Zone: "y", State: "active", StartedAt: 1000.1}},
		"is unchanged":  {{Addr: "a", Zone: "z", State: "active"}, {Addr: "b", Zone: "y", State: "active"}},
	} {
		f := newHarness(t, Plan{Name: "p"})
		inv := f.accept(1, 1)
		f.wantAttempts(inv, 1)
		f.now += 0.2
		f.gateway.UpdateHosts(f.now, list, true)
		if confirmed := f.gateway.ConfirmSend(f.now, inv.Attempts[0]); confirmed != (name == "is unchanged") {
			t.Errorf("the host %s: confirmed %v", name, confirmed)
		}
	}
}
