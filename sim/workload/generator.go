package workload

import (
	"math"

	"otterseam/sim/eventqueue"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Environment gives the generator access to the rest of a simulation.
type Environment interface {
	// Submit delivers an invocation to its api gateway. It returns false if the gateway does not accept it.
	Submit(invocation *model.Invocation) bool
	// Admits reports whether the load balancer in front sends invocations to an api gateway.
	Admits(gateway int) bool
	// RequestCreated and RequestClosed report that a request begins or ends. seconds is the duration of its last invocation.
	RequestCreated(request *model.Request)
	RequestClosed(request *model.Request, seconds float64)
	// InvocationSent and InvocationEnded report that a client sends an invocation, and that one ended for its client.
	InvocationSent(invocation *model.Invocation)
	InvocationEnded(outcome model.Outcome)
}

// Generator generates the requests of all customers of a scenario.
type Generator struct {
	Customers []*model.Customer

	clock       *eventqueue.Queue
	scenario    *scenario.Scenario
	environment Environment

	arrivals randstream.Stream // times and contents of requests
	routes   randstream.Stream // choice of the api gateway
	clients  randstream.Stream // behaviour of clients

	operations       []model.Operation
	cumulativeShares []float64 // of the operations
	gateways         int
	meanUnits        float64
	invocations      uint64
	schedules        []int // by customer: number of the current schedule; events of an earlier one are ignored
	endsAt           float64
}

// New returns a generator with the customers of a scenario, which it draws. Each plan has as many customers as are needed to generate
// the plan's share of the load within their quotas.
func New(clock *eventqueue.Queue, config *scenario.Scenario, seed uint64, environment Environment) *Generator {
	generator := &Generator{
		clock:       clock,
		scenario:    config,
		environment: environment,
		arrivals:    randstream.New(seed, "load"),
		routes:      randstream.New(seed, "ways"),
		clients:     randstream.New(seed, "mood"),
		gateways:    config.Fleet.Gateways.Int(),
		meanUnits:   meanUnits(config.Clients.Units.Int()),
	}
	total := 0.0
	for i := range config.Operations {
		generator.operations = append(generator.operations, model.Operation{Operation: &config.Operations[i], Number: i})
		total += config.Operations[i].Share.Float()
		generator.cumulativeShares = append(generator.cumulativeShares, total)
	}
	generator.drawCustomers(randstream.New(seed, "customers"))
	generator.schedules = make([]int, len(generator.Customers))
	return generator
}

// Start starts the requests of all customers, which go on for the length of the scenario.
func (g *Generator) Start() {
	g.endsAt = g.clock.Now() + g.scenario.Length.Float()
	for _, customer := range g.Customers {
		g.scheduleNext(customer)
	}
}

// scheduleNext schedules a customer's next request.
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
