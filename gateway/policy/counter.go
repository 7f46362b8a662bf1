package policy

import (
	"fmt"
	"math"
	"slices"

	"otterseam/gateway/overload"
)

const (
	// reportDelay is the time since the last call after which Tick makes one for unreported changes, in seconds.
	// reportBurstDivisor gives the fraction of a burst that unreported units must exceed for that.
	reportDelay        = 0.25
	reportBurstDivisor = 4
	// A call that reports a released slot may exceed the rate limit by 1/advanceDivisor of a second's calls.
	advanceDivisor = 8
	// overQuotaFactor and peerOverQuotaFactor are the factors by which a customer's admitted fraction is cut after a total, or a
	// peer's report, that it is over its quota.
	overQuotaFactor     = 0.5
	peerOverQuotaFactor = 0.6
)

// counterClient is this instance's view of the counter service.
type counterClient struct {
	config  CounterConfig
	limiter overload.CallLimiter
	calls   map[uint64][]*counterCall // calls in flight by the count's name, oldest first
}

// counterCall is a call that adds to a count and returns its total.
type counterCall struct {
	customer     *customer
	invocation   *Invocation // the invocation that waits for the total; nil: none
	window       int64
	added        float64 // units
	estimate     float64 // the invocation's part of added
	slots        int     // open slots added; negative: subtracted
	countedSlots int     // this instance's slots on the counter after the call
}

func newCounterClient(config CounterConfig) counterClient {
	return counterClient{
		config:  config,
		limiter: overload.NewCallLimiter(config.Present, config.Timeout),
		calls:   map[uint64][]*counterCall{},
	}
}

// tokensNeeded returns the number of tokens that a report of a customer's changes requires. It is less than 1 if a released slot
// is still counted, since the other instances should learn of it soon.
func (k *counterClient) tokensNeeded(c *customer) float64 {
	return 1 - k.limiter.Rate/advanceDivisor*float64(min(1, max(0, c.slots.counted-c.slots.open)))
}

// popOldest removes and returns the oldest call on a count, or nil if there is none.
func (k *counterClient) popOldest(name uint64) *counterCall {
	calls := k.calls[name]
	if len(calls) == 0 {
		return nil
	}
	k.calls[name] = calls[1:]
	if len(calls) == 1 {
		delete(k.calls, name)
	}
	return calls[0]
}

// report makes a call that adds a customer's unreported changes to its count. If inv is not nil the call also adds its
// estimate, and inv waits for the total.
func (g *Gateway) report(now float64, c *customer, inv *Invocation) {
	call := &counterCall{customer: c, window: c.quota.window, invocation: inv}
	if inv != nil {
		call.estimate = inv.quotaUnits
	}
	call.added = c.quota.unreported + call.estimate
	c.quota.pending += call.estimate
	amount := call.added
	if c.plan.MaxConcurrent > 0 {
		call.slots = c.slots.open - c.slots.counted
		amount += float64(call.slots) * c.plan.slotUnit()
	}
	g.counter.limiter.Tokens--
	c.quota.unreported = 0
	c.quota.reportedAt = now
	c.slots.counted += call.slots
	call.countedSlots = c.slots.counted
	g.counter.calls[c.quota.counterName] = append(g.counter.calls[c.quota.counterName], call)
	g.output.AddCount(c.quota.counterName, amount, c.plan.countLife())
}

// reportIfDue reports a customer's changes to the counter if no invocation has done so recently.
func (g *Gateway) reportIfDue(now float64, c *customer) {
	due := math.Abs(c.quota.unreported) > c.plan.Burst/reportBurstDivisor || c.slots.counted > c.slots.open
	if due && c.plan.limited() && now-c.quota.reportedAt > reportDelay && g.counter.limiter.Allows(now, 1) {
		c.refill(now, g.peers.observedShare)
		g.report(now, c, nil)
	}
}

// CounterReplied processes the end of the oldest call on a count. total is the count's total if the call succeeded, and
// duration is the duration of the call in seconds.
func (g *Gateway) CounterReplied(now float64, name uint64, outcome Outcome, total, duration float64) {
	call := g.counter.popOldest(name)
	if call == nil {
		return
	}
	c, inv := call.customer, call.invocation
	c.refill(now, g.peers.observedShare)
	lost := outcome == Rejected || outcome == TimedOut || outcome == NoConnection
	if g.counter.limiter.CallEnded(now, g.peers.live, outcome == Succeeded, lost, duration) {
		g.output.Log(fmt.Sprintf("counter: limiting changed, last call %c in %.3f s, at most %.1f calls/s", outcome, duration, g.counter.limiter.Rate))
	}
	c.quota.pending -= call.estimate
	if outcome != Succeeded {
		g.counterCallFailed(now, call, outcome)
		return
	}
	c.local.budgetAt = 0
	if call.window == c.quota.window {
		g.applyTotal(now, call, total)
	}
	if inv == nil || inv.stage != stageCounting {
		return
	}
	if inv.retryAfter == 0 {
		g.enqueue(inv)
		return
	}
	g.broadcast(now, "="+c.id)
	c.local.cutAdmitFraction(now, overQuotaFactor)
	g.throttle(now, inv) // subtracts the estimate from the count at once
}

// counterCallFailed processes a call that returned no total. In general its units count as not added and are reported again: a
// count that may be too high is preferred to one that may be too low.
func (g *Gateway) counterCallFailed(now float64, call *counterCall, outcome Outcome) {
	waiting := call.invocation != nil && call.invocation.stage == stageCounting
	if outcome != Failed {
		call.customer.quota.unreported += call.added - call.estimate
		// A call that timed out has usually been applied. If its slots were added again, they would stay counted after
		// their release.
		if call.window == call.customer.quota.window && outcome != TimedOut {
			call.customer.slots.counted -= call.slots
		}
	} else if waiting {
		// The answer can't be read, but the call was applied. This compensates for admitLocally, which adds the estimate to
		// the unreported units.
		call.customer.quota.unreported -= call.estimate
	}
	if waiting {
		g.admitLocally(now, call.invocation)
	}
}

// CounterCallLost reports that a timed-out call that added amount will never be answered. Its slots were assumed to be
// counted and now are not. Without this, a lost subtraction would leave its slots in the total until the window ends.
func (g *Gateway) CounterCallLost(name uint64, amount float64) {
	i := slices.IndexFunc(g.customers.ordered, func(c *customer) bool {
		return c.quota.counterName == name && c.plan.MaxConcurrent > 0
	})
	if i < 0 {
		return
	}
	c := g.customers.ordered[i]
	c.slots.counted -= int(math.Round(amount / c.plan.slotUnit()))
}
