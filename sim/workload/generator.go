package workload

import (
	"math"

	"otterseam/sim/eventqueue"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Environment is what the generator needs of the rest of a simulation.
type Environment interface {
	// Submit brings an invocation to its api gateway; false: it took none.
	Submit(invocation *model.Invocation) bool
	// Admits says whether the load balancer in front sends invocations to this api gateway.
	Admits(gateway int) bool
	// RequestCreated and RequestClosed tell of a request that begins or ends; the last invocation took so many seconds.
	RequestCreated(request *model.Request)
	RequestClosed(request *model.Request, seconds float64)
	// InvocationSent and InvocationEnded tell of an invocation that a client sends, and of one that ended for it.
	InvocationSent(invocation *model.Invocation)
	InvocationEnded(outcome model.Outcome)
}

// Generator has all customers of a scenario make requests.
type Generator struct {
	Customers []*model.Customer

	clock       *eventqueue.Queue
	scenario    *scenario.Scenario
	environment Environment

	arrivals randstream.Stream // when, and what
	routes   randstream.Stream // through which api gateway
	clients  randstream.Stream // what clients do with an answer

	operations       []model.Operation
	cumulativeShares []float64 // of the operations
	gateways         int
	meanUnits        float64
	invocations      uint64
	schedules        []int // by customer: counts its schedules; an event of an earlier one is void
	endsAt           float64
}

// New draws the customers of a scenario. Each plan has so many that those far below, near and over their quotas together ask for
// the plan's part of the load within them.
func New(clock *eventqueue.Queue, day *scenario.Scenario, seed uint64, environment Environment) *Generator {
	generator := &Generator{
		clock:       clock,
		scenario:    day,
		environment: environment,
		arrivals:    randstream.New(seed, "load"),
		routes:      randstream.New(seed, "ways"),
		clients:     randstream.New(seed, "mood"),
		gateways:    day.Fleet.Gateways.Int(),
		meanUnits:   meanUnits(day.Clients.Units.Int()),
	}
	total := 0.0
	for i := range day.Operations {
		generator.operations = append(generator.operations, model.Operation{Operation: &day.Operations[i], Number: i})
		total += day.Operations[i].Share.Float()
		generator.cumulativeShares = append(generator.cumulativeShares, total)
	}
	generator.drawCustomers(randstream.New(seed, "customers"))
	generator.schedules = make([]int, len(generator.Customers))
	return generator
}

// Start has all customers make requests from now on, for the length of the scenario.
func (g *Generator) Start() {
	g.endsAt = g.clock.Now() + g.scenario.Length.Float()
	for _, customer := range g.Customers {
		g.scheduleNext(customer)
	}
}

// scheduleNext sets when a customer makes its next request.
func (g *Generator) scheduleNext(customer *model.Customer) {
	rate := customer.InvocationRate * customer.RateFactor
	if rate <= 0 {
		return
	}
	schedule := g.schedules[customer.Number]
	g.clock.ScheduleAfter(g.arrivals.Exponential(1/rate), func() {
		if g.schedules[customer.Number] != schedule || g.clock.Now() >= g.endsAt {
			return
		}
		g.createRequest(customer)
		g.scheduleNext(customer)
	})
}

func (g *Generator) createRequest(customer *model.Customer) {
	now := g.clock.Now()
	operation := g.drawOperation()
	request := &model.Request{
		Customer:  customer,
		Operation: operation,
		Units:     g.drawUnits(),
		CreatedAt: now,
		Deadline:  now + operation.Timeout.Float(),
	}
	request.Work = g.drawWork(operation)
	request.ActualUnits = request.Units
	if g.scenario.Counter.Settles {
		request.ActualUnits = max(1, math.Round(request.Units*g.arrivals.Uniform(minSettledFactor, maxSettledFactor)))
	}
	g.environment.RequestCreated(request)
	g.invoke(request, false)
}
