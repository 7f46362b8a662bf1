package oracle

import "otterseam/sim/model"

const (
	// unitsTolerance is the allowed rounding error in units.
	unitsTolerance = 1e-9
	// slotFactor times an operation's mean work is how long a request holds its slot under a concurrency limit.
	slotFactor = 1.5
)

// tokenBucket is refilled at a rate and holds at most one burst. It starts full.
type tokenBucket struct{ rate, burst, level, filledAt float64 }

func newTokenBucket(rate, burst, now float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, level: burst, filledAt: now}
}

func (b *tokenBucket) fill(now float64) {
	b.level = min(b.burst, b.level+b.rate*(now-b.filledAt))
	b.filledAt = now
}

// usage is the actual quota usage of one customer.
type usage struct {
	sent      tokenBucket // counts what reached a host
	requested tokenBucket // counts what clients requested
	ceiling   tokenBucket
	inFlight  int       // attempts
	slots     []float64 // expected end of each request within the concurrency limit
}

// usageOf returns the usage of a customer. The first call for a customer creates it with full buckets.
func (o *Oracle) usageOf(customer *model.Customer) *usage {
	used := o.usage[customer]
	if used == nil {
		plan := customer.Plan
		now := o.now()
		used = &usage{
			sent:      newTokenBucket(plan.Rate.Float(), plan.Burst.Float(), now),
			requested: newTokenBucket(plan.Rate.Float(), plan.Burst.Float(), now),
			ceiling:   newTokenBucket(plan.CeilingRate.Float(), plan.CeilingBurst.Float(), now),
		}
		o.usage[customer] = used
	}
	return used
}

// RequestCreated reports whether a new request is within its customer's quota, and if so charges its units.
func (o *Oracle) RequestCreated(request *model.Request) (within bool) {
	used := o.usageOf(request.Customer)
	plan := request.Customer.Plan
	now := o.now()
	used.requested.fill(now)
	used.dropSlots(now)
	hasRate := plan.Rate.Float() > 0
	hasCap := plan.MaxConcurrent.Int() > 0
	if hasRate && request.ActualUnits > used.requested.level || hasCap && len(used.slots) >= plan.MaxConcurrent.Int() {
		return false
	}
	if hasRate {
		used.requested.level -= request.ActualUnits
	}
	if hasCap {
		used.slots = append(used.slots, now+slotFactor*request.Operation.Work.Float())
	}
	return true
}

// dropSlots removes the slots that have expired.
func (u *usage) dropSlots(now float64) {
	held := u.slots[:0]
	for _, endsAt := range u.slots {
		if endsAt > now {
			held = append(held, endsAt)
		}
	}
	u.slots = held
}

// AttemptReached records that an attempt has arrived at its host in full. The first attempt of an invocation is charged the
// invocation's units; beyond reports whether they exceed the quota.
func (o *Oracle) AttemptReached(attempt *model.Attempt) (first, beyond bool) {
	invocation := attempt.Invocation
	used := o.usageOf(invocation.Request.Customer)
	attempt.ReachedHost = true
	first = !invocation.Charged
	if first {
		invocation.Charged = true
		beyond = o.charge(used, invocation)
	}
	if !attempt.CountsAgainstQuota {
		attempt.CountsAgainstQuota = true
		used.inFlight++
	}
	return first, beyond
}

// charge subtracts the units of an invocation from its customer's quota and ceiling, and reports whether they exceed the quota.
func (o *Oracle) charge(used *usage, invocation *model.Invocation) (beyond bool) {
	request := invocation.Request
	plan := request.Customer.Plan
	now := o.now()
	used.sent.fill(now)
	if plan.Rate.Float() > 0 {
		if request.ActualUnits > used.sent.level+unitsTolerance {
			beyond = true
		} else {
			used.sent.level -= request.ActualUnits
		}
	}
	beyond = beyond || plan.MaxConcurrent.Int() > 0 && used.inFlight >= plan.MaxConcurrent.Int()
	if plan.CeilingRate.Float() > 0 {
		used.ceiling.fill(now)
		if request.Units > used.ceiling.level+unitsTolerance {
			o.addViolation(ruleCeiling, invocation.Ref, "%s exceeds the ceiling of customer %s: %.2f units where %.2f were left",
				invocation.Ref, request.Customer.Key, request.Units, used.ceiling.level)
		}
		used.ceiling.level -= request.Units
	}
	return beyond
}

// AttemptReleased records that an attempt is no longer in flight, because its answer is written or its connection is closed.
func (o *Oracle) AttemptReleased(attempt *model.Attempt) {
	if attempt.CountsAgainstQuota {
		attempt.CountsAgainstQuota = false
		o.usageOf(attempt.Invocation.Request.Customer).inFlight--
	}
}

// QuotaHasRoom reports whether a customer's quota has room for the units now, judged by what was actually sent.
func (o *Oracle) QuotaHasRoom(customer *model.Customer, units float64) bool {
	used := o.usageOf(customer)
	plan := customer.Plan
	used.sent.fill(o.now())
	return (plan.Rate.Float() == 0 || units <= used.sent.level+unitsTolerance) &&
		(plan.MaxConcurrent.Int() == 0 || used.inFlight < plan.MaxConcurrent.Int())
}
