package workload

import "otterseam/sim/model"

// The faults of customers. Those with begin also end what began with the same arguments.

// ScaleRate makes a customer ask so many times as often.
func (g *Generator) ScaleRate(customer *model.Customer, factor float64, begin bool) {
	scale(&customer.RateFactor, factor, begin)
	g.schedules[customer.Number]++
	g.scheduleNext(customer)
}

// Concentrate brings all of a customer's invocations to the api gateway that it prefers.
func (g *Generator) Concentrate(customer *model.Customer, begin bool) { customer.Concentrated = begin }

// Relocate gives a customer another set of api gateways for good.
func (g *Generator) Relocate(customer *model.Customer) {
	customer.FirstGateway = (customer.FirstGateway + 1 + g.routes.IntN(max(1, g.gateways-1))) % g.gateways
}

// RetryAtOnce makes the clients of a customer come again at once, so many times more, when they are throttled.
func (g *Generator) RetryAtOnce(customer *model.Customer, times int, begin bool) {
	if begin {
		customer.ImmediateRetries += times
	} else {
		customer.ImmediateRetries -= times
	}
}

// ScalePatience leaves the clients of a customer a part of their patience.
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
