package policy

import "math"

const (
	// idleForgotten is after how many idle seconds a customer under a hard ceiling may be forgotten: its ceiling starts empty.
	idleForgotten = 60
	// longAgo lies behind now, in seconds, so that what is counted from it is over.
	longAgo = 60
)

// customer is what this instance knows of one customer of a plan.
type customer struct {
	id           string // plan and name
	plan         *Plan
	firstGateway float64 // of the API gateways through which it comes in
	gatewayCount float64 // how many they are
	quota        quotaState
	slots        slotState
	local        localShare
	ceiling      ceiling
}

// customerTable holds the customers that are known.
type customerTable struct {
	byID    map[string]*customer
	ordered []*customer // as they came
}

// customer gives the customer of a request, which is new where it is not known.
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

// plan gives a plan by its name. One that the settings don't name promises nothing and limits nothing.
func (g *Gateway) plan(name string) *Plan {
	p := g.plans[name]
	if p == nil {
		p = &Plan{Name: name}
		g.plans[name] = p
		g.output.Log("a plan is unknown: no quota for " + name)
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

// forgettable says whether forgetting it changes no decision. Guards against memory that grows with all who ever came.
func (c *customer) forgettable(now float64) bool {
	idle := now - c.quota.availableAt
	nothingOpen := c.slots.open == 0 && c.slots.counted == 0 && c.quota.pending == 0
	return nothingOpen && c.quota.available+c.plan.Rate*idle >= c.plan.Burst &&
		c.local.admitFractionNow(now) == 1 && idle > c.plan.windowLength() &&
		(idle > idleForgotten || c.plan.CeilingRate == 0)
}

const (
	// A window of the counter lasts as long as the burst takes to fill, within bounds: long ones make edges rare. Where only
	// slots are counted it is short: a slot stranded by a dead API gateway lapses with its window. In seconds.
	minWindow  = 15
	maxWindow  = 25
	slotWindow = 2
	// minSlotUnit and slotUnitBursts make a slot so much more than all units of a window that a total holds both.
	minSlotUnit    = 1000
	slotUnitBursts = 4
	// A count outlives its window by some, up to a limit of the counter service, in seconds.
	countLifeWindows = 2.2
	maxCountLife     = 60
)

// windowLength is how long a window of the counter lasts for this plan, in seconds.
func (p *Plan) windowLength() float64 {
	if p.Rate <= 0 {
		return slotWindow
	}
	return min(maxWindow, max(minWindow, p.Burst/p.Rate))
}

// countLife is how long a count is kept by the counter service, in seconds.
func (p *Plan) countLife() float64 { return min(maxCountLife, countLifeWindows*p.windowLength()) }

// slotUnit is what one open slot adds to a count that also keeps units: a power of ten; totals have seven digits.
func (p *Plan) slotUnit() float64 {
	return math.Pow(10, math.Ceil(math.Log10(max(minSlotUnit, slotUnitBursts*(p.Burst+p.Rate*p.windowLength())))))
}

// splitTotal takes a total of the counter apart into units and open slots.
func (p *Plan) splitTotal(total float64) (units, slots float64) {
	if p.MaxConcurrent <= 0 {
		return total, 0
	}
	return math.Remainder(total, p.slotUnit()), math.Round(total / p.slotUnit())
}

// limited says whether the plan has a quota that the counter keeps.
func (p *Plan) limited() bool { return p.Rate > 0 || p.MaxConcurrent > 0 }
