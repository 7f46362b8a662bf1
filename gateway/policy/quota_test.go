package policy

import (
	"strings"
	"testing"
)

func TestSettlesActualUnits(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.gateway.counter.config.SettlesUnits = true
	for _, c := range []struct{ actual, rides float64 }{{5, 4}, {1, 0}} {
		f.wait(1)
		inv := f.accept(3, 2)
		f.replyTotal(3)
		f.endWith(inv, AttemptResult{Outcome: Succeeded, ActualUnits: c.actual})
		f.wait(0.1)
		f.accept(2, 2) // the difference rides with the next add
		f.wantCall(c.rides)
		f.replyTotal(c.rides)
	}
}

func TestTakesOffEstimateWhenNothingRan(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.gateway.UpdateHosts(f.now, nil, true) // no host: it waits in line and is given up
	inv := f.accept(3, 2)
	f.replyTotal(3)
	f.wait(1)
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("want a throttling, got %+v", f.decisions[inv])
	}
	f.wantCall(-3)
}

func TestWindowEdgeCarriesAtMostOneBurst(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(8, 2)
	f.replyTotal(8)
	old := f.calls[0].name
	f.wait(40) // idle for windows on end
	f.accept(8, 2)
	if f.calls[f.replied].name == old {
		t.Fatal("the new window has the old name")
	}
	f.replyTotal(8)
	f.wait(0.1)
	inv := f.accept(8, 2)
	f.wantCall(8)
	f.replyTotal(16)
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("16 units passed at once after an edge: %+v", f.decisions[inv])
	}
}

func TestForgottenCountMakesNothingAvailable(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", Rate: 0.1, Burst: 100})
	f.accept(8, 2)
	f.replyTotal(98)
	f.wait(0.1)
	inv := f.accept(8, 2)
	f.wantCall(8)
	f.replyTotal(8) // the count began again at nothing
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("a forgotten count admitted %+v", f.decisions[inv])
	}
	if len(f.logs) != 1 || !strings.Contains(f.logs[0], "forgotten") {
		t.Fatalf("want one line on the count, got %q", f.logs)
	}
}

func TestUnitsOverAdmittedByOthersAreNoDebt(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(1, 2)
	f.replyTotal(60) // others were admitted far beyond the quota
	f.wait(3)
	inv := f.accept(4, 2)
	f.wantCall(-1)
	f.replyTotal(59)
	f.replyTotal(63)
	f.wantAttempts(inv, 1) // 3 s fill 6 units
}

func TestUseByOthersIsSpreadOverTimeWithoutTotals(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(1, 2)
	f.replyTotal(1)
	f.wait(14)
	inv := f.accept(4, 2) // others used 20 of the 28 that came in meanwhile
	f.replyTotal(25)
	f.wantAttempts(inv, 1)
}

func TestFirstTotalAfterRestartDecides(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", Rate: 0.1, Burst: 10}) // it knows nothing; others have used all
	f.accept(4, 2)
	f.replyTotal(14)
	f.wait(0.1)
	inv := f.accept(4, 2)
	f.replyTotal(10)
	f.replyTotal(14)
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("admitted after a total that left no room: %+v", f.decisions[inv])
	}
}

func TestTrafficMovedFromOtherGatewaysIsAdmitted(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(1, 3)
	f.replyTotal(8) // till now the others had nearly all of it
	f.wait(4)       // 8 more units have come in, and the customer moves here
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
	}{{14, Send}, {40, Throttle}} { // 2 a second for 10 s of a window, and a burst of 10: well under, and over
		f := newHarnessOf(t, smallPlan, 300)
		inv := f.accept(2, 2) // the clock stands at 1000, its window began at 990
		f.replyTotal(c.total)
		if f.decisions[inv].Action != c.want {
			t.Fatalf("a first total of %v: %+v", c.total, f.decisions[inv])
		}
	}
}
