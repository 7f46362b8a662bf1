package policy

import (
	"fmt"
	"math"
	"slices"

	"otterseam/gateway/overload"
)

const (
	// reportDelay is how long an instance may owe a report before Tick makes a call for it, in seconds, and
	// reportBurstDivisor from which part of a burst on it does.
	reportDelay        = 0.25
	reportBurstDivisor = 4
	// lentDivisor: an eighth of a second's calls may be lent to report a slot that was given back.
	lentDivisor = 8
	// overQuotaCut and peerOverQuotaCut are what is left of a customer's local admissions after a total, or a peer's word,
	// that it is over its quota.
	overQuotaCut     = 0.5
	peerOverQuotaCut = 0.6
)

// counterClient is this instance's view of the counter service.
type counterClient struct {
	config  CounterConfig
	limiter overload.CallLimiter      // of calls
	calls   map[uint64][]*counterCall // in flight, by the count's name, the oldest first
}

// counterCall is a call that adds to a count and brings its total.
type counterCall struct {
	customer     *customer
	invocation   *Invocation // that waits for the total; nil: none does
	window       int64
	added        float64 // units
	estimate     float64 // units of added that are the invocation's
	slots        int     // open slots added; below 0: taken off
	countedSlots int     // held here and on the counter, with those
}

func newCounterClient(config CounterConfig) counterClient {
	return counterClient{
		config:  config,
		limiter: overload.NewCallLimiter(config.Present, config.Timeout),
		calls:   map[uint64][]*counterCall{},
	}
}

// tokensFor is how many tokens the limiter must have for a report: less than one call, for a slot of which others must hear.
func (k *counterClient) tokensFor(c *customer) float64 {
	return 1 - k.limiter.Rate/lentDivisor*float64(min(1, max(0, c.slots.counted-c.slots.open)))
}

// oldest takes the oldest call on a count; nil: there is none.
func (k *counterClient) oldest(name uint64) *counterCall {
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

// report adds what a customer owes to its count, and the estimate of an invocation that waits for the total, if any.
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

// reportIfDue makes a call for what the other instances should hear, where no invocation has made one.
func (g *Gateway) reportIfDue(now float64, c *customer) {
	due := math.Abs(c.quota.unreported) > c.plan.Burst/reportBurstDivisor || c.slots.counted > c.slots.open
	if due && c.plan.limited() && now-c.quota.reportedAt > reportDelay && g.counter.limiter.Allows(now, 1) {
		c.refill(now, g.peers.observedShare)
		g.report(now, c, nil)
	}
}

// CounterReplied takes the end of the oldest call on a count: its total where it succeeded, after so many seconds.
func (g *Gateway) CounterReplied(now float64, name uint64, outcome Outcome, total, took float64) {
	call := g.counter.oldest(name)
	if call == nil {
		return
	}
	c, inv := call.customer, call.invocation
	c.refill(now, g.peers.observedShare)
	lost := outcome == Rejected || outcome == TimedOut || outcome == NoConnection
	if g.counter.limiter.CallEnded(now, g.peers.live, outcome == Succeeded, lost, took) {
		g.output.Log(fmt.Sprintf("counter: last %c in %.3f s, at most %.1f calls a second", outcome, took, g.counter.limiter.Rate))
	}
	c.quota.pending -= call.estimate
	if outcome != Succeeded {
		g.counterMissed(now, call, outcome)
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
	c.local.cut(now, overQuotaCut)
	g.throttle(now, inv) // the estimate is taken off again, at once
}

// counterMissed takes a call without a total as one that added nothing: in doubt a count is too high, not too low.
func (g *Gateway) counterMissed(now float64, call *counterCall, outcome Outcome) {
	waiting := call.invocation != nil && call.invocation.stage == stageCounting
	if outcome != Failed {
		call.customer.quota.unreported += call.added - call.estimate
		// A late call has most often been added: added twice, its slot would be lost.
		if call.window == call.customer.quota.window && outcome != TimedOut {
			call.customer.slots.counted -= call.slots
		}
	} else if waiting {
		// An answer that can't be read: it was added all the same, and admitLocally would owe it again.
		call.customer.quota.unreported -= call.estimate
	}
	if waiting {
		g.admitLocally(now, call.invocation)
	}
}

// CounterCallLost tells that a late call of so much will never be answered. Its open slots were taken for added; now they
// are not. Guards against slots that stay in a total until its window ends.
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
