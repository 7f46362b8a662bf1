package workload

import (
	"fmt"
	"math"

	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

const (
	// unitsRatio is how much likelier a number of units is than the next larger one: small requests are usual.
	unitsRatio = 1.5
	// Units are settled at the units asked for times a factor between these.
	minSettledFactor = 0.5
	maxSettledFactor = 1.5
	// maxCustomers bounds those of a scenario.
	maxCustomers = 1_000_000
)

// The part of its quota that a customer asks for.
const (
	minOverFactor = 0.7 // of the scenario's mean, for those over their quotas
	maxOverFactor = 1.3
	minNearPart   = 0.85 // evenly up to 1, for those near them
	meanFarPart   = 0.3  // Pareto distributed, for those far below
	maxFarPart    = 0.8
)

// How the work of an operation is spread around its mean, as scenarios name it. Without a word it is not.
const (
	exponentialWork = "exponential"
	evenWork        = "even" // between minEvenWork and 1+minEvenWork times the mean
	minEvenWork     = 0.5
)

// Numbers of customers and invocations become keys far apart (multiplicative hashing by the golden ratio, of 32 and of 64 bits).
const (
	firstCustomerKey    = 0x10000000
	customerKeyRange    = 0xe0000000
	customerKeyFactor   = 2654435761
	invocationRefFactor = 0x9e3779b97f4a7c15
	keyFormat           = "%016x"
)

// meanUnits is the mean of the distribution that drawUnits draws from.
func meanUnits(most int) float64 {
	sum := 0.0
	total := 0.0
	for units := 1; units <= most; units++ {
		probability := math.Pow(unitsRatio, -float64(units))
		sum += probability * float64(units)
		total += probability
	}
	return sum / total
}

// drawUnits draws from 1 to the scenario's most, by the inverse of the distribution function.
func (g *Generator) drawUnits() float64 {
	most := g.scenario.Clients.Units.Int()
	x := g.arrivals.Float64() * (1 - math.Pow(unitsRatio, -float64(most)))
	return min(float64(most), 1+math.Floor(-math.Log(1-x)/math.Log(unitsRatio)))
}

func (g *Generator) drawOperation() model.Operation {
	x := g.arrivals.Float64() * g.cumulativeShares[len(g.cumulativeShares)-1]
	for i, share := range g.cumulativeShares {
		if x < share {
			return g.operations[i]
		}
	}
	return g.operations[len(g.operations)-1]
}

// drawWork draws what a request costs a host. It grows with neither its units nor its customer.
func (g *Generator) drawWork(operation model.Operation) float64 {
	work := operation.Work.Float()
	x := g.arrivals.Float64() // also where the work is not spread, so that the draws after it stay the same
	switch operation.Spread {
	case exponentialWork:
		work *= -math.Log(1 - x)
	case evenWork:
		work *= minEvenWork + x
	}
	return work
}

// drawCustomers draws the customers of all plans, each with its part of the load.
func (g *Generator) drawCustomers(random randstream.Stream) {
	plans := g.scenario.Plans
	shares := 0.0
	for i := range plans {
		shares += plans[i].Share.Float()
	}
	for i := range plans {
		g.drawCustomersOf(random, i, g.scenario.Clients.Rate.Float()*plans[i].Share.Float()/shares)
	}
}

// drawCustomersOf adds customers of one plan until what they ask for within their quotas comes to rate invocations a second.
func (g *Generator) drawCustomersOf(random randstream.Stream, plan int, rate float64) {
	quota := g.scenario.Plans[plan].UseRate.Float()
	if quota == 0 {
		quota = g.scenario.Plans[plan].Rate.Float()
	}
	for within := 0.0; within < rate && len(g.Customers) < maxCustomers; {
		customer, part := g.drawCustomer(random, plan)
		customer.InvocationRate = part * quota / g.meanUnits
		within += min(1, part) * quota / g.meanUnits
		g.Customers = append(g.Customers, customer)
	}
}

// drawCustomer draws one customer and the part of its quota that it asks for.
func (g *Generator) drawCustomer(random randstream.Stream, plan int) (customer *model.Customer, part float64) {
	clients := &g.scenario.Clients
	number := len(g.Customers)
	customer = &model.Customer{
		Number:         number,
		Key:            fmt.Sprintf(keyFormat, firstCustomerKey+uint64(number)*customerKeyFactor%customerKeyRange),
		Plan:           &g.scenario.Plans[plan],
		PlanNumber:     plan,
		RateFactor:     1,
		PatienceFactor: 1,
		GatewayCount:   min(g.gateways, max(1, clients.GatewaysEach.Int())),
	}
	customer.QuotaUse, part = drawQuotaUse(random, clients)
	customer.FirstGateway = random.IntN(g.gateways)
	customer.Preferred = customer.FirstGateway
	customer.HonoursRetryAfter = random.Chance(clients.HonourRetryAfter.Float())
	return customer, part
}

func drawQuotaUse(random randstream.Stream, clients *scenario.Clients) (use model.QuotaUse, part float64) {
	x := random.Float64()
	switch {
	case x < clients.Over.Float():
		return model.OverQuota, clients.OverBy.Float() * random.Uniform(minOverFactor, maxOverFactor)
	case x < clients.Over.Float()+clients.Near.Float():
		return model.NearQuota, random.Uniform(minNearPart, 1)
	}
	return model.FarBelowQuota, min(maxFarPart, meanFarPart*random.Pareto(clients.TailPower.Float()))
}
