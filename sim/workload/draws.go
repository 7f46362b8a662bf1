package workload

import (
	"fmt"
	"math"

	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

const (
	// unitsRatio is the ratio of the probability of a number of units to that of the next larger one, so that small requests are common.
	unitsRatio = 1.5
	// The settled units are the requested units times a random factor between these.
	minSettledFactor = 0.5
	maxSettledFactor = 1.5
	// maxCustomers limits the number of customers of a scenario.
	maxCustomers = 1_000_000
)

// The fraction of its quota that a customer requests.
const (
	minOverFactor = 0.7 // relative to the scenario's mean, for customers over their quota
	maxOverFactor = 1.3
	minNearPart   = 0.85 // uniform up to 1, for customers near their quota
	meanFarPart   = 0.3  // Pareto distributed, for customers far below their quota
	maxFarPart    = 0.8
)

// The distributions of an operation's work around its mean, as named in scenarios. Without one the work is always the mean.
const (
	exponentialWork = "exponential"
	evenWork        = "even" // uniform between minEvenWork and 1+minEvenWork times the mean
	minEvenWork     = 0.5
)

// Keys are derived from the numbers of customers and invocations by multiplicative hashing with the golden ratio (of 32 and 64 bits),
// which makes keys of successive numbers differ widely.
const (
	firstCustomerKey    = 0x10000000
	customerKeyRange    = 0xe0000000
	customerKeyFactor   = 2654435761
	invocationRefFactor = 0x9e3779b97f4a7c15
	keyFormat           = "%016x"
)

// meanUnits returns the mean of the distribution that drawUnits draws from.
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

// drawUnits draws a number of units from 1 to the scenario's maximum, by inverting the distribution function.
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

// drawWork draws the work that a request causes at a host. It depends on neither the request's units nor its customer.
func (g *Generator) drawWork(operation model.Operation) float64 {
	work := operation.Work.Float()
	x := g.arrivals.Float64() // drawn for each operation, so that later draws don't depend on the distribution
	switch operation.Spread {
	case exponentialWork:
		work *= -math.Log(1 - x)
	case evenWork:
		work *= minEvenWork + x
	}
	return work
}

// drawCustomers draws the customers of all plans. Each plan gets its share of the load.
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

// drawCustomersOf adds customers of one plan until their requests within quota add up to rate invocations a second.
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

// drawCustomer draws one customer and the fraction of its quota that it requests.
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
