// Package workload owns the model of customers and their clients: who asks for what, when, through which api gateway, and
// what a client does with its answer. It must never know hosts, the counter or what an api gateway thinks.
package workload

import (
	"fmt"
	"math"

	"otterseam/sim/eventqueue"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Environment is what the crowd asks of the rest.
type Environment interface {
	// Arrive brings a try to an api gateway; false: none took it.
	Submit(inv *model.Invocation) bool
	// Admits says whether the front sends tries to this api gateway.
	Admits(gateway int) bool
	// Asked, Closed, Tried and Done tell of a need that begins or ends, and of a try.
	RequestCreated(n *model.Request)
	RequestClosed(n *model.Request, took float64)
	InvocationSent(inv *model.Invocation)
	InvocationEnded(how model.Outcome)
}

// Generator is all customers of a day.
type Generator struct {
	Customers []*model.Customer

	q         *eventqueue.Queue
	day       *scenario.Day
	door      Environment
	load      randstream.Stream // when, and what
	ways      randstream.Stream // through which api gateway
	mood      randstream.Stream // what clients do with an answer
	ops       []model.Operation
	shares    []float64
	gateways  int
	tries     uint64
	lives     []int // by customer: which schedule holds
	meanUnits float64
	end       float64
}

// New draws the customers of a day. Each plan has so many that those far, near and over together ask for the plan's
// part of the load inside their quotas.
func New(q *eventqueue.Queue, d *scenario.Day, seed uint64, door Environment) *Generator {
	c := &Generator{
		q: q, day: d, door: door, gateways: d.Fleet.Gateways.N(), load: randstream.New(seed, "load"),
		ways: randstream.New(seed, "ways"), mood: randstream.New(seed, "mood"),
	}
	whole := 0.0
	for i := range d.Operations {
		c.ops = append(c.ops, model.Operation{Operation: &d.Operations[i], Number: i})
		whole += d.Operations[i].Share.V()
		c.shares = append(c.shares, whole)
	}
	c.meanUnits = meanUnits(d.Clients.Units.N())
	plans := 0.0
	for i := range d.Plans {
		plans += d.Plans[i].Share.V()
	}
	who := randstream.New(seed, "customers")
	for i := range d.Plans {
		c.draw(who, i, d.Clients.Rate.V()*d.Plans[i].Share.V()/plans)
	}
	c.lives = make([]int, len(c.Customers))
	return c
}

// Units are drawn from 1 to most, each half as likely again as the next: small ones are usual.
func meanUnits(most int) float64 {
	sum, all := 0.0, 0.0
	for u := 1; u <= most; u++ {
		p := math.Pow(1.5, -float64(u))
		sum, all = sum+p*float64(u), all+p
	}
	return sum / all
}

func (c *Generator) units() float64 {
	most := c.day.Clients.Units.N()
	x := c.load.Float64() * (1 - math.Pow(1.5, -float64(most)))
	return min(float64(most), 1+math.Floor(-math.Log(1-x)/math.Log(1.5)))
}

// draw adds customers of one plan until what they ask for inside their quotas comes to rate invocations a second.
func (c *Generator) draw(who randstream.Stream, plan int, rate float64) {
	p, k := &c.day.Plans[plan], c.day.Clients
	quota := p.Use.V()
	if quota == 0 {
		quota = p.Rate.V()
	}
	for inside := 0.0; inside < rate && len(c.Customers) < 1_000_000; {
		n := len(c.Customers)
		x := &model.Customer{
			Number: n, Key: fmt.Sprintf("%016x", 0x10000000+uint64(n)*2654435761%0xe0000000), Plan: p, PlanNumber: plan,
			RateFactor: 1, PatienceFactor: 1, GatewayCount: min(c.gateways, max(1, k.Set.N())),
		}
		part := 0.0
		switch u := who.Float64(); {
		case u < k.Over.V():
			x.QuotaUse, part = model.OverQuota, k.OverBy.V()*who.Uniform(0.7, 1.3)
		case u < k.Over.V()+k.Near.V():
			x.QuotaUse, part = model.NearQuota, who.Uniform(0.85, 1)
		default:
			part = min(0.8, 0.3*who.Pareto(k.Heavy.V()))
		}
		x.FirstGateway = who.IntN(c.gateways)
		x.Preferred = x.FirstGateway
		x.HonoursRetryAfter = who.Chance(k.Follow.V())
		x.InvocationRate = part * quota / c.meanUnits
		inside += min(1, part) * quota / c.meanUnits
		c.Customers = append(c.Customers, x)
	}
}

// Start has all customers ask from now on, for the length of the day.
func (c *Generator) Start() {
	c.end = c.q.Now() + c.day.Length.V()
	for _, x := range c.Customers {
		c.plan(x)
	}
}

// plan sets when a customer asks next.
func (c *Generator) plan(x *model.Customer) {
	if x.InvocationRate*x.RateFactor <= 0 {
		return
	}
	life := c.lives[x.Number]
	c.q.ScheduleAfter(c.load.Exponential(1/(x.InvocationRate*x.RateFactor)), func() {
		if c.lives[x.Number] != life || c.q.Now() >= c.end {
			return
		}
		c.ask(x)
		c.plan(x)
	})
}

func (c *Generator) ask(x *model.Customer) {
	now := c.q.Now()
	op := c.ops[0]
	for u, i := c.load.Float64()*c.shares[len(c.shares)-1], 0; i < len(c.ops); i++ {
		if op = c.ops[i]; u < c.shares[i] {
			break
		}
	}
	n := &model.Request{Customer: x, Operation: op, Units: c.units(), CreatedAt: now, Deadline: now + op.Timeout.V()}
	n.Work = op.Work.V() // what an invocation costs grows with neither its units nor its customer
	switch draw := c.load.Float64(); op.Spread {
	case "exponential":
		n.Work *= -math.Log(1 - draw)
	case "even":
		n.Work *= 0.5 + draw
	}
	if n.ActualUnits = n.Units; c.day.Counter.Settles {
		n.ActualUnits = max(1, math.Round(n.Units*c.load.Uniform(0.5, 1.5)))
	}
	c.door.RequestCreated(n)
	c.try(n, false)
}

// try sends a client's next try through one of the customer's api gateways.
func (c *Generator) try(n *model.Request, repeat bool) {
	x, now := n.Customer, c.q.Now()
	n.InvocationCount++
	c.tries++
	patience := c.mood.Uniform(c.day.Clients.Patience.V(), 1) * x.PatienceFactor
	inv := &model.Invocation{
		Ref: fmt.Sprintf("%016x", c.tries*0x9e3779b97f4a7c15), Number: c.tries, Request: n, SentAt: now,
		GiveUpAt: min(n.Deadline, now+patience*n.Operation.Timeout.V()), ClientRetry: repeat && c.day.Clients.Marked,
	}
	inv.Gateway = c.way(x)
	c.door.InvocationSent(inv)
	if !c.door.Submit(inv) {
		c.HandleOutcome(inv, model.Unreachable, 0, false)
	}
}

// way chooses the api gateway: the favourite of the hour, or another of the set; a dead one that the front has noticed is
// passed over.
func (c *Generator) way(x *model.Customer) int {
	now := c.q.Now()
	if now >= x.PreferredUntil {
		x.PreferredUntil = now + c.ways.Uniform(0.5, 1.5)*c.day.Clients.Change.V()
		x.Preferred = c.ways.IntN(x.GatewayCount)
	}
	pick := x.Preferred
	if !x.Concentrated && !c.ways.Chance(c.day.Clients.Uneven.V()) {
		pick = c.ways.IntN(x.GatewayCount)
	}
	for i := range x.GatewayCount {
		if g := (x.FirstGateway + (pick+i)%x.GatewayCount) % c.gateways; c.door.Admits(g) {
			return g
		}
	}
	return (x.FirstGateway + pick) % c.gateways
}

// HandleOutcome tells a client how its try ended; retryAfter is the time to come back, 0 where none was told.
func (c *Generator) HandleOutcome(inv *model.Invocation, how model.Outcome, retryAfter float64, room bool) {
	n, x, now := inv.Request, inv.Request.Customer, c.q.Now()
	if n.Closed {
		return
	}
	c.door.InvocationEnded(how)
	n.LastOutcome, n.QuotaHadRoom = how, room
	again := n.InvocationCount <= c.day.Clients.Retries.N()
	wait := c.mood.Exponential(c.day.Clients.Wait.V())
	switch how {
	case model.Served:
		again = false
	case model.Throttled:
		if x.HonoursRetryAfter && x.ImmediateRetries == 0 {
			wait = max(retryAfter, min(wait, 0.05))
		}
		if x.ImmediateRetries > 0 {
			again, wait = n.InvocationCount <= x.ImmediateRetries+c.day.Clients.Retries.N(), c.mood.Exponential(0.01)
		}
	case model.Unreachable: // harmless
	default:
		again = again && (n.Operation.Effect == "idempotent" ||
			n.Operation.Effect == "tokened" && n.Operation.Group == "all" && now+wait < n.CreatedAt+n.Operation.TokenTime.V())
	}
	if again && now+wait < n.Deadline-n.Operation.Objective.V()/5 { // nobody comes again for an answer that can't be in time
		c.q.ScheduleAfter(wait, func() { c.try(n, true) })
		return
	}
	n.Closed = true
	c.door.RequestClosed(n, now-inv.SentAt)
}

// The troubles.

// ScaleRate makes a customer ask so many times as often, or ends that.
func (c *Generator) ScaleRate(x *model.Customer, by float64, begin bool) {
	if begin {
		x.RateFactor *= by
	} else {
		x.RateFactor /= by
	}
	c.lives[x.Number]++
	c.plan(x)
}

// Concentrate brings all of a customer's tries to its favourite; Move gives it another set for good.
func (c *Generator) Concentrate(x *model.Customer, begin bool) { x.Concentrated = begin }

func (c *Generator) Relocate(x *model.Customer) {
	x.FirstGateway = (x.FirstGateway + 1 + c.ways.IntN(max(1, c.gateways-1))) % c.gateways
}

// RetryAtOnce makes clients of a customer come again at once, so many times more, when they are throttled; Hurry leaves them
// a part of their patience.
func (c *Generator) RetryAtOnce(x *model.Customer, times int, begin bool) {
	if begin {
		x.ImmediateRetries += times
	} else {
		x.ImmediateRetries -= times
	}
}

func (c *Generator) ScalePatience(x *model.Customer, part float64, begin bool) {
	if begin {
		x.PatienceFactor *= part
	} else {
		x.PatienceFactor /= part
	}
}
