package policy

// This file gives read access to an instance's state, so that it can also be kept elsewhere. Nothing in it influences a decision
// of the policy.

// CountedSlots returns the amount that this instance's open slots contribute to the total of a count, including the last call.
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

// UnreportedUnits calls report for each count with unreported units: units that were admitted by this instance and are neither
// on the counter nor in a call in flight. life is the lifetime of the count, in seconds.
func (g *Gateway) UnreportedUnits(report func(name uint64, units, life float64)) {
	for _, c := range g.customers.ordered {
		if c.plan.Rate > 0 && c.quota.unreported != 0 && c.quota.counterName != 0 {
			report(c.quota.counterName, c.quota.unreported, c.plan.countLife())
		}
	}
}

// DedupScope reports whether an attempt of an operation has to be recorded elsewhere before it starts, and the scope of hosts
// that recognize a repeat of it. The scope is "" unless all hosts do.
func (g *Gateway) DedupScope(name string) (scope string, record bool) {
	op := g.operations[name]
	if op == nil {
		return "", true // treated as non-idempotent
	}
	if op.Effect == Deduplicated && op.DedupScope == scopeAll {
		return op.DedupScope, true
	}
	return "", op.Effect != Idempotent
}

// DialStarted counts a dial to a host for the amplification figures in the log.
func (g *Gateway) DialStarted(now float64) { g.instance.Overload.DialStarted(now) }
