package policy

import (
	"strings"
	"testing"
)

func TestSettlesActualUnits(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.gateway.counter.config.SettlesUnits = true
	for _, c := range []struct{ actual, reported float64 }{{5, 4}, {1, 0}} {
		f.wait(1)
		inv := f.accept(3, 2)
		f.replyTotal(3)
		f.endWith(inv, AttemptResult{Outcome: Succeeded, ActualUnits: c.actual})
		f.wait(0.1)
		f.accept(2, 2) // the difference is reported with the next call
		f.wantCall(c.reported)
		f.replyTotal(c.reported)
	}
}

func TestSubtractsEstimateWhenNothingRan(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.gateway.UpdateHosts(f.now, nil, true) // no hosts: it is queued and then throttled
	inv := f.accept(3, 2)
	f.replyTotal(3)
	f.wait(1)
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("want Throttle, got %+v", f.decisions[inv])
	}
	f.wantCall(-3)
}

func TestNewWindowCarriesOverAtMostOneBurst(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(8, 2)
	f.replyTotal(8)
	old := f.calls[0].name
	f.wait(40) // idle for several windows
	f.accept(8, 2)
	if f.calls[f.replied].name == old {
		t.Fatal("the new window's count has the old name")
	}
	f.replyTotal(8)
	f.wait(0.1)
	inv := f.accept(8, 2)
	f.wantCall(8)
	f.replyTotal(16)
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("16 units were admitted at once in a new window: %+v", f.decisions[inv])
	}
}

func TestLostCountMakesNothingAvailable(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", Rate: 0.1, Burst: 100})
	f.accept(8, 2)
	f.replyTotal(98)
	f.wait(0.1)
	inv := f.accept(8, 2)
	f.wantCall(8)
	f.replyTotal(8) // the count restarted at zero
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("an invocation was admitted after a count was lost: %+v", f.decisions[inv])
	}
	if len(f.logs) != 1 || !strings.Contains(f.logs[0], "lost a count") {
		t.Fatalf("want one line about the lost count, got %q", f.logs)
	}
}

func TestUnitsOverAdmittedByOthersAreNotOwed(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(1, 2)
	f.replyTotal(60) // others were admitted far beyond the quota
	f.wait(3)
	inv := f.accept(4, 2)
	f.wantCall(-1)
	f.replyTotal(59)
	f.replyTotal(63)
	f.wantAttempts(inv, 1) // 6 units were refilled in 3 s
}

func TestUseByOthersIsSpreadOverTimeWithoutTotals(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(1, 2)
	f.replyTotal(1)
	f.wait(14)
	inv := f.accept(4, 2) // others used about 20 of the 28 units refilled meanwhile
	f.replyTotal(25)
	f.wantAttempts(inv, 1)
}

func TestFirstTotalAfterRestartDecides(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", Rate: 0.1, Burst: 10}) // it has no state; others have used the whole burst
	f.accept(4, 2)
	f.replyTotal(14)
	f.wait(0.1)
	inv := f.accept(4, 2)
	f.replyTotal(10)
	f.replyTotal(14)
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("admitted after a total over the quota: %+v", f.decisions[inv])
	}
}

func TestTrafficMovedFromOtherGatewaysIsAdmitted(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(1, 3)
	f.replyTotal(8) // so far others have used nearly all of the quota
	f.wait(4)       // 8 units are refilled, and the customer's traffic moves to this instance
	for _, total := range []float64{10, 12, 14, 16} {
		inv := f.accept(2, 3)
		f.replyTotal(total)
		f.wantAttempts(inv, 1)
	}
}

func TestFirstTotalInMidWindowAllowsForRefill(t *testing.T) {
	for _, c := range []struct {
		total float64
		want  Action
	}{{14, Send}, {40, Throttle}} { // below and above a refill of 2 units/s for 10 s plus a burst of 10
		f := newHarnessOf(t, smallPlan, 300)
		inv := f.accept(2, 2) // the clock is at 1000 s, the window started at 990 s
		f.replyTotal(c.total)
		if f.decisions[inv].Action != c.want {
			t.Fatalf("a first total of %v: %+v", c.total, f.decisions[inv])
		}
	}
}
