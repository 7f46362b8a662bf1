package gatewaymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/model"
)

// answerTolerance is how many seconds after the client's time limit an answer may still reach the client.
const answerTolerance = 0.05

// Submit delivers an invocation to the gateway. It returns false if the gateway is down.
func (g *Gateway) Submit(invocation *model.Invocation) bool {
	if !g.Alive {
		return false
	}
	invocation.Accepted = true
	incarnation := g.incarnation
	g.pending[invocation.Ref] = invocation
	g.clock.Schedule(invocation.GiveUpAt, func() { g.clientGivesUp(invocation, incarnation) })
	g.handle(func(now float64) {
		if invocation.Outcome != model.Pending {
			return
		}
		g.environment.Trace(g.Slot, invocation.Ref, "taken")
		g.Policy.Accept(now, policyRequest(invocation))
	})
	return true
}

func policyRequest(invocation *model.Invocation) policy.Request {
	request := invocation.Request
	customer := request.Customer
	return policy.Request{
		Ref:          invocation.Ref,
		Operation:    request.Operation.Name,
		Customer:     customer.Key,
		Plan:         customer.Plan.Name,
		Units:        request.Units,
		Deadline:     invocation.GiveUpAt,
		FirstGateway: customer.FirstGateway,
		GatewayCount: customer.GatewayCount,
		ClientRetry:  invocation.ClientRetry,
	}
}

// clientGivesUp handles the client's timeout. The client closes its connection, which the gateway handles after the network delay and
// once it has core time.
func (g *Gateway) clientGivesUp(invocation *model.Invocation, incarnation int) {
	if g.incarnation != incarnation || invocation.Outcome != model.Pending {
		return
	}
	g.environment.DeliverAnswer(invocation, model.Unanswered, 0, false)
	g.afterDelayTo(g.Zone, func() {
		if g.incarnation != incarnation {
			return
		}
		g.handle(func(now float64) { g.abandon(now, invocation) })
	})
}

// abandon ends an invocation whose client has given up, and its attempts.
func (g *Gateway) abandon(now float64, invocation *model.Invocation) {
	if g.pending[invocation.Ref] == nil {
		return
	}
	g.environment.InvocationAnswered(invocation, model.Unanswered)
	for _, attempt := range invocation.Attempts {
		g.endAttempt(attempt, policy.Cancelled)
	}
	g.Policy.Abandon(now, invocation.Ref)
	g.forget(invocation)
}

// forget removes an answered invocation once none of its attempts is in flight.
func (g *Gateway) forget(invocation *model.Invocation) {
	if invocation.Outcome == model.Pending {
		return
	}
	for _, attempt := range invocation.Attempts {
		if g.inFlight[attempt] != nil {
			return
		}
	}
	delete(g.pending, invocation.Ref)
}

// Throttle answers an invocation as throttled. The client may retry after retryAfter seconds.
func (g *Gateway) Throttle(ref string, retryAfter float64) {
	g.giveFinalAnswer(ref, model.Throttled, retryAfter)
}

// Fail answers an invocation with an error.
func (g *Gateway) Fail(ref string) { g.giveFinalAnswer(ref, model.Errored, 0) }

func (g *Gateway) giveFinalAnswer(ref string, outcome model.Outcome, retryAfter float64) {
	if invocation := g.pending[ref]; invocation != nil {
		g.answer(invocation, outcome, retryAfter)
		g.forget(invocation)
	}
}

// answer sends an answer to its client.
func (g *Gateway) answer(invocation *model.Invocation, outcome model.Outcome, retryAfter float64) {
	hadRoom := g.environment.InvocationAnswered(invocation, outcome)
	g.environment.Trace(g.Slot, invocation.Ref, "final answer: "+model.OutcomeNames[outcome])
	g.afterDelayTo(g.Zone, func() {
		if g.clock.Now() <= invocation.GiveUpAt+answerTolerance {
			g.environment.DeliverAnswer(invocation, outcome, retryAfter, hadRoom)
		}
	})
}
