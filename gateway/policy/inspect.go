package policy

// What others may know of an instance's state, so that it can be kept elsewhere too. Nothing here decides or changes a decision.

// CountedSlots is what this instance's open slots on a count stand for in its total, the call just made included.
func (g *Gateway) CountedSlots(name uint64) float64 {
	calls := g.counter.calls[name]
	if len(calls) == 0 {
		return 0
	}
	c := calls[len(calls)-1].customer
	if c.plan.MaxConcurrent == 0 || c.quota.counterName != name {
		return 0
	}
	return float64(max(0, c.slots.counted)) * c.plan.slotUnit()
}

// UnreportedUnits tells of each count on which this instance owes units: admitted, and neither reported nor in a call in
// flight. life is that of the count, in seconds.
func (g *Gateway) UnreportedUnits(each func(name uint64, units, life float64)) {
	for _, c := range g.customers.ordered {
		if c.plan.Rate > 0 && c.quota.unreported != 0 && c.quota.counterName != 0 {
			each(c.quota.counterName, c.quota.unreported, c.plan.countLife())
		}
	}
}

// DedupScope says whether a delivery of an operation has to be recorded elsewhere before it begins, and within which hosts a
// repeat of it is recognised; "": within none that can be told beforehand.
func (g *Gateway) DedupScope(name string) (scope string, record bool) {
	op := g.operations[name]
	if op == nil {
		return "", true // taken as non-idempotent
	}
	if op.Effect == Deduplicated && op.DedupScope == scopeAll {
		return op.DedupScope, true
	}
	return "", op.Effect != Idempotent
}

// DialStarted tells that a connection to a host was begun, for the figures by which load is seen to be multiplied.
func (g *Gateway) DialStarted(now float64) { g.instance.Overload.DialStarted(now) }
