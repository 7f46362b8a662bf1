package metrics

import "otterseam/sim/model"

// AddShare adds a share of a request to the total, to the second in which the request was created, and to its plan, use of the quota and
// operation.
func (r *Results) AddShare(request *model.Request, share Share) {
	r.Total.Add(share)
	r.SecondAt(request.CreatedAt).Add(share)
	shareOf(r.Plans, request.Customer.Plan.Name).Add(share)
	shareOf(r.QuotaUses, model.QuotaUseNames[request.Customer.QuotaUse]).Add(share)
	shareOf(r.Operations, request.Operation.Name).Add(share)
}

// CountOutcome counts the outcome of one invocation as its client sees it.
func (r *Results) CountOutcome(outcome model.Outcome) { r.Outcomes[model.OutcomeNames[outcome]]++ }

// CloseRequest counts the outcome of a request whose last invocation ended now after a number of seconds.
func (r *Results) CloseRequest(request *model.Request, seconds, now float64) {
	served := request.LastOutcome == model.Served
	if served {
		r.latencies.record(r.secondIndex(now), seconds,
			allAnswers,
			"operation "+request.Operation.Name,
			"plan "+request.Customer.Plan.Name,
			"customers "+model.QuotaUseNames[request.Customer.QuotaUse])
	}
	inTime := served && seconds <= request.Operation.Objective.Float()
	value := request.Value()
	var share Share
	if inTime && !request.BeyondQuota {
		share.ServedOfSent = value
	}
	if !request.WithinQuota {
		if share.ServedOfSent > 0 {
			r.AddShare(request, share)
		}
		return
	}
	share.addOutcome(request, value, inTime)
	r.AddShare(request, share)
	r.addCustomerValue(request.Customer, share.Served, value)
}

// addOutcome records the value of a request that was within its quota under the request's outcome.
func (s *Share) addOutcome(request *model.Request, value float64, inTime bool) {
	switch {
	case inTime:
		s.Served = value
		s.NetValue = value
	case request.LastOutcome == model.Served:
		s.Late = value
		s.NetValue = value * request.Operation.Late.Float()
	case request.LastOutcome == model.Throttled && request.QuotaHadRoom:
		s.ThrottledWithRoom = value
	case request.LastOutcome == model.Throttled:
		s.ThrottledWithoutRoom = value
	case request.LastOutcome == model.Errored:
		s.Errored = value
	default:
		s.Lost = value
	}
}

func (r *Results) addCustomerValue(customer *model.Customer, served, requested float64) {
	total := r.byCustomer[customer]
	if total == nil {
		total = &customerValue{}
		r.byCustomer[customer] = total
	}
	total.served += served
	total.requested += requested
}
