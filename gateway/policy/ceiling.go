package policy

// ceiling is a token bucket that holds a customer's hard ceiling by this instance's part alone. It is empty at first, so that
// restarts grant nothing twice.
type ceiling struct {
	tokens     float64 // units, as of refilledAt
	refilledAt float64
}

// underCeiling takes an invocation's units from its customer's ceiling. Where they don't fit it sets when to come back.
func (c *customer) underCeiling(now float64, inv *Invocation) bool {
	p, bucket := c.plan, &c.ceiling
	bucket.tokens = min(bucket.tokens+p.CeilingRate/c.gatewayCount*(now-bucket.refilledAt), p.CeilingBurst/c.gatewayCount)
	bucket.refilledAt = now
	if p.CeilingRate > 0 && inv.units > bucket.tokens {
		inv.retryAfter = (inv.units - bucket.tokens) * c.gatewayCount / p.CeilingRate
		return false
	}
	bucket.tokens -= inv.units
	return true
}
