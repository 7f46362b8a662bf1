package policy

import "math"

const (
	// idleEviction is the idle time after which a customer with a hard ceiling may be evicted, in seconds. It is long because
	// the ceiling starts empty when the customer returns.
	idleEviction = 60
	// longAgo is an age that puts the initial admitFractionAt far enough into the past to have no effect, in seconds.
	longAgo = 60
)

// customer is this instance's state of one customer of a plan.
type customer struct {
	id           string // plan and name
	plan         *Plan
	firstGateway float64 // number of the first API gateway that receives its requests
	gatewayCount float64 // number of API gateways that receive its requests
	quota        quotaState
	slots        slotState
	local        localShare
	ceiling      ceiling
}

// customerTable holds the known customers.
type customerTable struct {
	byID    map[string]*customer
	ordered []*customer // in order of arrival
}

// customer returns the customer of a request, and creates it if it is not known.
func (g *Gateway) customer(now float64, r Request) *customer {
	id := r.Plan + " " + r.Customer
	c := g.customers.byID[id]
	if c == nil {
		c = newCustomer(now, id, g.plan(r.Plan))
		g.customers.byID[id] = c
		g.customers.ordered = append(g.customers.ordered, c)
	}
	c.firstGateway = float64(r.FirstGateway)
	c.gatewayCount = max(1, float64(r.GatewayCount))
	return c
}

// plan returns the plan with the given name. A plan that is not configured has no quotas.
func (g *Gateway) plan(name string) *Plan {
	p := g.plans[name]
	if p == nil {
		p = &Plan{Name: name}
		g.plans[name] = p
		g.output.Log("unknown plan, no quota is applied: " + name)
	}
	return p
}

func newCustomer(now float64, id string, plan *Plan) *customer {
	return &customer{
		id:      id,
		plan:    plan,
		quota:   quotaState{window: noWindow, availableAt: now},
		local:   localShare{admitFraction: 1, admitFractionAt: now - longAgo},
		ceiling: ceiling{refilledAt: now},
	}
}

// evictable reports whether the customer's state can be dropped without an effect on decisions. Eviction keeps memory from
// growing with every customer ever seen.
func (c *customer) evictable(now float64) bool {
	idle := now - c.quota.availableAt
	nothingOpen := c.slots.open == 0 && c.slots.counted == 0 && c.quota.pending == 0
	return nothingOpen && c.quota.available+c.plan.Rate*idle >= c.plan.Burst &&
		c.local.currentAdmitFraction(now) == 1 && idle > c.plan.windowLength() &&
		(idle > idleEviction || c.plan.CeilingRate == 0)
}

const (
	// A counter window lasts as long as the burst takes to refill, from minWindow to maxWindow: long windows make window
	// changes rare. slotWindow applies to plans that count only slots. It is short because the slots of a crashed API gateway
	// stay counted until their window ends. All are in seconds.
	minWindow  = 15
	maxWindow  = 25
	slotWindow = 2
	// minSlotUnit and slotUnitBursts make a slot's amount exceed all units of a window, so that a total can hold both.
	minSlotUnit    = 1000
	slotUnitBursts = 4
	// A count is kept for countLifeWindows windows, but not longer than maxCountLife seconds, a limit of the counter service.
	countLifeWindows = 2.2
	maxCountLife     = 60
)

// windowLength returns the length of the plan's counter windows, in seconds.
func (p *Plan) windowLength() float64 {
	if p.Rate <= 0 {
		return slotWindow
	}
	return min(maxWindow, max(minWindow, p.Burst/p.Rate))
}

// countLife returns how long the counter service keeps a count, in seconds.
func (p *Plan) countLife() float64 { return min(maxCountLife, countLifeWindows*p.windowLength()) }

// slotUnit returns the amount that one open slot adds to a count, which also holds units. It is a power of ten. Totals have
// seven digits.
func (p *Plan) slotUnit() float64 {
	return math.Pow(10, math.Ceil(math.Log10(max(minSlotUnit, slotUnitBursts*(p.Burst+p.Rate*p.windowLength())))))
}

// splitTotal splits a total of the counter into units and open slots.
func (p *Plan) splitTotal(total float64) (units, slots float64) {
	if p.MaxConcurrent <= 0 {
		return total, 0
	}
	return math.Remainder(total, p.slotUnit()), math.Round(total / p.slotUnit())
}

// limited reports whether the plan has a quota that is kept by the counter.
func (p *Plan) limited() bool { return p.Rate > 0 || p.MaxConcurrent > 0 }
