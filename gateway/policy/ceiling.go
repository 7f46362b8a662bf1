package policy

// ceiling is a token bucket that enforces this instance's share of a customer's hard ceiling without the counter. It starts
// empty so that a restart does not grant the same units twice.
type ceiling struct {
	tokens     float64 // units, as of refilledAt
	refilledAt float64
}

// underCeiling reports whether an invocation's units are within its customer's ceiling, and takes them from it. If they are
// not it sets the invocation's retryAfter.
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
