package policy

// This file owns what others may know of an instance's books, so that they can be held elsewhere too. It decides nothing and
// changes nothing.

// Places is what the open places that an instance has on a count stand for in it, the call just made included.
func (g *Gateway) Places(name uint64) float64 {
	q := g.names[name]
	if len(q) == 0 {
		return 0
	}
	c := q[len(q)-1].cust
	if c.plan.MaxOut == 0 || c.name != name {
		return 0
	}
	return float64(max(0, c.standing)) * c.plan.pack()
}

// Debts tells of each count on which an instance owes units: let in and not told yet, nor in a call that is out. life is of
// the count's name, in seconds.
func (g *Gateway) Debts(each func(name uint64, units, life float64)) {
	for _, c := range g.inOrder {
		if c.plan.Rate > 0 && c.owed != 0 && c.name != 0 {
			each(c.name, c.owed, min(60, 2.2*c.plan.windowLength()))
		}
	}
}

// Marked says whether a delivery of an operation has to be known elsewhere before it begins, and where a repeat of it is
// harmless: "": nowhere that can be told beforehand.
func (g *Gateway) Marked(name string) (scope string, needs bool) {
	op := g.ops[name]
	if op == nil {
		return "", true // taken as non-idempotent
	}
	if op.Effect == Tokened && op.Group == "all" {
		return op.Group, true
	}
	return "", op.Effect != Idempotent
}

// Dialled tells that a connection to a host was begun, for the figures by which load is seen to be multiplied.
func (g *Gateway) Dialled(now float64) { g.at.Damp.Dialled(now) }
