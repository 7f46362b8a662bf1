package consensus

// IdempotentChange is a change that is applied at most once over all proposals made for it. A proposal may read the value of an
// earlier proposal of the same change that reached only some acceptors. It then proposes that value unmodified instead of applying
// the change a second time. The Apply method is the [Change] to propose.
type IdempotentChange struct {
	// Change returns the record to replace the current one, or false to leave the current one.
	Change func(current Record) (Record, bool)

	proposed []Record // values of earlier proposals
	applied  bool
}

// Apply implements [Change].
func (c *IdempotentChange) Apply(current Record, _ map[uint64]bool) (Record, bool) {
	for _, earlier := range c.proposed {
		if earlier.withoutPrevious().Equal(current.withoutPrevious()) {
			c.applied = true
			return current, false
		}
	}
	next, wanted := c.Change(current)
	c.applied = wanted
	if wanted {
		c.proposed = append(c.proposed, next)
	}
	return next, wanted
}

// Applied reports whether the value of the newest proposal includes this change.
func (c *IdempotentChange) Applied() bool { return c.applied }
