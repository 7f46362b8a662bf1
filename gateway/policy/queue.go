package policy

import "slices"

const (
	// queueTargetMargin is the time before the end of its latency target at which an invocation leaves the queue, in mean latencies.
	// maxQueuedShare is the fraction of its latency target that it may wait at most.
	queueTargetMargin = 1.3
	maxQueuedShare    = 0.5
	// urgentShare is the fraction of its latency target after which a waiting invocation is urgent.
	urgentShare = 0.2
	// An invocation precedes the best one before it in the queue if its priority is higher by clearlyHigherFactor. If it is urgent,
	// a priority above slightlyLowerFactor times that of the best one is enough.
	clearlyHigherFactor = 1.2
	slightlyLowerFactor = 0.8
	// clientRetryDivisor lowers the priority of a client's retry. slotPriorityFactor raises that of an invocation that holds a slot
	// of its customer's concurrency quota, since the customer can't use the slot meanwhile.
	clientRetryDivisor = 4
	slotPriorityFactor = 1.5
)

// queue holds the invocations that need a decision.
type queue struct {
	undecided []*Invocation // returned by Next first
	waiting   []*Invocation // waiting for a host, in the order in which they were queued
}

// addUndecided makes Next return an invocation.
func (q *queue) addUndecided(inv *Invocation) { q.undecided = append(q.undecided, inv) }

// popUndecided removes and returns the first undecided invocation, or nil if there is none.
func (q *queue) popUndecided() *Invocation {
	if len(q.undecided) == 0 {
		return nil
	}
	inv := q.undecided[0]
	q.undecided = q.undecided[1:]
	return inv
}

// remove removes an invocation from those waiting for a host.
func (q *queue) remove(inv *Invocation) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *Invocation) bool { return x == inv })
}

// enqueue adds an invocation to those waiting for a host. The first time, its units are counted as admitted.
func (g *Gateway) enqueue(inv *Invocation) {
	if inv.stage < stageQueued {
		inv.customer.quota.recentLocal += inv.quotaUnits
		inv.customer.quota.recentTotal += inv.quotaUnits
	}
	inv.stage = stageQueued
	inv.host = nil
	g.queue.waiting = append(g.queue.waiting, inv)
}

// queueDeadline returns the clock time at which a waiting invocation is throttled. It is early enough for a client's retry to
// succeed in time.
func (inv *Invocation) queueDeadline() float64 {
	byTarget := min(inv.targetAt-queueTargetMargin*inv.operation.meanLatency,
		inv.arrivedAt+maxQueuedShare*inv.operation.LatencyTarget)
	return min(inv.deadline-deadlineMargin*inv.operation.meanLatency, max(inv.arrivedAt, byTarget))
}

// priority returns the priority of an invocation: its value per second of time on a host that is not overloaded, weighted for
// retries and for slots.
func (inv *Invocation) priority() float64 {
	priority := inv.operation.Value / inv.operation.baseLatency
	if inv.clientRetry {
		return priority / clientRetryDivisor
	}
	if inv.customer.plan.MaxConcurrent > 0 {
		return priority * slotPriorityFactor
	}
	return priority
}

// popQueued removes and returns the waiting invocation that gets the next free slot, with its host set. It may instead return,
// without a host, one whose queue deadline has passed, or nil if there is neither.
func (g *Gateway) popQueued(now float64) *Invocation {
	hosts := g.hostsWithSlot(now)
	var best *Invocation
	highest := 0.0
	for _, inv := range g.queue.waiting {
		priority := inv.priority()
		urgent := now-inv.arrivedAt > urgentShare*inv.operation.LatencyTarget
		if best == nil || priority > highest*clearlyHigherFactor || urgent && priority > highest*slightlyLowerFactor {
			if h := g.pickHost(now, inv, hosts); h != nil {
				best = inv
				highest = priority
				inv.host = h
				continue
			}
		}
		if now >= inv.queueDeadline() {
			inv.host = nil
			return inv
		}
	}
	g.queue.remove(best)
	return best
}
