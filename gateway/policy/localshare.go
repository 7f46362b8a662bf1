package policy

import "math"

const (
	// minShare is the least part of an even share that an instance takes of a customer's quota.
	minShare = 0.5
	// priorBurstDivisor: half of a burst counts as used evenly by all instances, before any use is seen.
	priorBurstDivisor = 2
	// lowUse is the part of its quota up to which what a customer asks for here says that it is far from it.
	lowUse = 0.3
	// fractionRegain is how fast the admitted fraction grows again, as a part of it each second.
	fractionRegain = 0.05
	// fractionPause is for how many seconds after a cut no other one counts.
	fractionPause = 1
	// localRetryAfter is when a client comes back that was throttled by the admitted fraction, in seconds.
	localRetryAfter = 0.5
	// othersPrior is how many slots each other instance is taken to hold for one here, before totals tell.
	othersPrior = 0.1
)

// localShare decides without the counter: by this instance's share of a customer's quota, and by a fraction of its
// invocations once it was seen over its quota.
type localShare struct {
	share    float64 // part of the quota
	gateways float64 // API gateways by which it was divided
	budget   float64 // units that may be admitted without a call, as of budgetAt
	budgetAt float64 // 0: a total came since

	admitFraction   float64 // of invocations that may be admitted without a call, as of admitFractionAt
	admitFractionAt float64 // when it was last cut
}

// admitFractionNow is the fraction of invocations that may be admitted without a call.
func (l *localShare) admitFractionNow(now float64) float64 {
	return min(1, l.admitFraction*math.Exp(fractionRegain*(now-l.admitFractionAt)))
}

// cut takes the fraction down to a part of it: a customer was seen over its quota.
func (l *localShare) cut(now, part float64) {
	if now-l.admitFractionAt > fractionPause {
		l.admitFraction = part * l.admitFractionNow(now)
		l.admitFractionAt = now
	}
}

// admitLocally decides about an invocation without a call; the counter is told later. Where this instance sees little of a
// customer, it lends to one far from its quota, and admits a fraction of the invocations of one that was seen over it.
func (g *Gateway) admitLocally(now float64, inv *Invocation) {
	c, p, local := inv.customer, inv.customer.plan, &inv.customer.local
	gateways := g.instance.Peers.ShareDivisor(now, int(c.firstGateway), int(c.gatewayCount))
	if local.budgetAt == 0 {
		c.startLocalBudget(now, inv, gateways, g.peers.observedShare)
	}
	share := min(1, local.share*local.gateways/gateways) // by who has gone or come back since
	maxBudget := max(local.budget, share*p.Burst, inv.quotaUnits)
	local.budget = min(local.budget+share*p.Rate*(now-local.budgetAt), maxBudget)
	local.budgetAt = now
	// In both means a total holds the same part of the slots.
	othersOpen := c.slots.usualOpen * (c.slots.othersOpen + othersPrior*(gateways-1)) / (c.slots.ownOpen + othersPrior)
	switch {
	case g.peers.observedShare < 1 && g.random.Float64() > local.admitFractionNow(now):
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

// startLocalBudget divides what is available of a customer's quota after the last total: by what this instance and all have
// admitted of late.
func (c *customer) startLocalBudget(now float64, inv *Invocation, gateways, observedShare float64) {
	q, local := &c.quota, &c.local
	prior := max(1, c.plan.Burst/priorBurstDivisor)
	local.share = max(minShare/gateways, (q.recentLocal+prior/gateways)/(q.recentTotal+prior))
	// Guards against throttling those far from their quota, as most are, whose traffic comes in unevenly: no total has said
	// that it is near its quota, nor does what is asked for here alone.
	if local.admitFractionNow(now) == 1 && q.recentRequested < recentSeconds*lowUse*c.plan.Rate {
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
