package policy

import (
	"fmt"
	"hash/fnv"
	"math"
)

const (
	// noWindow is the window of a customer of which nothing has been counted.
	noWindow = math.MinInt64
	// recentSeconds is the time constant in which recent use fades.
	recentSeconds = 8
	// slotGain is the weight of a new value in the means of open slots.
	slotGain = 0.1
	// minWindowAge keeps the use of others, told from the start of a window, from growing without bound, in seconds.
	minWindowAge = 1
	// unseenMemory is how many seconds without a total halve what is taken from it for the use of others in between.
	unseenMemory = 4
	// A count was forgotten by the counter service if it fell by more than forgottenMaxUnits of the largest invocations and
	// this part of a burst.
	forgottenMaxUnits     = 4
	forgottenBurstDivisor = 4
)

// quotaState is what this instance knows of a customer's quota on the rate, in the current window of the counter.
type quotaState struct {
	window      int64
	counterName uint64 // of the window's count on the counter service

	available   float64 // units that may still be admitted, less those of calls in flight
	availableAt float64
	pending     float64 // units of estimates in calls in flight

	unreported float64 // units to add with the next call
	reportedAt float64 // last call

	lastTotal    float64 // units in the last total; 0: none in this window
	lastTotalAt  float64
	overAdmitted float64 // units in the last total that others admitted beyond what was available

	recentRequested float64 // units asked for here of late, without clients' retries
	recentLocal     float64 // units admitted of late by this instance
	recentTotal     float64 // units admitted of late by all
}

// slotState is what this instance knows of a customer's quota on invocations in flight.
type slotState struct {
	open       int     // held here
	counted    int     // of those held here, on the counter
	usualOpen  float64 // mean of open, at each invocation
	othersOpen float64 // mean of others' slots in totals
	ownOpen    float64 // mean of this instance's slots in totals
}

// refill brings what is available up to now and, at a window's edge, to the window's new count. What passes one burst is lost
// once a total has come, so an edge carries over one burst at most. observedShare is peerView's.
func (c *customer) refill(now, observedShare float64) {
	q, p := &c.quota, c.plan
	q.available += p.Rate * (now - q.availableAt)
	if window := int64(math.Floor(now / p.windowLength())); window != q.window {
		if q.window == noWindow { // no total seen: the whole burst counts as unused
			q.available = p.Burst + (1-observedShare)*p.Rate*math.Mod(now, p.windowLength())
		}
		q.window = window
		q.lastTotal = 0
		q.overAdmitted = 0
		q.counterName = countName(c.id, window)
		c.slots.counted = 0
	}
	fade := math.Exp(-(now - q.availableAt) / recentSeconds)
	q.recentLocal *= fade
	q.recentTotal *= fade
	q.recentRequested *= fade
	q.availableAt = now
}

// countName names a customer's count of one window on the counter service.
func countName(customer string, window int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", customer, window)
	return h.Sum64() >> 1
}

// reserve takes an invocation's units and its slot, until release.
func (c *customer) reserve(inv *Invocation) {
	inv.reserved = true
	c.slots.open++
	c.quota.available -= inv.quotaUnits
}

// release gives back an invocation's slot, and its units if nothing has run. Guards against slots given back that stay
// counted, and so refuse others: they are reported first, by a call lent.
func (g *Gateway) release(now float64, inv *Invocation) {
	if !inv.reserved {
		return
	}
	c := inv.customer
	inv.reserved = false
	c.slots.open--
	c.refill(now, g.peers.observedShare)
	neverRan := inv.unprovenAttempt == nil
	if neverRan {
		c.quota.unreported -= inv.quotaUnits
		c.quota.available += inv.quotaUnits
	}
	overcounted := c.slots.counted > c.slots.open
	if (neverRan && c.quota.unreported < 0 || overcounted) && g.counter.limiter.Allows(now, g.counter.tokensFor(c)) {
		g.report(now, c, nil)
	}
}

// settle replaces an invocation's estimate by its true units; the difference rides with the next call.
func (g *Gateway) settle(inv *Invocation, result AttemptResult) {
	settles := g.counter.config.SettlesUnits && result.Outcome == Succeeded && result.ActualUnits > 0
	if settles && inv.reserved && inv.quotaUnits > 0 {
		q := &inv.customer.quota
		q.unreported = q.unreported + result.ActualUnits - inv.quotaUnits
		q.available = q.available - result.ActualUnits + inv.quotaUnits
	}
}

// applyTotal takes the total that a call of the current window brought, and decides by it about the call's invocation: it is
// to be throttled where retryAfter is set.
func (g *Gateway) applyTotal(now float64, call *counterCall, total float64) {
	c := call.customer
	units, slots := c.plan.splitTotal(total)
	others := g.addedByOthers(now, call, units)
	g.updateAvailable(now, call, others)
	c.quota.recentTotal += max(0, others)
	c.quota.lastTotal = units
	c.quota.lastTotalAt = now
	if call.invocation == nil {
		return
	}
	c.slots.othersOpen += slotGain * (max(0, slots-float64(call.countedSlots)) - c.slots.othersOpen)
	c.slots.ownOpen += slotGain * (max(0, float64(call.countedSlots)-1) - c.slots.ownOpen)
	if missing := -(c.quota.available + c.quota.pending); c.plan.Rate > 0 && missing > 0 {
		call.invocation.retryAfter = missing / c.plan.Rate
	} else if c.plan.MaxConcurrent > 0 && slots > float64(c.plan.MaxConcurrent) {
		call.invocation.retryAfter = call.invocation.operation.meanLatency
	}
}

// addedByOthers is what others have added since the last total, in units, with what they are likely to have added before this
// window and no total told of.
func (g *Gateway) addedByOthers(now float64, call *counterCall, units float64) float64 {
	c, p := call.customer, call.customer.plan
	others := units - call.added - c.quota.lastTotal
	if others < -(forgottenMaxUnits*g.counter.config.MaxUnits + p.Burst/forgottenBurstDivisor) {
		// Guards against a forgotten count: nothing taken off explains so low a total. What was used stays used.
		g.output.Log(fmt.Sprintf("a count was forgotten: %.0f after %.0f", units-call.added, c.quota.lastTotal))
		others = max(0, units-call.added)
	}
	unseen := now - c.quota.lastTotalAt
	if windowAge := math.Mod(now, p.windowLength()); p.Rate > 0 && others > 0 && unseen > windowAge {
		others += g.addedBeforeWindow(c, others, unseen, windowAge)
	}
	return others
}

// addedBeforeWindow is what others are likely to have added between the last total and the start of this window, in units:
// at the rate at which they added in this one.
func (g *Gateway) addedBeforeWindow(c *customer, others, unseen, windowAge float64) float64 {
	rate := others / max(minWindowAge, windowAge)
	if c.quota.lastTotalAt == 0 { // no total was ever seen: above half of the plan's rate they had begun to use up its burst
		return (1 - g.peers.observedShare) * c.plan.Burst * min(1, max(0, 2*rate/c.plan.Rate-1))
	}
	return (1 - g.peers.observedShare) * rate * (unseen - windowAge)
}

// updateAvailable takes what others have added off what is available. What they added beyond that took nothing: it is no
// debt, nor does it become available when it is taken off.
func (g *Gateway) updateAvailable(now float64, call *counterCall, others float64) {
	q, p := &call.customer.quota, call.customer.plan
	unseen := now - q.lastTotalAt
	usual := max((q.recentTotal-q.recentLocal)/recentSeconds*unseen, max(0, others)*unseen/(unseen+unseenMemory))
	held := q.pending
	if call.invocation != nil && call.invocation.stage == stageCounting {
		held += call.invocation.quotaUnits
	}
	takenBack := min(q.overAdmitted, max(0, -others))
	q.available = min(p.Burst-held, min(q.available, p.Burst-held+usual)-others-takenBack)
	q.overAdmitted -= takenBack
	if !g.counter.config.SettlesUnits { // settlements may take it below
		q.overAdmitted += max(0, -held-q.available)
		q.available = max(q.available, -held)
	}
}
