package policy

import (
	"slices"

	"otterseam/gateway/overload"
	"otterseam/internal/rng"
)

const (
	// maxTickDelay is the longest time between two ticks. busyTickDelay applies while invocations are queued or in flight, so
	// that silent hosts are detected soon. minTickDelay keeps ticks from following each other immediately. All are in seconds.
	maxTickDelay  = 0.25
	busyTickDelay = 0.05
	minTickDelay  = 0.001
	// retryAfterDivisor makes a throttled client wait for at least half of the mean latency.
	retryAfterDivisor = 2
)

// Gateway makes the decisions of one API gateway. It must be used by one goroutine only.
type Gateway struct {
	instance    Instance
	limits      Limits
	output      Output
	random      rng.Stream
	operations  map[string]*operation
	plans       map[string]*Plan
	meanLatency float64 // s; moving average over the successful answers of all operations

	peers       peerView
	customers   customerTable
	counter     counterClient
	queue       queue
	concurrency concurrency
	hosts       hostTable
	slowStart   SlowStart
}

// New returns the policy of one API gateway. Actions that belong to no single invocation are carried out by output.
func New(config Config, output Output) *Gateway {
	g := &Gateway{
		instance:    config.Instance,
		limits:      config.Limits,
		output:      output,
		random:      rng.New("%d ", config.Instance.Seed),
		operations:  map[string]*operation{},
		plans:       map[string]*Plan{},
		peers:       newPeerView(config.Instance.Gateways),
		customers:   customerTable{byID: map[string]*customer{}},
		counter:     newCounterClient(config.Counter),
		concurrency: newConcurrency(),
		hosts:       hostTable{byAddr: map[string]*Host{}},
		slowStart:   config.SlowStart,
	}
	for _, o := range config.Operations {
		g.operations[o.Name] = newOperation(o)
		g.meanLatency += o.LatencyTarget / initialMeanDivisor / float64(len(config.Operations))
	}
	for _, p := range config.Plans {
		g.plans[p.Name] = &p
	}
	return g
}

// Accept registers a new invocation. Next will return it.
func (g *Gateway) Accept(now float64, r Request) *Invocation {
	op := g.operations[r.Operation]
	if op == nil {
		op = newUnknownOperation(r.Operation, r.Deadline-now)
		g.operations[r.Operation] = op
	}
	inv := &Invocation{
		Ref:         r.Ref,
		operation:   op,
		customer:    g.customer(now, r),
		units:       r.Units,
		arrivedAt:   now,
		targetAt:    now + op.LatencyTarget,
		deadline:    r.Deadline,
		clientRetry: r.ClientRetry,
	}
	if inv.customer.plan.Rate > 0 {
		inv.quotaUnits = r.Units
	}
	g.queue.addUndecided(inv)
	if !r.ClientRetry {
		g.instance.Overload.RequestArrived(now)
	}
	return inv
}

// Next returns the next invocation to pass to Decide, or nil if there is none now.
func (g *Gateway) Next(now float64) *Invocation {
	if inv := g.queue.popUndecided(); inv != nil {
		return inv
	}
	return g.popQueued(now)
}

// Decide returns what to do with an invocation that Next has returned.
func (g *Gateway) Decide(now float64, inv *Invocation) Decision {
	switch {
	case inv.stage == stageNew:
		return g.admit(now, inv)
	case inv.stage == stageQueued && inv.host != nil:
		return g.send(now, inv, inv.host)
	case inv.stage == stageThrottled, inv.stage == stageQueued && now >= inv.queueDeadline():
		return g.finish(now, inv)
	}
	return Decision{}
}

// send starts an attempt.
func (g *Gateway) send(now float64, inv *Invocation, h *Host) Decision {
	inv.host = nil
	inv.stage = stageSent
	attempt := &Attempt{
		Invocation:    inv,
		Host:          h,
		Number:        len(inv.Attempts),
		sentAt:        now,
		hostStartedAt: h.warmUp.startedAt,
	}
	g.instance.Overload.AttemptStarted(now, h.Addr, attempt.Number > 0)
	inv.Attempts = append(inv.Attempts, attempt)
	inv.inFlight++
	g.concurrency.inFlight++
	g.concurrency.dither = g.random.Float64()
	h.warmUp.nextSendCapacity = g.slowStart.cumulativeCapacity(now, h.warmUp.startedAt) + g.capacityGap()
	h.health.probeAt = now + g.instance.Overload.ProbeInterval(now, h.Addr, h.health.probeInterval)
	if inv.unprovenAttempt == nil {
		inv.unprovenAttempt = attempt
	}
	if len(h.inFlight) == 0 {
		h.health.lastAnswerAt = now // the host's silence is measured from now
	}
	h.inFlight = append(h.inFlight, attempt)
	decision := Decision{Action: Send, Host: h}
	if inv.operation.LateValue == 0 && inv.operation.Effect != NonIdempotent {
		// A late answer would be worth nothing, so the attempt need not hold its slots any longer.
		decision.Timeout = max(inv.targetAt-now, inv.operation.baseLatency)
	}
	return decision
}

// ConfirmSend reports whether an attempt that has waited for its connection may still be sent. It may not if its host has left
// or restarted meanwhile, or if it is a repeat whose deduplication window has ended. Attempts to a starting host that were chosen
// at different times are also kept from being sent together.
func (g *Gateway) ConfirmSend(now float64, attempt *Attempt) bool {
	h, inv := attempt.Host, attempt.Invocation
	cumulativeCapacity := g.slowStart.cumulativeCapacity(now, h.warmUp.startedAt)
	if !h.active || h.warmUp.startedAt != attempt.hostStartedAt ||
		inv.unprovenAttempt != attempt && !inv.repeatable(now) ||
		g.slowStart.warmUpFraction(now, h.warmUp.startedAt) < 1 && cumulativeCapacity < h.warmUp.nextReleaseCapacity {
		return false
	}
	h.warmUp.nextReleaseCapacity = cumulativeCapacity + g.capacityGap()/releasesPerSend
	return true
}

// AttemptEnded processes the result of an attempt. The invocation is then over, queued for a retry, or answered.
func (g *Gateway) AttemptEnded(now float64, attempt *Attempt, result AttemptResult) Decision {
	inv := attempt.Invocation
	inv.inFlight--
	g.concurrency.inFlight--
	attempt.Host.remove(attempt)
	if result.Outcome.neverRan() && inv.unprovenAttempt == attempt {
		inv.unprovenAttempt = nil
	}
	g.instance.Overload.AttemptEnded(now, attempt.Host.Addr, attempt.sentAt, overloadOutcome(result.Outcome))
	g.observe(now, attempt, result)
	g.settle(inv, result)
	if inv.stage == stageFinished || result.Final {
		g.Abandon(now, inv)
		return Decision{}
	}
	if g.mayRetry(now, inv) && inv.repeatable(now) {
		g.enqueue(inv)
		return Decision{}
	}
	return g.finish(now, inv)
}

// overloadOutcome converts an outcome for package overload.
func overloadOutcome(o Outcome) overload.AttemptResult {
	switch o {
	case Rejected:
		return overload.Rejected
	case TimedOut, Reset:
		return overload.Unanswered
	case NoConnection:
		return overload.ConnectFailed
	case Cancelled, NotSent:
		return overload.Inconclusive
	default:
		return overload.Answered
	}
}

// finish returns the final answer. It throttles only if nothing has run or the operation may run again on any host, since a
// throttled client may retry.
func (g *Gateway) finish(now float64, inv *Invocation) Decision {
	op := inv.operation
	repeatable := inv.repeatable(now)
	g.Abandon(now, inv)
	if !repeatable || inv.unprovenAttempt != nil && op.Effect == Deduplicated && op.DedupScope != scopeAll {
		return Decision{Action: Fail}
	}
	return Decision{Action: Throttle, RetryAfter: max(inv.retryAfter, op.meanLatency/retryAfterDivisor)}
}

// Abandon ends an invocation whose client has disconnected or that has its final answer. Its units and slot stay reserved
// until an attempt in flight has ended.
func (g *Gateway) Abandon(now float64, inv *Invocation) {
	g.queue.remove(inv)
	inv.stage = stageFinished
	if inv.inFlight == 0 {
		g.release(now, inv)
	}
}

// Tick evaluates the health of hosts by their silence and sends due reports to the counter and the peers. It also evicts idle
// customers.
func (g *Gateway) Tick(now float64) {
	g.evaluateSilence(now)
	g.instance.Overload.Evaluate(now)
	g.instance.Overload.Flush(now, g.output.SendPeer, g.output.Log)
	g.customers.ordered = slices.DeleteFunc(g.customers.ordered, func(c *customer) bool {
		g.reportIfDue(now, c)
		evict := c.evictable(now)
		if evict {
			delete(g.customers.byID, c.id)
		}
		return evict
	})
}

// TickDelay returns the time until the next calls of Tick and Next are due, in seconds.
func (g *Gateway) TickDelay(now float64) float64 {
	delay := maxTickDelay
	for _, inv := range g.queue.waiting {
		delay = min(delay, inv.queueDeadline()-now)
	}
	if len(g.queue.waiting) > 0 || g.concurrency.inFlight > 0 {
		delay = min(delay, busyTickDelay)
	}
	return max(min(delay, g.instance.Overload.Wait(now)), minTickDelay)
}
