package gatewaymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/model"
)

// answerTolerance is by how many seconds an answer may reach its client after the client's limit.
const answerTolerance = 0.05

// Submit brings an invocation to the machine; false: it takes none.
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

// clientGivesUp ends the client's wait. It closes its connection, of which the gateway learns after a delay and a turn on its core.
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

// forget drops an invocation that has its answer, once none of its attempts is in flight.
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

// Throttle gives the final answer that the client may come back after so many seconds.
func (g *Gateway) Throttle(ref string, retryAfter float64) {
	g.giveFinalAnswer(ref, model.Throttled, retryAfter)
}

// Fail gives the final answer that the invocation failed.
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
