package simulation

import (
	"fmt"

	"otterseam/sim/metrics"
	"otterseam/sim/model"
	"otterseam/sim/workload"
)

var _ workload.Environment = (*Simulation)(nil)

// Submit passes an invocation to its api gateway and reports whether the gateway accepted it.
func (s *Simulation) Submit(invocation *model.Invocation) bool {
	return s.Gateways[invocation.Gateway].Submit(invocation)
}

// Admits reports whether the load balancer in front sends invocations to an api gateway.
func (s *Simulation) Admits(gateway int) bool { return s.Gateways[gateway].Admits }

// RequestCreated counts a request and records whether it is within its customer's quota.
func (s *Simulation) RequestCreated(request *model.Request) {
	s.Results.FirstInvocations++
	s.Results.SecondAt(s.Queue.Now()).FirstInvocations++
	request.WithinQuota = s.Oracle.RequestCreated(request)
	if request.WithinQuota {
		s.Results.AddShare(request, metrics.Share{Requested: request.Value()})
	}
}

// RequestClosed counts the outcome of a request. seconds is the duration of its last invocation.
func (s *Simulation) RequestClosed(request *model.Request, seconds float64) {
	s.Results.CloseRequest(request, seconds, s.Queue.Now())
}

// InvocationSent counts an invocation that a client sends.
func (s *Simulation) InvocationSent(invocation *model.Invocation) {
	s.Results.Invocations++
	if invocation.ClientRetry {
		s.Results.SecondAt(s.Queue.Now()).ClientRetries++
	}
	request := invocation.Request
	s.Trace(invocation.Gateway, invocation.Ref, fmt.Sprintf(
		"asked for by customer %s, %s, plan %s, %.0f units, gives up at %.3f s",
		request.Customer.Key, request.Operation.Name, request.Customer.Plan.Name, request.Units, invocation.GiveUpAt))
}

// InvocationEnded counts the outcome of an invocation as its client sees it.
func (s *Simulation) InvocationEnded(outcome model.Outcome) { s.Results.CountOutcome(outcome) }
