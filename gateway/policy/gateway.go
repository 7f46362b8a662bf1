package policy

import (
	"slices"

	"otterseam/gateway/overload"
	"otterseam/internal/rng"
)

const (
	// maxTickDelay is the longest time between two ticks, and busyTickDelay that while work is queued or in flight, so that
	// silence is noticed; minTickDelay keeps ticks from following each other at once. In seconds.
	maxTickDelay  = 0.25
	busyTickDelay = 0.05
	minTickDelay  = 0.001
	// retryAfterDivisor: a throttled client is to wait for half of a mean latency at least.
	retryAfterDivisor = 2
)

// Gateway decides for one API gateway. It is owned by one goroutine.
type Gateway struct {
	instance    Instance
	limits      Limits
	output      Output
	random      rng.Stream
	operations  map[string]*operation
	plans       map[string]*Plan
	meanLatency float64 // s; of good answers of late, over all operations

	peers       peerView
	customers   customerTable
	counter     counterClient
	queue       queue
	concurrency concurrency
	hosts       hostTable
	slowStart   SlowStart
}

// New makes the policy of one API gateway, which has its decisions carried out by an output.
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

// Accept takes in an invocation; Next will name it.
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
	g.queue.decideSoon(inv)
	if !r.ClientRetry {
		g.instance.Overload.RequestArrived(now)
	}
	return inv
}

// Next names the next invocation about which Decide is to be asked; nil: there is none now.
func (g *Gateway) Next(now float64) *Invocation {
	if inv := g.queue.nextUndecided(); inv != nil {
		return inv
	}
	return g.nextQueued(now)
}

// Decide says what to do with an invocation that Next has named.
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

// send begins an attempt.
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
	h.warmUp.nextSendGrowth = g.slowStart.growth(now, h.warmUp.startedAt) + g.growthGap()
	h.health.probeAt = now + g.instance.Overload.ProbeInterval(now, h.Addr, h.health.probeInterval)
	if inv.unprovenAttempt == nil {
		inv.unprovenAttempt = attempt
	}
	if len(h.inFlight) == 0 {
		h.health.lastAnswerAt = now // its silence begins now
	}
	h.inFlight = append(h.inFlight, attempt)
	decision := Decision{Action: Send, Host: h}
	if inv.operation.LateValue == 0 && inv.operation.Effect != NonIdempotent {
		// Guards against silence that holds slots for nothing.
		decision.Timeout = max(inv.targetAt-now, inv.operation.baseLatency)
	}
	return decision
}

// ConfirmSend looks once more at an attempt that waited for its connection, as it is about to leave. Guards against hosts
// that left or started anew meanwhile, repeats whose deduplication window has ended, and attempts to a starting host that
// were chosen far apart and would leave together.
func (g *Gateway) ConfirmSend(now float64, attempt *Attempt) bool {
	h, inv := attempt.Host, attempt.Invocation
	growth := g.slowStart.growth(now, h.warmUp.startedAt)
	if !h.active || h.warmUp.startedAt != attempt.hostStartedAt ||
		inv.unprovenAttempt != attempt && !inv.repeatable(now) ||
		g.slowStart.warmth(now, h.warmUp.startedAt) < 1 && growth < h.warmUp.nextReleaseGrowth {
		return false
	}
	h.warmUp.nextReleaseGrowth = growth + g.growthGap()/releasesPerSend
	return true
}

// AttemptEnded takes how an attempt ended: the invocation is over, queued for another attempt, or answered.
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

// overloadOutcome is what an outcome says of all hosts.
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

// finish gives the final answer. Throttling needs proof that nothing has run, or an operation that may run again anywhere.
func (g *Gateway) finish(now float64, inv *Invocation) Decision {
	op := inv.operation
	repeatable := inv.repeatable(now)
	g.Abandon(now, inv)
	if !repeatable || inv.unprovenAttempt != nil && op.Effect == Deduplicated && op.DedupScope != scopeAll {
		return Decision{Action: Fail}
	}
	return Decision{Action: Throttle, RetryAfter: max(inv.retryAfter, op.meanLatency/retryAfterDivisor)}
}

// Abandon ends an invocation: its client has gone, or it has its final answer. An attempt in flight keeps what it holds.
func (g *Gateway) Abandon(now float64, inv *Invocation) {
	g.queue.remove(inv)
	inv.stage = stageFinished
	if inv.inFlight == 0 {
		g.release(now, inv)
	}
}

// Tick judges hosts by their silence, and tells the counter and the peers what is due.
func (g *Gateway) Tick(now float64) {
	g.judgeSilence(now)
	g.instance.Overload.Evaluate(now)
	g.instance.Overload.Flush(now, g.output.SendPeer, g.output.Log)
	g.customers.ordered = slices.DeleteFunc(g.customers.ordered, func(c *customer) bool {
		g.reportIfDue(now, c)
		forget := c.forgettable(now)
		if forget {
			delete(g.customers.byID, c.id)
		}
		return forget
	})
}

// TickDelay is how many seconds may pass until the next Tick and Next.
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
