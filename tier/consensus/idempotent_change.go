package consensus

// IdempotentChange is a change of the register that one process wants, over all proposals that it takes. A proposal may meet the value of an
// earlier one, which has reached some witnesses; it is then decided as it stands, and the change is the process's own all the same.
type IdempotentChange struct {
	// Change returns the record that is wanted in place of the current one, or false if none is.
	Change func(current Record) (Record, bool)

	proposed []Record // by earlier proposals
	applied  bool
}

// Apply is the change as a proposal asks for it.
func (c *IdempotentChange) Apply(current Record, _ map[uint64]bool) (Record, bool) {
	for _, made := range c.proposed {
		if made.withoutPrevious().Equal(current.withoutPrevious()) {
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

// withoutPrevious is a record without the note that its members were changed, which each writing of it may set anew.
func (r Record) withoutPrevious() Record {
	r.Previous = nil
	return r
}
