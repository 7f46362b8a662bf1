package workload

import (
	"fmt"

	"otterseam/sim/model"
)

const (
	// minGatewayStay and maxGatewayStay limit how long a customer prefers an api gateway, relative to the scenario's mean.
	minGatewayStay = 0.5
	maxGatewayStay = 1.5
	// maxEagerWait is the longest random wait in seconds of a client that honours retry-after. A longer retry-after replaces it.
	maxEagerWait = 0.05
	// immediateRetryWait is the mean wait in seconds of a client that retries immediately because of a fault.
	immediateRetryWait = 0.01
	// A client retries only if at least the latency objective divided by objectiveDivisor is left before the deadline.
	objectiveDivisor = 5
)

// invoke sends a client's next invocation through one of the customer's api gateways.
func (g *Generator) invoke(request *model.Request, retry bool) {
	now := g.clock.Now()
	clients := &g.scenario.Clients
	request.InvocationCount++
	g.invocations++
	patience := g.clients.Uniform(clients.Patience.Float(), 1) * request.Customer.PatienceFactor
	invocation := &model.Invocation{
		Ref:         fmt.Sprintf(keyFormat, g.invocations*invocationRefFactor),
		Number:      g.invocations,
		Request:     request,
		SentAt:      now,
		GiveUpAt:    min(request.Deadline, now+patience*request.Operation.Timeout.Float()),
		ClientRetry: retry && clients.MarkRetries,
	}
	invocation.Gateway = g.chooseGateway(request.Customer)
	g.environment.InvocationSent(invocation)
	if !g.environment.Submit(invocation) {
		g.HandleOutcome(invocation, model.Unreachable, 0, false)
	}
}

// chooseGateway draws the preferred api gateway or another one of the customer's. It skips gateways that the load balancer in front
// has taken out of service.
func (g *Generator) chooseGateway(customer *model.Customer) int {
	clients := &g.scenario.Clients
	now := g.clock.Now()
	if now >= customer.PreferredUntil {
		customer.PreferredUntil = now + g.routes.Uniform(minGatewayStay, maxGatewayStay)*clients.PreferenceTime.Float()
		customer.Preferred = g.routes.IntN(customer.GatewayCount)
	}
	pick := customer.Preferred
	if !customer.Concentrated && !g.routes.Chance(clients.PreferredShare.Float()) {
		pick = g.routes.IntN(customer.GatewayCount)
	}
	for i := range customer.GatewayCount {
		gateway := (customer.FirstGateway + (pick+i)%customer.GatewayCount) % g.gateways
		if g.environment.Admits(gateway) {
			return gateway
		}
	}
	return (customer.FirstGateway + pick) % g.gateways
}

// HandleOutcome passes the outcome of an invocation to its client. retryAfter is the requested wait before a retry in seconds, or 0 if
// there is none. hadRoom reports whether the invocation was throttled although the quota had room.
func (g *Generator) HandleOutcome(invocation *model.Invocation, outcome model.Outcome, retryAfter float64, hadRoom bool) {
	request := invocation.Request
	if request.Closed {
		return
	}
	now := g.clock.Now()
	g.environment.InvocationEnded(outcome)
	request.LastOutcome = outcome
	request.QuotaHadRoom = hadRoom
	wait, retries := g.retryWait(request, outcome, retryAfter)
	// A client does not retry if the answer could not arrive in time.
	if retries && now+wait < request.Deadline-request.Operation.Objective.Float()/objectiveDivisor {
		g.clock.ScheduleAfter(wait, func() { g.invoke(request, true) })
		return
	}
	request.Closed = true
	g.environment.RequestClosed(request, now-invocation.SentAt)
}

// retryWait reports whether a client retries after an outcome, and after how many seconds.
func (g *Generator) retryWait(request *model.Request, outcome model.Outcome, retryAfter float64) (wait float64, retries bool) {
	limit := g.scenario.Clients.Retries.Int()
	wait = g.clients.Exponential(g.scenario.Clients.RetryWait.Float())
	retries = request.InvocationCount <= limit
	switch outcome {
	case model.Served:
		return wait, false
	case model.Throttled:
		customer := request.Customer
		if customer.ImmediateRetries > 0 {
			wait = g.clients.Exponential(immediateRetryWait)
			return wait, request.InvocationCount <= customer.ImmediateRetries+limit
		}
		if customer.HonoursRetryAfter {
			wait = max(retryAfter, min(wait, maxEagerWait))
		}
		return wait, retries
	case model.Unreachable: // the invocation cannot have run
		return wait, retries
	}
	return wait, retries && g.mayRepeat(request, g.clock.Now()+wait)
}

// mayRepeat reports whether a client may retry at a clock time a request that may have run.
func (g *Generator) mayRepeat(request *model.Request, at float64) bool {
	operation := request.Operation
	switch operation.Effect {
	case model.EffectIdempotent:
		return true
	case model.EffectTokened:
		return operation.Group == model.GroupAll && at < request.CreatedAt+operation.TokenTime.Float()
	}
	return false
}
