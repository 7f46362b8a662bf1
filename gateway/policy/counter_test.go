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

func TestThrottlesAndTakesOffEstimateWhenTotalIsOverQuota(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.accept(4, 2)
	f.wantCall(4)
	f.replyTotal(12) // others have 8 of the 10
	f.wantCall(-4)
	if a := f.decisions[inv]; a.Action != Throttle || a.RetryAfter < 0.9 || a.RetryAfter > 1.1 {
		t.Fatalf("want a throttling that says 1 s, got %+v", a)
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
	f.wantCall(5) // too high, if the first was added, rather than too low
}

func TestSilentCounterIsCalledLess(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", Rate: 1000, Burst: 10000})
	for range 60 {
		f.accept(1, 2)
		f.timeOutCalls()
	}
	before := len(f.calls)
	for i := range 500 { // 5 s, 100 a second
		f.accept(1, 2)
		f.timeOutCalls()
		if i%10 == 9 {
			f.wait(0.1)
		}
	}
	if asked := len(f.calls) - before; asked < 10 || asked > 110 {
		t.Fatalf("%d calls in 5 s at a silent counter, want a few trials", asked)
	}
	for range 100 { // it answers again
		f.accept(1, 2)
		f.replyEachAlone()
		f.wait(0.1)
	}
	if f.gateway.counter.limiter.Rate < 20 {
		t.Fatalf("%.1f calls a second 10 s after the counter is back", f.gateway.counter.limiter.Rate)
	}
	if len(f.logs) != 2 {
		t.Fatalf("want one line for each change of mode, got %q", f.logs)
	}
}

func TestConcurrencyQuotaHoldsAndReleaseIsReportedAtOnce(t *testing.T) {
	f := newHarness(t, Plan{Name: "p", MaxConcurrent: 2})
	first := f.accept(1, 2)
	f.wantCall(1000)
	f.replyTotal(2000) // another API gateway has one out
	f.wantAttempts(first, 1)
	second := f.accept(1, 2)
	f.replyTotal(3000)
	if f.decisions[second].Action != Throttle {
		t.Fatalf("a third went out: %+v", f.decisions[second])
	}
	f.wantCall(-1000)
	f.replyTotal(2000)
	f.end(first, Succeeded)
	f.wantCall(-1000)
}

// One burst of time-outs at the counter took the rate of calls down once for each call in it, and seconds went by until it was back.
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
		t.Fatalf("%.0f calls a second after a burst of time-outs, %.0f before", f.gateway.counter.limiter.Rate, before)
	}
	for range 20 { // slow answers are a sign of it before any is missing
		f.accept(1, 2)
		for before = f.gateway.counter.limiter.Rate; f.replied < len(f.calls); {
			f.replied++
			f.gateway.CounterReplied(f.now, f.calls[f.replied-1].name, Succeeded, 1, 0.04)
		}
		f.wait(0.1)
	}
	if f.gateway.counter.limiter.Rate >= before {
		t.Fatalf("%.0f calls a second with slow answers, %.0f before the last", f.gateway.counter.limiter.Rate, before)
	}
}

// The counter's answer can't be read: the estimate was added all the same and is not owed again, and the calls go on.
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
		t.Fatalf("%.1f calls a second, %.1f before", f.gateway.counter.limiter.Rate, before)
	}
	inv = f.accept(8, 1) // over its room, and what was added is taken off
	f.reply(Failed, 0)
	if f.decisions[inv].Action != Throttle {
		t.Fatalf("got %+v", f.decisions[inv])
	}
	f.wantCall(-8)
}

// A call whose answer is late has most often been added: its open slot, added again, was one that nobody held.
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

// After the counter's silence few calls are made, and few answers come to let the rate grow again: a few seconds of
// quick answers must bring back most of what is wanted.
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
		t.Fatalf("%.1f calls a second 2.5 s after the counter is back, 100 are wanted", f.gateway.counter.limiter.Rate)
	}
}

// A place given back stays counted until the counter hears of it, and refuses the customer elsewhere: with no call left
// it is told all the same, by a call lent, and the next invocations wait for it.
func TestReleasedSlotIsReportedByLentCall(t *testing.T) {
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
		t.Fatalf("a call was left: %+v", f.calls)
	}
}

// A late subtraction was taken for added; when it is lost with its connection, its slot is reported again and not left in the total.
func TestSlotOfLostCallIsReportedAgain(t *testing.T) {
	p := Plan{Name: "p", MaxConcurrent: 2}
	f := newHarness(t, p)
	inv := f.accept(1, 2)
	f.replyTotal(p.slotUnit())
	f.end(inv, Succeeded)
	f.reply(TimedOut, 0)
	f.wait(0.3)
	if len(f.calls) != 2 {
		t.Fatalf("reported again while it may have been added: %+v", f.calls)
	}
	f.gateway.CounterCallLost(f.calls[1].name, f.calls[1].amount)
	f.wait(0.3)
	f.replied = 2
	f.wantCall(-p.slotUnit())
}
