package policy

import "math"

const (
	// minShare is an instance's minimum share of a customer's quota, as a fraction of an even share.
	minShare = 0.5
	// priorBurstDivisor weights the prior for an instance's share: half of a burst used evenly by all instances.
	priorBurstDivisor = 2
	// lowUseShare is the fraction of its quota below which a customer's requests to this instance indicate that it is far from
	// its quota.
	lowUseShare = 0.3
	// admitFractionGrowth is the rate at which the admitted fraction grows exponentially after a cut, per second.
	admitFractionGrowth = 0.05
	// admitFractionCutInterval is the time after a cut in which further cuts are ignored, in seconds.
	admitFractionCutInterval = 1
	// localRetryAfter is the Retry-After time of an invocation that was throttled by the admitted fraction, in seconds.
	localRetryAfter = 0.5
	// othersSlotPrior is the assumed number of slots that each other instance holds per slot of this one, before totals are known.
	othersSlotPrior = 0.1
)

// localShare is the state by which invocations of a customer are admitted without the counter: this instance's share of the
// customer's quota, and the fraction of its invocations to admit after it was found over its quota.
type localShare struct {
	share    float64 // fraction of the quota
	gateways float64 // number of API gateways for which share was computed
	budget   float64 // units that may be admitted without a call, as of budgetAt
	budgetAt float64 // 0: a total was received since

	admitFraction   float64 // fraction of invocations that may be admitted without a call, as of admitFractionAt
	admitFractionAt float64 // time of the last cut
}

// currentAdmitFraction returns the fraction of invocations that may be admitted without a call now.
func (l *localShare) currentAdmitFraction(now float64) float64 {
	return min(1, l.admitFraction*math.Exp(admitFractionGrowth*(now-l.admitFractionAt)))
}

// cutAdmitFraction multiplies the fraction by factor, after the customer was found over its quota.
func (l *localShare) cutAdmitFraction(now, factor float64) {
	if now-l.admitFractionAt > admitFractionCutInterval {
		l.admitFraction = factor * l.currentAdmitFraction(now)
		l.admitFractionAt = now
	}
}

// admitLocally decides about an invocation without a call. The units are reported to the counter later. If this instance sees
// only a small part of a customer's traffic, it admits more than its share for a customer far from its quota, and only a
// fraction of the invocations of a customer that was found over its quota.
func (g *Gateway) admitLocally(now float64, inv *Invocation) {
	c, p, local := inv.customer, inv.customer.plan, &inv.customer.local
	gateways := g.instance.Peers.ShareDivisor(now, int(c.firstGateway), int(c.gatewayCount))
	if local.budgetAt == 0 {
		c.startLocalBudget(now, inv, gateways, g.peers.observedShare)
	}
	share := min(1, local.share*local.gateways/gateways) // adjusts to the current number of live gateways
	maxBudget := max(local.budget, share*p.Burst, inv.quotaUnits)
	local.budget = min(local.budget+share*p.Rate*(now-local.budgetAt), maxBudget)
	local.budgetAt = now
	// Both means are over the same totals, so that a common bias cancels in their ratio.
	othersOpen := c.slots.meanOpen * (c.slots.othersOpen + othersSlotPrior*(gateways-1)) / (c.slots.ownOpen + othersSlotPrior)
	switch {
	case g.peers.observedShare < 1 && g.random.Float64() > local.currentAdmitFraction(now):
		inv.retryAfter = localRetryAfter
	case inv.quotaUnits > local.budget:
		inv.retryAfter = (inv.quotaUnits - local.budget) / (share * p.Rate)
	case p.MaxConcurrent > 0 && float64(c.slots.open)+math.Round(othersOpen) > float64(p.MaxConcurrent):
		inv.retryAfter = inv.operation.meanLatency
	}
	c.quota.unreported += inv.quotaUnits
	if inv.retryAfter > 0 {
		g.throttle(now, inv)
		return
	}
	local.budget -= inv.quotaUnits
	g.enqueue(inv)
}

// startLocalBudget computes this instance's share of what was available of a customer's quota after the last total, by the ratio
// of the units that this instance and all instances have admitted recently.
func (c *customer) startLocalBudget(now float64, inv *Invocation, gateways, observedShare float64) {
	q, local := &c.quota, &c.local
	prior := max(1, c.plan.Burst/priorBurstDivisor)
	local.share = max(minShare/gateways, (q.recentLocal+prior/gateways)/(q.recentTotal+prior))
	// Avoids throttling customers far from their quota, as most are, whose traffic is unevenly distributed over the instances.
	// This one is taken as far from it because neither a total nor its requests to this instance indicate otherwise.
	if local.currentAdmitFraction(now) == 1 && q.recentRequested < usageTimeConstant*lowUseShare*c.plan.Rate {
		local.share = min(1, local.share*(2-observedShare))
	}
	available := max(0, min(c.plan.Burst, q.available+inv.quotaUnits))
	local.budget = local.share * available
	local.budgetAt = now
	local.gateways = gateways
	if available > c.plan.Burst/2 && !inv.clientRetry { // far from its quota, as most are
		local.budget = max(local.budget, min(available, inv.quotaUnits))
	}
}
