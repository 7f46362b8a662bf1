package policy

// repeatable says whether an invocation may be sent now: nothing has run, or running again does no harm.
func (inv *Invocation) repeatable(now float64) bool {
	return inv.unprovenAttempt == nil || inv.operation.Effect == Idempotent ||
		inv.operation.Effect == Deduplicated && now < inv.unprovenAttempt.sentAt+inv.operation.DedupWindow
}

// mayRunAt says whether an invocation may be sent to a host: repeatable, and where a repeat is recognised.
func (inv *Invocation) mayRunAt(now float64, h *Host) bool {
	if inv.inFlight != 0 || !inv.repeatable(now) {
		return false
	}
	earlier := inv.unprovenAttempt
	if earlier == nil || inv.operation.Effect == Idempotent {
		return true
	}
	switch inv.operation.DedupScope {
	case scopeAll:
		return true
	case scopeZone:
		return h.zone == earlier.Host.zone
	case scopeCell:
		return h.cell == earlier.Host.cell
	}
	return false
}

// mayRetry says whether the limits leave room for another attempt: their number, the time left, and overload's budget.
func (g *Gateway) mayRetry(now float64, inv *Invocation) bool {
	return len(inv.Attempts) < g.limits.MaxAttempts &&
		now < min(inv.targetAt, inv.deadline)-inv.operation.meanLatency &&
		g.instance.Overload.AllowsRetry()
}
