package policy

import "slices"

const (
	// queueTargetMargin is how many mean latencies before its target ends an invocation leaves the queue, and
	// maxQueuedShare for which part of its target it waits at most.
	queueTargetMargin = 1.3
	maxQueuedShare    = 0.5
	// pressedShare is the part of its target after which an invocation counts as pressed.
	pressedShare = 0.2
	// An invocation of clearly higher priority goes before an older one, and a pressed one before one of slightly higher.
	clearlyHigher = 1.2
	slightlyLower = 0.8
	// A client's retry counts for less than an invocation that comes for the first time; one that holds a slot, which its
	// customer lacks meanwhile, for more.
	clientRetryDivisor = 4
	slotPriority       = 1.5
)

// queue holds the invocations about which something is to be decided.
type queue struct {
	undecided []*Invocation // Next names them first
	waiting   []*Invocation // for a host, in the order in which they came
}

// decideSoon has Next name an invocation.
func (q *queue) decideSoon(inv *Invocation) { q.undecided = append(q.undecided, inv) }

// nextUndecided takes the first invocation that is to be decided; nil: there is none.
func (q *queue) nextUndecided() *Invocation {
	if len(q.undecided) == 0 {
		return nil
	}
	inv := q.undecided[0]
	q.undecided = q.undecided[1:]
	return inv
}

// remove takes an invocation out of those that wait.
func (q *queue) remove(inv *Invocation) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x *Invocation) bool { return x == inv })
}

// enqueue has an invocation wait for a host. The first time it counts as admitted.
func (g *Gateway) enqueue(inv *Invocation) {
	if inv.stage < stageQueued {
		inv.customer.quota.recentLocal += inv.quotaUnits
		inv.customer.quota.recentTotal += inv.quotaUnits
	}
	inv.stage = stageQueued
	inv.host = nil
	g.queue.waiting = append(g.queue.waiting, inv)
}

// queueDeadline is the clock time at which a waiting invocation is given up: early, so that its client's next try may still be
// in time.
func (inv *Invocation) queueDeadline() float64 {
	byTarget := min(inv.targetAt-queueTargetMargin*inv.operation.meanLatency,
		inv.arrivedAt+maxQueuedShare*inv.operation.LatencyTarget)
	return min(inv.deadline-answerMargin*inv.operation.meanLatency, max(inv.arrivedAt, byTarget))
}

// priority is what an invocation earns for the time for which it holds a host that is not pressed.
func (inv *Invocation) priority() float64 {
	priority := inv.operation.Value / inv.operation.baseLatency
	if inv.clientRetry {
		return priority / clientRetryDivisor
	}
	if inv.customer.plan.MaxConcurrent > 0 {
		return priority * slotPriority
	}
	return priority
}

// nextQueued takes the waiting invocation that the next free slot is for, with its host, or one whose time in the queue is
// over; nil: neither.
func (g *Gateway) nextQueued(now float64) *Invocation {
	hosts := g.hostsWithSlot(now)
	var best *Invocation
	highest := 0.0
	for _, inv := range g.queue.waiting {
		priority := inv.priority()
		pressed := now-inv.arrivedAt > pressedShare*inv.operation.LatencyTarget
		if best == nil || priority > highest*clearlyHigher || pressed && priority > highest*slightlyLower {
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
