package policy

// repeatable reports whether an invocation may be sent now: nothing has run yet, or running again does no harm.
func (inv *Invocation) repeatable(now float64) bool {
	return inv.unprovenAttempt == nil || inv.operation.Effect == Idempotent ||
		inv.operation.Effect == Deduplicated && now < inv.unprovenAttempt.sentAt+inv.operation.DedupWindow
}

// mayRunAt reports whether an invocation may be sent to a host: it has no attempt in flight, is repeatable, and if it is a repeat
// that must be recognized, the host is within the deduplication scope.
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

// mayRetry reports whether the limits allow another attempt: the number of attempts, the time left, and the retry budget of
// package overload.
func (g *Gateway) mayRetry(now float64, inv *Invocation) bool {
	return len(inv.Attempts) < g.limits.MaxAttempts &&
		now < min(inv.targetAt, inv.deadline)-inv.operation.meanLatency &&
		g.instance.Overload.AllowsRetry()
}
