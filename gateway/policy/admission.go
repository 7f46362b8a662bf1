package policy

const (
	// answerMargin is how many mean latencies before the client's deadline an invocation is no longer worth sending.
	answerMargin = 0.7
	// counterMargin is what must be left of the client's time beside the counter's time-out, in seconds.
	counterMargin = 0.01
	// freshTotal is for how long the last total decides without a new call, in seconds, and crowdedTotal while the counter
	// can't answer all calls.
	freshTotal   = 0.07
	crowdedTotal = 1
	// minRate keeps a time to come back finite where a plan has no quota on the rate, in units/s.
	minRate = 0.001
)

// admit decides about a new invocation: it is answered at once, queued, or asked for at the counter.
func (g *Gateway) admit(now float64, inv *Invocation) Decision {
	c := inv.customer
	tooLate := now >= inv.deadline-answerMargin*inv.operation.meanLatency
	if tooLate || !c.underCeiling(now, inv) {
		return g.finish(now, inv)
	}
	c.refill(now, g.peers.observedShare)
	if !c.plan.limited() {
		g.enqueue(inv)
		return Decision{}
	}
	c.slots.usualOpen += slotGain * (float64(c.slots.open) - c.slots.usualOpen)
	if !inv.clientRetry {
		c.quota.recentRequested += inv.quotaUnits
	}
	if g.knownOverQuota(now, inv) {
		return g.finish(now, inv)
	}
	c.reserve(inv)
	if !g.counter.limiter.Allows(now, 1) || inv.deadline-now < g.counter.config.Timeout+counterMargin {
		g.admitLocally(now, inv)
		return Decision{}
	}
	inv.stage = stageCounting
	g.report(now, c, inv)
	return Decision{}
}

// knownOverQuota says whether no call is needed to know that an invocation must be throttled: by a total just seen, or by
// the slots that are open here alone. It sets when the client should come back.
func (g *Gateway) knownOverQuota(now float64, inv *Invocation) bool {
	c := inv.customer
	totalAge := now - c.quota.lastTotalAt
	recent := totalAge < freshTotal || g.counter.limiter.Limited && totalAge < crowdedTotal
	full := c.plan.MaxConcurrent > 0 && c.slots.open >= c.plan.MaxConcurrent
	missing := inv.quotaUnits - c.quota.available
	over := missing > 0 && recent || full
	if over {
		inv.retryAfter = max(inv.operation.meanLatency, missing/max(c.plan.Rate, minRate))
	}
	return over
}

// throttle gives back what an invocation had reserved; its final answer is due.
func (g *Gateway) throttle(now float64, inv *Invocation) {
	g.release(now, inv)
	inv.stage = stageThrottled
	g.queue.decideSoon(inv)
}
