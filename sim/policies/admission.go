package policies

import (
	"fmt"
	"hash/fnv"
	"math"

	"otterseam/gateway/policy"
)

const (
	// minRetryAfter is the shortest time to come back in seconds that the rule omniscient names.
	minRetryAfter = 0.1
	// counterMargin is how many seconds must be left before the deadline beyond the limit of a call to the counter.
	counterMargin = 0.02
	// countWindows is for how many windows of its quota a count lives, and maxCountSeconds bounds that.
	countWindows    = 2.2
	maxCountSeconds = 60
)

// shareBucket is a gateway's part of a customer's quota, as a token bucket.
type shareBucket struct{ level, filledAt float64 }

// windowCount is what a gateway knows of a customer's use from the counter.
type windowCount struct {
	window      float64
	total       float64 // the last one seen, of this window
	carriedOver float64 // what the window before left unused
}

// Accept admits an invocation by the rule, or throttles it.
func (b *baseline) Accept(now float64, request policy.Request) {
	inv := &pendingInvocation{Request: request}
	b.pending[request.Ref] = inv
	rate, burst := b.quota(request.Plan)
	switch b.rule {
	case omniscient:
		if !b.simulation.QuotaHasRoom(request.Customer, request.Units) {
			b.throttle(inv, max(minRetryAfter, request.Units/max(rate, 1)))
			return
		}
	case share:
		if rate > 0 && !b.admitByShare(now, inv, rate, burst) {
			return
		}
	case design:
		// What has no time left to hear the total passes, as what hears none does: a final answer is owed.
		counter := &b.simulation.Day.Counter
		if rate > 0 && counter.Present && request.Deadline-now > counter.Timeout.Float()+counterMargin {
			b.countFirst(now, inv, burst/rate)
			return
		}
	}
	b.send(inv)
}

// quota is a plan's rate in units a second and its burst in units; 0, 0 where it has none.
func (b *baseline) quota(plan string) (rate, burst float64) {
	for i := range b.simulation.Day.Plans {
		if p := &b.simulation.Day.Plans[i]; p.Name == plan {
			return p.Rate.Float(), p.Burst.Float()
		}
	}
	return 0, 0
}

// admitByShare throttles what passes an even part of the customer's quota.
func (b *baseline) admitByShare(now float64, inv *pendingInvocation, rate, burst float64) bool {
	gateways := float64(max(1, inv.GatewayCount))
	bucket := b.buckets[inv.Customer]
	if bucket == nil {
		bucket = &shareBucket{level: burst / gateways, filledAt: now}
		b.buckets[inv.Customer] = bucket
	}
	bucket.level = min(max(burst/gateways, inv.Units), bucket.level+rate/gateways*(now-bucket.filledAt))
	bucket.filledAt = now
	if bucket.level < inv.Units {
		b.throttle(inv, (inv.Units-bucket.level)*gateways/rate)
		return false
	}
	bucket.level -= inv.Units
	return true
}

// countFirst asks the counter before anything is sent. Quotas have windows of so many seconds.
func (b *baseline) countFirst(now float64, inv *pendingInvocation, windowSeconds float64) {
	inv.window = math.Floor(now / windowSeconds)
	inv.countName = countName(inv.Customer, inv.window)
	b.counterCalls[inv.countName] = append(b.counterCalls[inv.countName], inv)
	b.out.AddCount(inv.countName, inv.Units, min(maxCountSeconds, countWindows*windowSeconds))
}

// countName is the number under which the counter keeps a customer's use in a window. It has 63 bits.
func countName(customer string, window float64) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %.0f", customer, window) // a hash takes all that is written
	return hash.Sum64() >> 1
}

// CounterReplied goes on with the invocation that waits longest for this count. Without a total the rule design has none: it passes.
func (b *baseline) CounterReplied(now float64, name uint64, outcome policy.Outcome, sum, _ float64) {
	inv := b.nextWaiting(name)
	if inv == nil || b.pending[inv.Ref] == nil { // its units were taken back, or it is over
		return
	}
	if outcome == policy.Succeeded && !b.admitByCount(now, inv, sum) {
		return
	}
	b.send(inv)
}

func (b *baseline) nextWaiting(name uint64) *pendingInvocation {
	waiting := b.counterCalls[name]
	if len(waiting) == 0 {
		return nil
	}
	b.counterCalls[name] = waiting[1:]
	if len(waiting) == 1 {
		delete(b.counterCalls, name)
	}
	return waiting[0]
}

// admitByCount throttles what passes the burst and what the window before left, and takes its units back.
func (b *baseline) admitByCount(now float64, inv *pendingInvocation, sum float64) bool {
	rate, burst := b.quota(inv.Plan)
	count := b.counts[inv.Customer]
	if count == nil {
		count = &windowCount{window: inv.window}
		b.counts[inv.Customer] = count
	}
	if inv.window > count.window {
		count.carriedOver = max(0, min(burst, burst-count.total))
		count.window = inv.window
	}
	count.total = sum
	if sum <= burst+count.carriedOver {
		return true
	}
	b.counterCalls[inv.countName] = append(b.counterCalls[inv.countName], nil) // whose reply nobody waits for
	b.out.AddCount(inv.countName, -inv.Units, min(maxCountSeconds, countWindows*burst/rate))
	b.throttle(inv, (inv.window+1)*burst/rate-now)
	return false
}
