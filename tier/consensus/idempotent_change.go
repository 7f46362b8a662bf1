package consensus

// IdempotentChange is a change of the register that one process wants, over all proposals that it takes. A proposal may meet the
// value of an earlier one, which has reached some acceptors; it is then decided as it stands, and the change is applied once all
// the same. Its method Apply is the [Change] to propose.
type IdempotentChange struct {
	// Change returns the record that is wanted in place of the current one, or false if none is.
	Change func(current Record) (Record, bool)

	proposed []Record // by earlier proposals
	applied  bool
}

// Apply is the change as a proposal asks for it.
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

// Applied tells whether the value of the newest proposal is that of this change.
func (c *IdempotentChange) Applied() bool { return c.applied }
