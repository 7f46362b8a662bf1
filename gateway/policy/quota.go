package policy

import (
	"fmt"
	"hash/fnv"
	"math"
)

const (
	// noWindow is the window of a customer before its first refill.
	noWindow = math.MinInt64
	// usageTimeConstant is the time constant of the exponential decay of recent usage, in seconds.
	usageTimeConstant = 8
	// slotGain is the weight of a new value in the moving averages of open slots.
	slotGain = 0.1
	// minWindowAge bounds the estimated rate of the other instances shortly after the start of a window, in seconds.
	minWindowAge = 1
	// unseenHalfTime is the time since the last total, in seconds, for which half of the units that others added are taken as
	// added evenly over that time, and the rest as a burst.
	unseenHalfTime = 4
	// The counter service has lost a count if its total fell by more than lostCountMaxUnits times the largest invocation's units
	// plus a burst divided by lostCountBurstDivisor.
	lostCountMaxUnits     = 4
	lostCountBurstDivisor = 4
)

// quotaState is this instance's state of a customer's quota on the rate, in the current window of the counter.
type quotaState struct {
	window      int64
	counterName uint64 // name of the window's count on the counter service

	available   float64 // units that may still be admitted, excluding those of calls in flight
	availableAt float64
	pending     float64 // units of estimates in calls in flight

	unreported float64 // units to add with the next call
	reportedAt float64 // time of the last call

	lastTotal    float64 // units in the last total; 0: none in this window
	lastTotalAt  float64
	overAdmitted float64 // units in the last total that others admitted beyond what was available

	recentRequested float64 // units requested from this instance, without clients' retries; decays
	recentLocal     float64 // units admitted by this instance; decays
	recentTotal     float64 // units admitted by all instances; decays
}

// slotState is this instance's state of a customer's concurrency quota.
type slotState struct {
	open       int     // slots held by this instance
	counted    int     // this instance's slots on the counter
	meanOpen   float64 // mean of open, at each invocation
	othersOpen float64 // mean of others' slots in totals
	ownOpen    float64 // mean of this instance's slots in totals
}

// refill adds the units that became available since the last refill. At the start of a new window it switches to the window's
// count. The next total limits the available units to one burst, so that at most one burst is carried over to a new window.
// observedShare is the field of peerView.
func (c *customer) refill(now, observedShare float64) {
	q, p := &c.quota, c.plan
	q.available += p.Rate * (now - q.availableAt)
	if window := int64(math.Floor(now / p.windowLength())); window != q.window {
		if q.window == noWindow { // no total is known, so the whole burst is taken as unused
			q.available = p.Burst + (1-observedShare)*p.Rate*math.Mod(now, p.windowLength())
		}
		q.window = window
		q.lastTotal = 0
		q.overAdmitted = 0
		q.counterName = countName(c.id, window)
		c.slots.counted = 0
	}
	fade := math.Exp(-(now - q.availableAt) / usageTimeConstant)
	q.recentLocal *= fade
	q.recentTotal *= fade
	q.recentRequested *= fade
	q.availableAt = now
}

// countName returns the name of a customer's count for one window on the counter service.
func countName(customer string, window int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", customer, window)
	return h.Sum64() >> 1
}

// reserve reserves an invocation's units and a slot until release is called.
func (c *customer) reserve(inv *Invocation) {
	inv.reserved = true
	c.slots.open++
	c.quota.available -= inv.quotaUnits
}

// release frees an invocation's slot, and its units if nothing has run. A freed slot that stays counted could throttle the
// customer at other instances, so it is reported at once, if need be by a call ahead of the rate limit.
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
	if (neverRan && c.quota.unreported < 0 || overcounted) && g.counter.limiter.Allows(now, g.counter.tokensNeeded(c)) {
		g.report(now, c, nil)
	}
}

// settle replaces an invocation's estimate by its actual units. The difference is reported with the next call.
func (g *Gateway) settle(inv *Invocation, result AttemptResult) {
	settles := g.counter.config.SettlesUnits && result.Outcome == Succeeded && result.ActualUnits > 0
	if settles && inv.reserved && inv.quotaUnits > 0 {
		q := &inv.customer.quota
		q.unreported = q.unreported + result.ActualUnits - inv.quotaUnits
		q.available = q.available - result.ActualUnits + inv.quotaUnits
	}
}

// applyTotal processes the total returned by a call of the current window. It sets retryAfter of the call's invocation if this
// must be throttled.
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

// addedByOthers returns the units that other instances have added since the last total. If that was before this window it
// includes an estimate of what they added to the earlier counts since.
func (g *Gateway) addedByOthers(now float64, call *counterCall, units float64) float64 {
	c, p := call.customer, call.customer.plan
	others := units - call.added - c.quota.lastTotal
	if others < -(lostCountMaxUnits*g.counter.config.MaxUnits + p.Burst/lostCountBurstDivisor) {
		// No subtraction explains so low a total, so the count was lost. Units used before do not become available again.
		g.output.Log(fmt.Sprintf("the counter lost a count: total %.0f, previously %.0f", units-call.added, c.quota.lastTotal))
		others = max(0, units-call.added)
	}
	unseen := now - c.quota.lastTotalAt
	if windowAge := math.Mod(now, p.windowLength()); p.Rate > 0 && others > 0 && unseen > windowAge {
		others += g.addedBeforeWindow(c, others, unseen, windowAge)
	}
	return others
}

// addedBeforeWindow estimates the units that other instances added between the last total and the start of this window, by their
// rate in this window.
func (g *Gateway) addedBeforeWindow(c *customer, others, unseen, windowAge float64) float64 {
	rate := others / max(minWindowAge, windowAge)
	if c.quota.lastTotalAt == 0 { // no total yet: above half of the plan's rate, others are taken to have used part of its burst
		return (1 - g.peers.observedShare) * c.plan.Burst * min(1, max(0, 2*rate/c.plan.Rate-1))
	}
	return (1 - g.peers.observedShare) * rate * (unseen - windowAge)
}

// updateAvailable subtracts the units that others have added from the available ones. Units that they admitted beyond those are
// not owed, and do not become available when they are subtracted from the count again.
func (g *Gateway) updateAvailable(now float64, call *counterCall, others float64) {
	q, p := &call.customer.quota, call.customer.plan
	unseen := now - q.lastTotalAt
	expected := max((q.recentTotal-q.recentLocal)/usageTimeConstant*unseen, max(0, others)*unseen/(unseen+unseenHalfTime))
	reserved := q.pending
	if call.invocation != nil && call.invocation.stage == stageCounting {
		reserved += call.invocation.quotaUnits
	}
	returned := min(q.overAdmitted, max(0, -others))
	q.available = min(p.Burst-reserved, min(q.available, p.Burst-reserved+expected)-others-returned)
	q.overAdmitted -= returned
	if !g.counter.config.SettlesUnits { // otherwise settlements may make it negative
		q.overAdmitted += max(0, -reserved-q.available)
		q.available = max(q.available, -reserved)
	}
}
