package policy

import "testing"

func TestEstimateIsAddedBeforeAttempt(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.accept(3, 2)
	f.wantAttempts(inv, 0)
	f.wantCall(3)
	f.replyTotal(3)
	f.wantAttempts(inv, 1)
}

func TestThrottlesAndSubtractsEstimateWhenTotalIsOverQuota(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.accept(4, 2)
	f.wantCall(4)
	f.replyTotal(12) // others have used 8 of the 10
	f.wantCall(-4)
	if decision := f.decisions[inv]; decision.Action != Throttle || decision.RetryAfter < 0.9 || decision.RetryAfter > 1.1 {
		t.Fatalf("want Throttle with a RetryAfter of 1 s, got %+v", decision)
	}
}

func TestRejectedCallIsReportedLater(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.accept(4, 2)
	f.reply(Rejected, 0)
	f.wantAttempts(inv, 1)
	f.wait(0.1)
	f.accept(1, 2)
	f.wantCall(5)
}

func TestTimedOutCallIsReportedAgain(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(4, 2)
	f.reply(TimedOut, 0)
	f.accept(1, 2)
	f.wantCall(5) // if the first call was applied the count is too high, which is preferred to too low
}

func TestSilentCounterIsCalledLess(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", Rate: 1000, Burst: 10000})
	for range 60 {
		f.accept(1, 2)
		f.timeOutCalls()
	}
	before := len(f.calls)
	for i := range 500 { // 5 s, 100 per second
		f.accept(1, 2)
		f.timeOutCalls()
		if i%10 == 9 {
			f.wait(0.1)
		}
	}
	if made := len(f.calls) - before; made < 10 || made > 110 {
		t.Fatalf("%d calls to a silent counter in 5 s, want a few", made)
	}
	for range 100 { // the counter answers again
		f.accept(1, 2)
		f.replyEachAlone()
		f.wait(0.1)
	}
	if f.gateway.counter.limiter.Rate < 20 {
		t.Fatalf("%.1f calls/s 10 s after the counter's recovery", f.gateway.counter.limiter.Rate)
	}
	if len(f.logs) != 2 {
		t.Fatalf("want one line for each change of limiting, got %q", f.logs)
	}
}

func TestConcurrencyQuotaHoldsAndReleaseIsReportedAtOnce(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", MaxConcurrent: 2})
	first := f.accept(1, 2)
	f.wantCall(1000)
	f.replyTotal(2000) // another API gateway holds one slot
	f.wantAttempts(first, 1)
	second := f.accept(1, 2)
	f.replyTotal(3000)
	if f.decisions[second].Action != Throttle {
		t.Fatalf("a third invocation was admitted: %+v", f.decisions[second])
	}
	f.wantCall(-1000)
	f.replyTotal(2000)
	f.end(first, Succeeded)
	f.wantCall(-1000)
}

// Each time-out in a burst once cut the rate of calls to the counter, which then took seconds to recover. A burst must cut it
// only once.
func TestBurstOfTimeoutsCutsCallRateOnce(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", Rate: 1000, Burst: 10000})
	for range 300 {
		f.accept(1, 2)
		f.replyEachAlone()
		f.wait(0.01)
	}
	before := f.gateway.counter.limiter.Rate
	for range 12 {
		f.accept(1, 2)
	}
	f.now += 0.05
	if f.timeOutCalls(); f.gateway.counter.limiter.Rate < 0.7*before || f.gateway.counter.limiter.Rate >= before {
		t.Fatalf("%.0f calls/s after a burst of time-outs, %.0f before", f.gateway.counter.limiter.Rate, before)
	}
	for range 20 { // slow answers must lower the rate before any call times out
		f.accept(1, 2)
		for before = f.gateway.counter.limiter.Rate; f.replied < len(f.calls); {
			f.replied++
			f.gateway.CounterReplied(f.now, f.calls[f.replied-1].name, Succeeded, 1, 0.04)
		}
		f.wait(0.1)
	}
	if f.gateway.counter.limiter.Rate >= before {
		t.Fatalf("%.0f calls/s with slow answers, %.0f before the last", f.gateway.counter.limiter.Rate, before)
	}
}

// A call whose answer can't be read was applied. Its estimate must not be reported again, and the rate of calls must not fall.
func TestUnreadableTotalCountsAsAdded(t *testing.T) {
	f := newHarness(t, smallPlan)
	before := f.gateway.counter.limiter.Rate
	inv := f.accept(1, 1)
	f.wantCall(1)
	f.reply(Failed, 0)
	f.wantAttempts(inv, 1)
	f.end(inv, Succeeded)
	f.accept(2, 1)
	f.wantCall(2)
	f.replyTotal(9)
	f.wait(0.1)
	if f.gateway.counter.limiter.Rate < before {
		t.Fatalf("%.1f calls/s, %.1f before", f.gateway.counter.limiter.Rate, before)
	}
	inv = f.accept(8, 1) // over the available units; what was added is subtracted
	f.reply(Failed, 0)
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("got %+v", f.decisions[inv])
	}
	f.wantCall(-8)
}

// A call that timed out has usually been applied. Its open slot once was added again, and then stayed counted after its release.
func TestSlotOfTimedOutCallIsNotAddedAgain(t *testing.T) {
	p := Plan{Name: "p", MaxConcurrent: 2}
	f := newHarness(t, p)
	inv := f.accept(1, 2)
	f.wantCall(p.slotUnit())
	f.reply(TimedOut, 0)
	f.wantAttempts(inv, 1)
	f.end(inv, Succeeded)
	f.wantCall(-p.slotUnit())
}

// After a silence of the counter the rate of calls is low, so that few answers can raise it. A few seconds of quick answers must
// restore most of the wanted rate.
func TestCallRateRecoversWithinSeconds(t *testing.T) {
	f := newHarnessOf(t, Plan{Name: "p", Rate: 1000, Burst: 10000}, 4)
	f.gateway.counter.limiter.Rate, f.gateway.counter.limiter.Tokens = 15.3, 1
	for range 250 {
		f.accept(1, 2)
		f.replyEachAlone()
		f.wait(0.01)
		f.answerAll()
	}
	if f.gateway.counter.limiter.Rate < 60 {
		t.Fatalf("%.1f calls/s 2.5 s after the counter's recovery, 100 are wanted", f.gateway.counter.limiter.Rate)
	}
}

// A released slot that is still counted throttles the customer at other instances. It must be reported even if the limiter has
// no token left, by a call ahead of the rate limit. Later calls wait until the limiter has made up for it.
func TestReleasedSlotIsReportedAheadOfRateLimit(t *testing.T) {
	p := Plan{Name: "p", MaxConcurrent: 2}
	f := newHarness(t, p)
	inv := f.accept(1, 2)
	f.replyTotal(p.slotUnit())
	f.gateway.counter.limiter.Tokens, f.gateway.counter.limiter.Rate, f.gateway.counter.limiter.UpdatedAt = 0, 32, f.now
	f.end(inv, Succeeded)
	f.replied = 1
	f.wantCall(-p.slotUnit())
	f.replyTotal(0)
	if f.accept(1, 2); len(f.calls) != 2 {
		t.Fatalf("a call was made without a token: %+v", f.calls)
	}
}

// A subtraction that timed out is assumed to be applied. If it is lost with its connection its slot must be reported again, else
// it would stay in the total.
func TestSlotOfLostCallIsReportedAgain(t *testing.T) {
	p := Plan{Name: "p", MaxConcurrent: 2}
	f := newHarness(t, p)
	inv := f.accept(1, 2)
	f.replyTotal(p.slotUnit())
	f.end(inv, Succeeded)
	f.reply(TimedOut, 0)
	f.wait(0.3)
	if len(f.calls) != 2 {
		t.Fatalf("reported again while it may have been applied: %+v", f.calls)
	}
	f.gateway.CounterCallLost(f.calls[1].name, f.calls[1].amount)
	f.wait(0.3)
	f.replied = 2
	f.wantCall(-p.slotUnit())
}
