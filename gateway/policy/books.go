package policy

// This file owns what others may know of an instance's books, so that they can be held elsewhere too. It decides nothing and
// changes nothing.

// Places is what the open places that an instance has on a count stand for in it, the call just made included.
func (g *Gateway) CountedSlots(name uint64) float64 {
	q := g.pendingCalls[name]
	if len(q) == 0 {
		return 0
	}
	c := q[len(q)-1].customer
	if c.plan.MaxConcurrent == 0 || c.counterName != name {
		return 0
	}
	return float64(max(0, c.countedSlots)) * c.plan.slotUnit()
}

// Debts tells of each count on which an instance owes units: let in and not told yet, nor in a call that is out. life is of
// the count's name, in seconds.
func (g *Gateway) UnreportedUnits(each func(name uint64, units, life float64)) {
	for _, c := range g.customersInOrder {
		if c.plan.Rate > 0 && c.unreported != 0 && c.counterName != 0 {
			each(c.counterName, c.unreported, min(60, 2.2*c.plan.windowLength()))
		}
	}
}

// Marked says whether a delivery of an operation has to be known elsewhere before it begins, and where a repeat of it is
// harmless: "": nowhere that can be told beforehand.
func (g *Gateway) DedupScope(name string) (scope string, needs bool) {
	op := g.operations[name]
	if op == nil {
		return "", true // taken as non-idempotent
	}
	if op.Effect == Deduplicated && op.DedupScope == "all" {
		return op.DedupScope, true
	}
	return "", op.Effect != Idempotent
}

// Dialled tells that a connection to a host was begun, for the figures by which load is seen to be multiplied.
func (g *Gateway) DialStarted(now float64) { g.instance.Overload.DialStarted(now) }
