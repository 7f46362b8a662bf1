package workload

import "otterseam/sim/model"

// The methods below are the faults of customers. Those with a begin parameter begin a fault, or end one that began with the same
// arguments.

// ScaleRate multiplies a customer's request rate by factor.
func (g *Generator) ScaleRate(customer *model.Customer, factor float64, begin bool) {
	scale(&customer.RateFactor, factor, begin)
	g.schedules[customer.Number]++
	g.scheduleNext(customer)
}

// Concentrate sends all of a customer's invocations to its preferred api gateway.
func (g *Generator) Concentrate(customer *model.Customer, begin bool) { customer.Concentrated = begin }

// Relocate permanently assigns a customer another set of api gateways.
func (g *Generator) Relocate(customer *model.Customer) {
	customer.FirstGateway = (customer.FirstGateway + 1 + g.routes.IntN(max(1, g.gateways-1))) % g.gateways
}

// RetryAtOnce makes the clients of a customer retry immediately when they are throttled, up to times more retries per request.
func (g *Generator) RetryAtOnce(customer *model.Customer, times int, begin bool) {
	if begin {
		customer.ImmediateRetries += times
	} else {
		customer.ImmediateRetries -= times
	}
}

// ScalePatience multiplies the timeouts of a customer's clients by factor.
func (g *Generator) ScalePatience(customer *model.Customer, factor float64, begin bool) {
	scale(&customer.PatienceFactor, factor, begin)
}

func scale(x *float64, factor float64, begin bool) {
	if begin {
		*x *= factor
	} else {
		*x /= factor
	}
}
