package policy

const (
	// deadlineMargin is the least time before the client's deadline at which an invocation is still sent, in mean latencies.
	deadlineMargin = 0.7
	// counterTimeMargin is the time that the client's deadline must leave beyond the counter's time-out for a call to the
	// counter to be made, in seconds.
	counterTimeMargin = 0.01
	// maxTotalAge is how long an invocation may be throttled by the last total without a new call, in seconds.
	// maxTotalAgeLimited applies while the calls to the counter are limited.
	maxTotalAge        = 0.07
	maxTotalAgeLimited = 1
	// minRate keeps the computed Retry-After time finite for plans without a quota on the rate, in units/s.
	minRate = 0.001
)

// admit decides about a new invocation. It answers it at once, queues it, or calls the counter for it.
func (g *Gateway) admit(now float64, inv *Invocation) Decision {
	c := inv.customer
	tooLate := now >= inv.deadline-deadlineMargin*inv.operation.meanLatency
	if tooLate || !c.underCeiling(now, inv) {
		return g.finish(now, inv)
	}
	c.refill(now, g.peers.observedShare)
	if !c.plan.limited() {
		g.enqueue(inv)
		return Decision{}
	}
	c.slots.meanOpen += slotGain * (float64(c.slots.open) - c.slots.meanOpen)
	if !inv.clientRetry {
		c.quota.recentRequested += inv.quotaUnits
	}
	if g.knownOverQuota(now, inv) {
		return g.finish(now, inv)
	}
	c.reserve(inv)
	if !g.counter.limiter.Allows(now, 1) || inv.deadline-now < g.counter.config.Timeout+counterTimeMargin {
		g.admitLocally(now, inv)
		return Decision{}
	}
	inv.stage = stageCounting
	g.report(now, c, inv)
	return Decision{}
}

// knownOverQuota reports whether an invocation must be throttled by what is known without a call: by a recent total, or
// because the slots open in this instance alone use up the quota. It then sets the invocation's retryAfter.
func (g *Gateway) knownOverQuota(now float64, inv *Invocation) bool {
	c := inv.customer
	totalAge := now - c.quota.lastTotalAt
	recent := totalAge < maxTotalAge || g.counter.limiter.Limited && totalAge < maxTotalAgeLimited
	full := c.plan.MaxConcurrent > 0 && c.slots.open >= c.plan.MaxConcurrent
	missing := inv.quotaUnits - c.quota.available
	over := missing > 0 && recent || full
	if over {
		inv.retryAfter = max(inv.operation.meanLatency, missing/max(c.plan.Rate, minRate))
	}
	return over
}

// throttle releases the reservation of an invocation and schedules its final answer.
func (g *Gateway) throttle(now float64, inv *Invocation) {
	g.release(now, inv)
	inv.stage = stageThrottled
	g.queue.addUndecided(inv)
}
