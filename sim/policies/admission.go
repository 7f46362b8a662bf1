package policies

import (
	"fmt"
	"hash/fnv"
	"math"

	"otterseam/gateway/policy"
)

const (
	// minRetryAfter is the shortest retry-after in seconds of the rule omniscient.
	minRetryAfter = 0.1
	// counterMargin is how many seconds must be left before the deadline after the timeout of a call to the counter.
	counterMargin = 0.02
	// countWindows is the lifetime of a count in quota windows. It is at most maxCountSeconds.
	countWindows    = 2.2
	maxCountSeconds = 60
)

// shareBucket is a token bucket for a gateway's share of a customer's quota.
type shareBucket struct{ level, filledAt float64 }

// windowCount is a customer's quota usage as the counter last reported it to a gateway.
type windowCount struct {
	window      float64
	total       float64 // last reported total of this window
	carriedOver float64 // unused units of the previous window
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
		// An invocation without enough time left for a reply of the counter is admitted, as it is when the counter does not reply,
		// because each invocation must get a final answer.
		counter := &b.simulation.Day.Counter
		if rate > 0 && counter.Present && request.Deadline-now > counter.Timeout.Float()+counterMargin {
			b.countFirst(now, inv, burst/rate)
			return
		}
	}
	b.send(inv)
}

// quota returns a plan's rate in units a second and its burst in units, or 0, 0 if there is no such plan or it has no rate.
func (b *baseline) quota(plan string) (rate, burst float64) {
	for i := range b.simulation.Day.Plans {
		if p := &b.simulation.Day.Plans[i]; p.Name == plan {
			return p.Rate.Float(), p.Burst.Float()
		}
	}
	return 0, 0
}

// admitByShare throttles an invocation that exceeds the gateway's even share of the customer's quota.
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

// countFirst calls the counter before an attempt is sent. windowSeconds is the length of the quota's windows.
func (b *baseline) countFirst(now float64, inv *pendingInvocation, windowSeconds float64) {
	inv.window = math.Floor(now / windowSeconds)
	inv.countName = countName(inv.Customer, inv.window)
	b.counterCalls[inv.countName] = append(b.counterCalls[inv.countName], inv)
	b.out.AddCount(inv.countName, inv.Units, min(maxCountSeconds, countWindows*windowSeconds))
}

// countName returns the name of a customer's count for a window, a number of 63 bits.
func countName(customer string, window float64) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %.0f", customer, window) // writing to a hash never fails
	return hash.Sum64() >> 1
}

// CounterReplied continues the invocation that has waited longest for this count. It is admitted if the call failed, as the rule
// design has no other source for the total.
func (b *baseline) CounterReplied(now float64, name uint64, outcome policy.Outcome, sum, _ float64) {
	inv := b.nextWaiting(name)
	if inv == nil || b.pending[inv.Ref] == nil { // a refund's reply, or the invocation has ended
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

// admitByCount throttles an invocation that exceeds the burst plus the unused units of the previous window, and refunds its units.
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
	b.counterCalls[inv.countName] = append(b.counterCalls[inv.countName], nil) // no invocation waits for the reply to the refund
	b.out.AddCount(inv.countName, -inv.Units, min(maxCountSeconds, countWindows*burst/rate))
	b.throttle(inv, (inv.window+1)*burst/rate-now)
	return false
}
