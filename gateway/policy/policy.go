// Package policy decides everything an api gateway decides; values.go holds the plain types of its interface.
// How to call it. New makes an instance; Hosts, Counted, Lost, Told, Gone, Tick and Meet tell what was seen,
// and that time has passed. Take brings an invocation in. While Turn names one, Where says where to send it
// (or not yet, or never); Goes, as it leaves, if it still may; After what to do once it has ended; Wait and
// Meets how long until the next Tick and Meet. The rest leaves through Out.
// The design decides the ordinary path: the estimate is added to the customer's count, the invocation is
// throttled if the total passes the limit (the estimate taken off again), and the true cost is settled.
// Beside it stand:
//  1. ledger: what this instance owes the counter; a silent, full or forgetful counter is bridged by shares
//  2. open cap: deliveries out at once ride in the same count as the units
//  3. line and places: work waits here, a host gets the next piece when one of its places is free
//  4. health by silence: a host is set aside for it, all by package damp; back by peers' word, or a trial
//  5. cold budget: this instance's part of what a host that has just started may be sent
//  6. further deliveries: by effect, time left, spare places and damp's budget
package policy

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"

	"otterseam/gateway/overload"
	"otterseam/internal/rng"
)

type Attempt struct {
	Invocation    *Invocation
	Host          *Host
	Number        int
	sentAt        float64
	hostStartedAt float64 // its host's start when it was chosen
}

// stage: to be counted, its counter call out, over the quota, in line, a delivery out, has its final answer.
type stage int

const stageNew, stageCounting, stageThrottled, stageQueued, stageSent, stageFinished stage = 0, 1, 2, 3, 4, 5

type Invocation struct {
	Ref                           string
	Attempts                      []*Attempt
	operation                     *operation
	customer                      *customer
	units, quotaUnits, retryAfter float64 // as it says, as the quota on the rate counts it; when to come back
	arrivedAt, targetAt, deadline float64 // it came, its latency objective ends, its client gives up
	stage                         stage
	clientRetry, reserved         bool     // it is marked as a client's repeat; it holds units and an open place
	inFlight                      int      // deliveries out
	unprovenAttempt               *Attempt // the first delivery not proved not run
	host                          *Host    // chosen by Turn
}

func (inv *Invocation) Finished() bool { return inv.stage == stageFinished && inv.inFlight == 0 }

type Host struct {
	Addr, zone                                   string
	cell, consecutiveFailures                    int  // fails: bad endings since the last good one
	active, ejected, peerAsked                   bool // active in the list; set aside here; by a peer that asks for word of it
	inFlight                                     []*Attempt
	startedAt, nextSendGrowth, nextReleaseGrowth float64 // its last start; cold: nothing new, nothing let go before it has grown so far
	concurrencyLimit, backoffUntil               float64 // how many deliveries this instance may have out there; nothing new before
	slowness, bestSlowness                       float64 // time of its answers over their operation's base; the least of it
	answerGap, suspicion                         float64 // mean gap between good answers times deliveries out; how odd its silence is
	lastAnswerAt                                 float64 // last good answer, or when it was given work after none
	probeAt, probeInterval                       float64 // set aside: next trial, and how far apart
	costSlowness, costFactor                     float64 // what bestHost last raised to a power for it, and the result
}

type operation struct {
	Operation
	meanLatency, baseLatency float64 // time of good answers: of late, unpressed
}

type customer struct {
	id                                        string
	plan                                      *Plan
	window                                    int64
	counterName                               uint64
	firstGateway, gatewayCount, shareGateways float64 // api gateways it comes in through; by how many its share was divided
	othersOpen, ownOpen, usualOpen            float64 // open places, means: others' and its own in totals; its own here, at each try
	available, availableAt, pendingUnits      float64 // units that may still be let in, as of at, less those of calls that are out
	unreported, reportedAt                    float64 // units to add with the next call, and when the last was
	openSlots, countedSlots                   int     // open places held here, and of them on the counter
	recentRequested                           float64 // units asked for here of late, repeats left out
	recentLocal, recentTotal, localShare      float64 // units let in of late: here, everywhere; its part of the quota without a call
	localBudget, localBudgetAt                float64 // what may be let in without a call, as of then (0: a total came since)
	admitFraction, admitFractionAt            float64 // of its tries let in without a call, as of when a total last left no room
	lastTotal, lastTotalAt, overAdmitted      float64 // units in the last total, when it was, others' in it beyond the room there was
	ceilingTokens, ceilingAt                  float64 // units under the hard ceiling, as of hardAt
}

type counterCall struct {
	customer            *customer
	invocation          *Invocation
	window              int64
	added, estimate     float64 // added, est of them the estimate
	slots, countedSlots int     // open places added, and held here on the counter with them
}

type Gateway struct {
	instance                                         Instance
	counterConfig                                    CounterConfig
	slowStart                                        SlowStart
	limits                                           Limits
	output                                           Output
	operations                                       map[string]*operation
	plans                                            map[string]*Plan
	hosts                                            []*Host // in the order of their addresses
	hostsByAddr                                      map[string]*Host
	customers                                        map[string]*customer
	customersInOrder                                 []*customer
	pendingCalls                                     map[uint64][]*counterCall
	callLimiter                                      overload.CallLimiter // to the counter, that may be made
	random                                           rng.Line
	peerMessageAt, connectFailureRate                float64 // no message to the peers before; share of deliveries of late with no connection
	decidable, queue                                 []*Invocation
	inFlight, perHostLimit                           float64 // deliveries out; how many there may be a host, from all api gateways
	meanLatencyRatio, meanLatency, limitDither       float64 // of late: answer times over objectives, answer times; a chance
	configuredGateways, liveGateways, judgementShare float64 // api gateways; by how many shares divide; part of a host one judges alone
}

func New(at Instance, ops []Operation, ps []Plan, ctr CounterConfig, cold SlowStart, allow Limits, out Output) *Gateway {
	all := max(1, float64(at.Gateways))
	g := &Gateway{
		instance: at, counterConfig: ctr, slowStart: cold, limits: allow, output: out, operations: map[string]*operation{},
		plans: map[string]*Plan{}, hostsByAddr: map[string]*Host{}, customers: map[string]*customer{},
		pendingCalls: map[uint64][]*counterCall{}, callLimiter: overload.NewCallLimiter(ctr.Present, ctr.Timeout),
		random: rng.By("%d ", at.Seed), perHostLimit: 12, meanLatencyRatio: 0.2, configuredGateways: all, liveGateways: all, judgementShare: min(1, 12/all),
	}
	for _, o := range ops {
		g.operations[o.Name] = &operation{Operation: o, meanLatency: o.LatencyTarget / 5, baseLatency: o.LatencyTarget / 8}
		g.meanLatency += o.LatencyTarget / 5 / float64(len(ops))
	}
	for _, p := range ps {
		g.plans[p.Name] = &p
	}
	return g
}

func (g *Gateway) Accept(now float64, a Request) *Invocation {
	op, given := g.operations[a.Operation], a.Deadline-now
	if op == nil { // the start did not name it: the strictest kind, wanted by half of its time
		o := Operation{Name: a.Operation, LatencyTarget: given / 2, Value: 1, Effect: NonIdempotent}
		op = &operation{Operation: o, meanLatency: given / 10, baseLatency: given / 16}
		g.operations[a.Operation] = op
	}
	inv := &Invocation{
		Ref: a.Ref, operation: op, customer: g.customer(now, a), units: a.Units, arrivedAt: now,
		targetAt: now + op.LatencyTarget, deadline: a.Deadline, clientRetry: a.ClientRetry,
	}
	if inv.customer.plan.Rate > 0 {
		inv.quotaUnits = a.Units
	}
	g.decidable = append(g.decidable, inv)
	if !a.ClientRetry {
		g.instance.Overload.RequestArrived(now)
	}
	return inv
}

func (g *Gateway) customer(now float64, a Request) *customer {
	id := a.Plan + " " + a.Customer
	c := g.customers[id]
	if c == nil {
		plan := g.plans[a.Plan]
		if plan == nil { // a plan that the start did not name promises nothing and limits nothing
			plan = &Plan{Name: a.Plan}
			g.plans[a.Plan] = plan
			g.output.Log("a plan is unknown: no quota for " + a.Plan)
		}
		c = &customer{id: id, plan: plan, window: math.MinInt64, availableAt: now, ceilingAt: now, admitFraction: 1, admitFractionAt: now - 60}
		g.customers[id] = c
		g.customersInOrder = append(g.customersInOrder, c)
	}
	c.firstGateway, c.gatewayCount = float64(a.FirstGateway), max(1, float64(a.GatewayCount))
	return c
}

func (g *Gateway) Next(now float64) *Invocation {
	if len(g.decidable) == 0 {
		return g.nextQueued(now)
	}
	inv := g.decidable[0]
	g.decidable = g.decidable[1:]
	return inv
}

func (g *Gateway) Decide(now float64, inv *Invocation) Decision {
	switch {
	case inv.stage == stageNew:
		return g.admit(now, inv)
	case inv.stage == stageQueued && inv.host != nil:
		return g.send(now, inv, inv.host)
	case inv.stage == stageThrottled, inv.stage == stageQueued && now >= g.queueDeadline(inv):
		return g.finish(now, inv)
	}
	return Decision{}
}

func (g *Gateway) TickDelay(now float64) float64 {
	next := 0.25
	for _, inv := range g.queue {
		next = min(next, g.queueDeadline(inv)-now)
	}
	if len(g.queue) > 0 || g.inFlight > 0 {
		next = min(next, 0.05)
	}
	return max(min(next, g.instance.Overload.Wait(now)), 0.001)
}

// Meet keeps up who of the api gateways is there: what all do is divided by that, but for the rules.
func (g *Gateway) RefreshMembership(now float64) {
	g.instance.Peers.Flush(now, g.output.SendPeer, g.output.Log)
	g.liveGateways = g.instance.Peers.ShareDivisor(now, 0, int(g.configuredGateways))
	g.judgementShare = min(1, 12/g.liveGateways)
	g.instance.Overload.SetFleet(g.liveGateways, len(g.hosts))
}

func (g *Gateway) MembershipDelay(now float64) float64 { return g.instance.Peers.Wait(now) }

func (g *Gateway) Tick(now float64) {
	g.judgeSilence(now)
	g.instance.Overload.Evaluate(now)
	g.instance.Overload.Flush(now, g.output.SendPeer, g.output.Log)
	g.customersInOrder = slices.DeleteFunc(g.customersInOrder, func(c *customer) bool {
		much := math.Abs(c.unreported) > c.plan.Burst/4 || c.countedSlots > c.openSlots // the others should hear
		if much && c.plan.limited() && now-c.reportedAt > 0.25 && g.callLimiter.Allows(now, 1) {
			g.refill(now, c)
			g.report(now, c, nil)
		}
		quiet := c.forgettable(now)
		if quiet {
			delete(g.customers, c.id)
		}
		return quiet
	})
}

// quiet: to forget it changes no decision. Guards against memory that grows with all who ever came.
func (c *customer) forgettable(now float64) bool {
	idle, rate := now-c.availableAt, c.plan.Rate // a ceiling starts empty, and so is remembered for longer
	return c.openSlots == 0 && c.countedSlots == 0 && c.pendingUnits == 0 && c.available+rate*idle >= c.plan.Burst &&
		c.admitFractionNow(now) == 1 && idle > c.plan.windowLength() && (idle > 60 || c.plan.CeilingRate == 0)
}

// end gives the final answer. A throttling needs proof that nothing ran, or an operation that may run again.
func (g *Gateway) finish(now float64, inv *Invocation) Decision {
	op, repeatable := inv.operation, inv.repeatable(now)
	g.Abandon(now, inv)
	if !repeatable || inv.unprovenAttempt != nil && op.Effect == Deduplicated && op.DedupScope != "all" {
		return Decision{Action: Fail}
	}
	return Decision{Action: Throttle, RetryAfter: max(inv.retryAfter, inv.operation.meanLatency/2)}
}

func (g *Gateway) Abandon(now float64, inv *Invocation) {
	g.queue = slices.DeleteFunc(g.queue, func(x *Invocation) bool { return x == inv })
	if inv.stage = stageFinished; inv.inFlight == 0 {
		g.release(now, inv)
	}
}

// windowLength: long ones make edges rare; a place stranded by a dead api gateway lapses with its short one.
func (p *Plan) windowLength() float64 {
	if p.Rate <= 0 {
		return 2
	}
	return min(25, max(15, p.Burst/p.Rate))
}

// pack is what one open place adds to a count that also keeps units; totals have seven digits.
func (p *Plan) slotUnit() float64 {
	return math.Pow(10, math.Ceil(math.Log10(max(1000, 4*(p.Burst+p.Rate*p.windowLength())))))
}

func (p *Plan) limited() bool { return p.Rate > 0 || p.MaxConcurrent > 0 }

// roll brings a customer's room up to now and, at a window's edge, to the new name. Room is what the
// last total leaves. What passes one burst is lost once a total has come: an edge carries over one at most.
func (g *Gateway) refill(now float64, c *customer) {
	p := c.plan
	c.available += p.Rate * (now - c.availableAt)
	if w := int64(math.Floor(now / p.windowLength())); w != c.window {
		if c.window == math.MinInt64 { // no total seen: the whole burst counts as unused
			c.available = p.Burst + (1-g.judgementShare)*p.Rate*math.Mod(now, p.windowLength())
		}
		c.window, c.lastTotal, c.countedSlots, c.overAdmitted = w, 0, 0, 0
		f := fnv.New64a()
		fmt.Fprintf(f, "%s %d", c.id, w)
		c.counterName = f.Sum64() >> 1
	}
	fade := math.Exp(-(now - c.availableAt) / 8)
	c.recentLocal, c.recentTotal, c.recentRequested, c.availableAt = c.recentLocal*fade, c.recentTotal*fade, c.recentRequested*fade, now
}

func (g *Gateway) admit(now float64, inv *Invocation) Decision {
	c, p := inv.customer, inv.customer.plan
	if now >= inv.deadline-0.7*inv.operation.meanLatency || !g.underCeiling(now, inv) { // too late for any answer, or too much
		return g.finish(now, inv)
	}
	if g.refill(now, c); !p.limited() {
		g.enqueue(inv)
		return Decision{}
	}
	c.usualOpen += 0.1 * (float64(c.openSlots) - c.usualOpen)
	if !inv.clientRetry {
		c.recentRequested += inv.quotaUnits
	}
	recent, full := now-c.lastTotalAt < 0.07 || g.callLimiter.Limited && now-c.lastTotalAt < 1, p.MaxConcurrent > 0 && c.openSlots >= p.MaxConcurrent
	if short := inv.quotaUnits - c.available; short > 0 && recent || full { // by a total just seen, or by what is out here
		inv.retryAfter = max(inv.operation.meanLatency, short/max(p.Rate, 0.001))
		return g.finish(now, inv)
	}
	inv.reserved, c.openSlots, c.available = true, c.openSlots+1, c.available-inv.quotaUnits
	if !g.callLimiter.Allows(now, 1) || inv.deadline-now < g.counterConfig.Timeout+0.01 {
		g.admitLocally(now, inv)
	} else {
		inv.stage = stageCounting
		g.report(now, c, inv)
	}
	return Decision{}
}

func (g *Gateway) report(now float64, c *customer, inv *Invocation) {
	k := &counterCall{customer: c, window: c.window, invocation: inv}
	if inv != nil {
		k.estimate = inv.quotaUnits
	}
	k.added, c.pendingUnits = c.unreported+k.estimate, c.pendingUnits+k.estimate
	amount := k.added
	if c.plan.MaxConcurrent > 0 {
		k.slots = c.openSlots - c.countedSlots
		amount += float64(k.slots) * c.plan.slotUnit()
	}
	g.callLimiter.Tokens, c.unreported, c.reportedAt = g.callLimiter.Tokens-1, 0, now
	c.countedSlots, k.countedSlots = c.countedSlots+k.slots, c.countedSlots+k.slots
	g.pendingCalls[c.counterName] = append(g.pendingCalls[c.counterName], k)
	g.output.AddCount(c.counterName, amount, min(60, 2.2*c.plan.windowLength()))
}

func (g *Gateway) CounterReplied(now float64, name uint64, how Outcome, sum, took float64) {
	q := g.pendingCalls[name]
	if len(q) == 0 {
		return
	}
	k := q[0]
	if g.pendingCalls[name] = q[1:]; len(q) == 1 {
		delete(g.pendingCalls, name)
	}
	c, inv := k.customer, k.invocation
	g.refill(now, c)
	if g.callLimiter.CallEnded(now, g.liveGateways, how == Succeeded, strings.ContainsRune("FTC", rune(how)), took) {
		g.output.Log(fmt.Sprintf("counter: last %c in %.3f s, at most %.1f calls a second", how, took, g.callLimiter.Rate))
	}
	if c.pendingUnits -= k.estimate; how != Succeeded {
		g.counterMissed(now, k, how)
		return
	}
	if c.localBudgetAt = 0; k.window == c.window {
		g.applyTotal(now, k, sum)
	}
	if inv == nil || inv.stage != stageCounting {
		return
	} else if inv.retryAfter == 0 {
		g.enqueue(inv)
	} else { // over: the estimate is taken off again, at once
		g.broadcast(now, "="+c.id)
		g.overQuota(now, c, 0.5)
		g.throttle(now, inv)
	}
}

func (g *Gateway) throttle(now float64, inv *Invocation) {
	g.release(now, inv)
	inv.stage = stageThrottled
	g.decidable = append(g.decidable, inv)
}

func (g *Gateway) applyTotal(now float64, k *counterCall, sum float64) {
	c, p, units, open := k.customer, k.customer.plan, sum, 0.0
	if p.MaxConcurrent > 0 {
		units, open = math.Remainder(sum, p.slotUnit()), math.Round(sum/p.slotUnit())
	}
	others := units - k.added - c.lastTotal
	if others < -(4*g.counterConfig.MaxUnits + p.Burst/4) {
		// Guards against a forgotten count: no take-offs explain so low a total. What was used stays used.
		g.output.Log(fmt.Sprintf("a count was forgotten: %.0f after %.0f", units-k.added, c.lastTotal))
		others = max(0, units-k.added)
	}
	blind := now - c.lastTotalAt
	if age := math.Mod(now, p.windowLength()); p.Rate > 0 && others > 0 && blind > age {
		if use := others / max(1, age); c.lastTotalAt == 0 { // none of this window yet: used before it as in it
			others += (1 - g.judgementShare) * p.Burst * min(1, max(0, 2*use/p.Rate-1))
		} else {
			others += (1 - g.judgementShare) * use * (blind - age)
		}
	}
	usual := max((c.recentTotal-c.recentLocal)/8*blind, max(0, others)*blind/(blind+4))
	held := c.pendingUnits
	if k.invocation != nil && k.invocation.stage == stageCounting {
		held += k.invocation.quotaUnits
	}
	back := min(c.overAdmitted, max(0, -others))
	c.available = min(p.Burst-held, min(c.available, p.Burst-held+usual)-others-back)
	// What others added beyond the room took nothing: it is no debt, nor room when it is taken off.
	if c.overAdmitted -= back; !g.counterConfig.SettlesUnits { // settlements may take it below
		c.available, c.overAdmitted = max(c.available, -held), c.overAdmitted+max(0, -held-c.available)
	}
	c.recentTotal += max(0, others)
	c.lastTotal, c.lastTotalAt = units, now
	if k.invocation == nil {
		return
	}
	c.othersOpen += 0.1 * (max(0, open-float64(k.countedSlots)) - c.othersOpen)
	c.ownOpen += 0.1 * (max(0, float64(k.countedSlots)-1) - c.ownOpen)
	if short := -(c.available + c.pendingUnits); p.Rate > 0 && short > 0 {
		k.invocation.retryAfter = short / p.Rate
	} else if p.MaxConcurrent > 0 && open > float64(p.MaxConcurrent) {
		k.invocation.retryAfter = k.invocation.operation.meanLatency
	}
}

func (c *customer) admitFractionNow(now float64) float64 {
	return min(1, c.admitFraction*math.Exp(0.05*(now-c.admitFractionAt)))
}

func (g *Gateway) overQuota(now float64, c *customer, cut float64) {
	if now-c.admitFractionAt > 1 {
		c.admitFraction, c.admitFractionAt = cut*c.admitFractionNow(now), now
	}
}

// missed handles a call without a total, as if nothing was added: in doubt a count is too high, not too low.
func (g *Gateway) counterMissed(now float64, k *counterCall, how Outcome) {
	bridged := k.invocation != nil && k.invocation.stage == stageCounting
	if how != Failed {
		k.customer.unreported += k.added - k.estimate
		if k.window == k.customer.window && how != TimedOut { // late, most often: added twice, a place would be lost
			k.customer.countedSlots -= k.slots
		}
	} else if bridged { // answered by what can't be read: added all the same, and bridge would add it again
		k.customer.unreported -= k.estimate
	}
	if bridged {
		g.admitLocally(now, k.invocation)
	}
}

// Lost: a late call of so much will never be answered. Its open places were taken for added; now for not.
func (g *Gateway) CounterCallLost(name uint64, amount float64) {
	i := slices.IndexFunc(g.customersInOrder, func(c *customer) bool { return c.counterName == name && c.plan.MaxConcurrent > 0 })
	if i >= 0 { // guards against places that stay in a total until its window ends
		g.customersInOrder[i].countedSlots -= int(math.Round(amount / g.customersInOrder[i].plan.slotUnit()))
	}
}

// bridge decides without a call, by this instance's share of the quota; the counter is told later. Where it
// sees little of a customer, it lends to one far from its quota, and lets in a part of the tries (see over).
func (g *Gateway) admitLocally(now float64, inv *Invocation) {
	c, p := inv.customer, inv.customer.plan
	width := g.instance.Peers.ShareDivisor(now, int(c.firstGateway), int(c.gatewayCount))
	if c.localBudgetAt == 0 {
		prior := max(1, p.Burst/2)
		c.localShare = max(0.5/width, (c.recentLocal+prior/width)/(c.recentTotal+prior))
		// Guards against throttling those far from their quota, as most are, whose traffic comes in unevenly:
		// no total has said that it is near its quota, nor does what is asked for here alone.
		if c.admitFractionNow(now) == 1 && c.recentRequested < 8*0.3*p.Rate {
			c.localShare = min(1, c.localShare*(2-g.judgementShare))
		}
		room := max(0, min(p.Burst, c.available+inv.quotaUnits))
		if c.localBudget, c.localBudgetAt, c.shareGateways = c.localShare*room, now, width; room > p.Burst/2 && !inv.clientRetry {
			c.localBudget = max(c.localBudget, min(room, inv.quotaUnits)) // far from its quota, as most are
		}
	}
	share := min(1, c.localShare*c.shareGateways/width) // as it was, and by who has gone or come back since
	c.localBudget, c.localBudgetAt = min(c.localBudget+share*p.Rate*(now-c.localBudgetAt), max(c.localBudget, share*p.Burst, inv.quotaUnits)), now
	others := c.usualOpen * (c.othersOpen + 0.1*(width-1)) / (c.ownOpen + 0.1) // of both a total holds the same part
	if g.judgementShare < 1 && g.random.Next() > c.admitFractionNow(now) {
		inv.retryAfter = 0.5
	} else if inv.quotaUnits > c.localBudget {
		inv.retryAfter = (inv.quotaUnits - c.localBudget) / (share * p.Rate)
	} else if p.MaxConcurrent > 0 && float64(c.openSlots)+math.Round(others) > float64(p.MaxConcurrent) {
		inv.retryAfter = inv.operation.meanLatency
	}
	if c.unreported += inv.quotaUnits; inv.retryAfter > 0 {
		g.throttle(now, inv)
		return
	}
	c.localBudget -= inv.quotaUnits
	g.enqueue(inv)
}

func (g *Gateway) release(now float64, inv *Invocation) {
	if !inv.reserved {
		return
	}
	c := inv.customer
	inv.reserved, c.openSlots = false, c.openSlots-1
	if g.refill(now, c); inv.unprovenAttempt == nil {
		c.unreported, c.available = c.unreported-inv.quotaUnits, c.available+inv.quotaUnits
	}
	// Guards against places given back that stay counted, and so refuse others: told first, by a call lent.
	least := 1 - g.callLimiter.Rate/8*float64(min(1, max(0, c.countedSlots-c.openSlots)))
	if (inv.unprovenAttempt == nil && c.unreported < 0 || c.countedSlots > c.openSlots) && g.callLimiter.Allows(now, least) {
		g.report(now, c, nil)
	}
}

// underCeiling holds a hard ceiling by this instance's part, empty at first: restarts grant nothing twice.
func (g *Gateway) underCeiling(now float64, inv *Invocation) bool {
	c, p := inv.customer, inv.customer.plan
	c.ceilingTokens, c.ceilingAt = min(c.ceilingTokens+p.CeilingRate/c.gatewayCount*(now-c.ceilingAt), p.CeilingBurst/c.gatewayCount), now
	if p.CeilingRate > 0 && inv.units > c.ceilingTokens {
		inv.retryAfter = (inv.units - c.ceilingTokens) * c.gatewayCount / p.CeilingRate
		return false
	}
	c.ceilingTokens -= inv.units
	return true
}

func (g *Gateway) enqueue(inv *Invocation) {
	if c := inv.customer; inv.stage < stageQueued {
		c.recentLocal, c.recentTotal = c.recentLocal+inv.quotaUnits, c.recentTotal+inv.quotaUnits
	}
	inv.stage, inv.host = stageQueued, nil
	g.queue = append(g.queue, inv)
}

// lapse is when an invocation in line is given up, early, so that its client's next try may still be in time.
func (g *Gateway) queueDeadline(inv *Invocation) float64 {
	return min(inv.deadline-0.7*inv.operation.meanLatency,
		max(inv.arrivedAt, min(inv.targetAt-1.3*inv.operation.meanLatency, inv.arrivedAt+0.5*inv.operation.LatencyTarget)))
}

// fromLine gives what the next free place should take, by billed value for unpressed time, or what lapsed.
func (g *Gateway) nextQueued(now float64) *Invocation {
	var free []*Host
	most := math.Floor(max(1, g.perHostLimit*float64(len(g.hosts))/g.liveGateways) + g.limitDither)
	if len(g.queue) > 0 && g.inFlight < most && g.instance.Overload.AllowsAttempt(now) {
		free = slices.DeleteFunc(slices.Clone(g.hosts), func(h *Host) bool { return !g.hasSlot(now, h) })
	}
	best, dear := (*Invocation)(nil), 0.0
	for _, inv := range g.queue {
		worth := inv.operation.Value / inv.operation.baseLatency
		if inv.clientRetry {
			worth /= 4
		} else if inv.customer.plan.MaxConcurrent > 0 { // it holds an open place that its customer lacks meanwhile
			worth *= 1.5
		}
		pressed := now-inv.arrivedAt > 0.2*inv.operation.LatencyTarget
		if best == nil || worth > dear*1.2 || pressed && worth > dear*0.8 {
			if h := g.pickHost(now, inv, free); h != nil {
				best, dear, inv.host = inv, worth, h
				continue
			}
		}
		if now >= g.queueDeadline(inv) {
			inv.host = nil
			return inv
		}
	}
	g.queue = slices.DeleteFunc(g.queue, func(x *Invocation) bool { return x == best })
	return best
}

func (g *Gateway) hasSlot(now float64, h *Host) bool {
	w, places := g.warmth(now, h), max(1, h.concurrencyLimit)
	if w < 1 {
		places = min(places, 1+3*w)
	}
	if !h.active || now < h.backoffUntil || w < 1 && g.growth(now, h) < h.nextSendGrowth {
		return false
	}
	placed := !h.ejected && float64(len(h.inFlight))+1 <= places
	return placed || h.doubtful() || h.ejected && now >= h.probeAt && len(h.inFlight) == 0
}

// doubtful: one delivery alone is silent, as its connection may be: one more, that may run again, will tell.
func (h *Host) doubtful() bool { return !h.ejected && len(h.inFlight) == 1 && h.suspicion > 2 }

func (g *Gateway) warmth(now float64, h *Host) float64 {
	if h.startedAt <= 0 {
		return 1
	}
	return min(1, max(0, (now-h.startedAt)/max(g.slowStart.Duration, 0.001)))
}

func (g *Gateway) growth(now float64, h *Host) float64 {
	return (now - h.startedAt) * (g.slowStart.InitialCapacity + (1-g.slowStart.InitialCapacity)*g.warmth(now, h)/2)
}

// coldGap is the cold budget: how much a host grows between deliveries from here; the first waits by chance.
func (g *Gateway) growthGap() float64 {
	return 0.5 * g.meanLatency * g.configuredGateways / min(1, g.slowStart.OverloadFactor/2)
}

func (g *Gateway) pickHost(now float64, inv *Invocation, free []*Host) *Host {
	best, least := (*Host)(nil), math.Inf(1)
	for _, h := range free {
		trial := h.ejected || h.doubtful() || g.instance.Overload.ProbesOnly()
		if !g.mayRunAt(now, inv, h) || trial && inv.operation.Effect == NonIdempotent {
			continue
		}
		slow := max(h.slowness, 1/max(0.01, g.slowStart.InitialCapacity+(1-g.slowStart.InitialCapacity)*g.warmth(now, h)))
		if slow != h.costSlowness {
			h.costSlowness, h.costFactor = slow, math.Pow(slow, 2-g.judgementShare)
		}
		cost, luck := h.costFactor*(1+0.5*float64(len(h.inFlight))), g.random.Next()
		if !h.ejected && cost*luck >= least { // what follows is never less: spares large fleets two powers a host
			continue
		}
		// Guards against all choosing the same host: the less one knows of hosts, the more it goes by chance.
		cost *= math.Pow(-math.Log(1-luck), 1-g.judgementShare)
		if h.answerGap == 0 { // guards against hosts that hold all the connections they take: stay where one is in
			cost *= 1 + 100*g.connectFailureRate
		}
		if h.zone != g.instance.Zone {
			cost += 0.05
		}
		if slices.ContainsFunc(inv.Attempts, func(d *Attempt) bool { return d.Host == h }) {
			cost += 10
		} else if h.ejected {
			cost = 0 // the sparing trial of a host set aside
		}
		if cost < least {
			best, least = h, cost
		}
	}
	return best
}

// repeatable holds the second rule: nothing may have run, or running again does no harm; mayGo for one host.
func (inv *Invocation) repeatable(now float64) bool {
	return inv.unprovenAttempt == nil || inv.operation.Effect == Idempotent ||
		inv.operation.Effect == Deduplicated && now < inv.unprovenAttempt.sentAt+inv.operation.DedupWindow
}

func (g *Gateway) mayRunAt(now float64, inv *Invocation, h *Host) bool {
	d, group := inv.unprovenAttempt, inv.operation.DedupScope
	return inv.inFlight == 0 && inv.repeatable(now) && (d == nil || inv.operation.Effect == Idempotent || group == "all" ||
		group == "zone" && h.zone == d.Host.zone || group == "cell" && h.cell == d.Host.cell)
}

func (g *Gateway) send(now float64, inv *Invocation, h *Host) Decision {
	inv.host, inv.stage = nil, stageSent
	d := &Attempt{Invocation: inv, Host: h, Number: len(inv.Attempts), sentAt: now, hostStartedAt: h.startedAt}
	g.instance.Overload.AttemptStarted(now, h.Addr, d.Number > 0)
	inv.Attempts = append(inv.Attempts, d)
	inv.inFlight, g.inFlight = inv.inFlight+1, g.inFlight+1
	g.limitDither, h.nextSendGrowth = g.random.Next(), g.growth(now, h)+g.growthGap()
	h.probeAt = now + g.instance.Overload.ProbeInterval(now, h.Addr, h.probeInterval)
	if inv.unprovenAttempt == nil {
		inv.unprovenAttempt = d
	}
	if len(h.inFlight) == 0 { // its silence begins now
		h.lastAnswerAt = now
	}
	h.inFlight = append(h.inFlight, d)
	a := Decision{Action: Send, Host: h}
	if inv.operation.LateValue == 0 && inv.operation.Effect != NonIdempotent {
		a.Timeout = max(inv.targetAt-now, inv.operation.baseLatency) // guards against silence that holds places for nothing
	}
	return a
}

// Goes looks once more at a delivery that waited for a connection, as it is let go. Guards against hosts that left
// or started anew meanwhile, repeats whose token's time is over, and against all that waited for a cold host going
// out together, however far apart they were chosen.
func (g *Gateway) ConfirmSend(now float64, d *Attempt) bool {
	h, grown, inv := d.Host, g.growth(now, d.Host), d.Invocation
	if !h.active || h.startedAt != d.hostStartedAt || inv.unprovenAttempt != d && !inv.repeatable(now) ||
		g.warmth(now, h) < 1 && grown < h.nextReleaseGrowth {
		return false
	}
	h.nextReleaseGrowth = grown + g.growthGap()/2
	return true
}

func (g *Gateway) mayRetry(now float64, inv *Invocation) bool {
	return len(inv.Attempts) < g.limits.MaxAttempts && now < min(inv.targetAt, inv.deadline)-inv.operation.meanLatency &&
		g.instance.Overload.AllowsRetry()
}

// ends is what an ending says of all hosts.
var ends = map[Outcome]overload.AttemptResult{
	Succeeded: overload.Answered, Failed: overload.Answered, Rejected: overload.Rejected,
	TimedOut: overload.Unanswered, Reset: overload.Unanswered, NoConnection: overload.ConnectFailed,
	Cancelled: overload.Inconclusive, NotSent: overload.Inconclusive,
}

func (g *Gateway) AttemptEnded(now float64, d *Attempt, e AttemptResult) Decision {
	inv := d.Invocation
	inv.inFlight, g.inFlight = inv.inFlight-1, g.inFlight-1
	d.Host.inFlight = slices.DeleteFunc(d.Host.inFlight, func(x *Attempt) bool { return x == d })
	if strings.ContainsRune("FCN", rune(e.Outcome)) && inv.unprovenAttempt == d { // proved not run
		inv.unprovenAttempt = nil
	}
	g.instance.Overload.AttemptEnded(now, d.Host.Addr, d.sentAt, ends[e.Outcome])
	g.observe(now, d, e)
	if c := inv.customer; g.counterConfig.SettlesUnits && e.Outcome == Succeeded && e.ActualUnits > 0 && inv.reserved && inv.quotaUnits > 0 {
		c.unreported, c.available = c.unreported+e.ActualUnits-inv.quotaUnits, c.available-e.ActualUnits+inv.quotaUnits // the rest rides with the next call
	}
	if inv.stage == stageFinished || e.Final {
		g.Abandon(now, inv)
		return Decision{}
	}
	if g.mayRetry(now, inv) && inv.repeatable(now) {
		g.enqueue(inv)
		return Decision{}
	}
	return g.finish(now, inv)
}

func (g *Gateway) UpdateHosts(now float64, list []HostEntry, whole bool) {
	for _, h := range g.hosts {
		h.active = h.active && !whole
	}
	size := 0.0
	for _, l := range list {
		size += l.Weight / float64(len(list))
	}
	for _, l := range list {
		h := g.hostsByAddr[l.Addr]
		if h == nil {
			h = &Host{Addr: l.Addr}
			g.hostsByAddr[l.Addr] = h
			g.hosts = append(g.hosts, h)
		}
		if h.concurrencyLimit == 0 || l.StartedAt != h.startedAt { // what was learned of an earlier life is forgotten
			h.concurrencyLimit, h.slowness, h.bestSlowness, h.answerGap, h.consecutiveFailures, h.ejected, h.backoffUntil = min(4, 12/g.liveGateways), 1, 1, 0, 0, false, 0
			if h.startedAt = l.StartedAt; l.Weight > 0 { // till it is known: by its size
				h.slowness, h.bestSlowness = size/l.Weight, size/l.Weight
			}
			h.nextSendGrowth, h.nextReleaseGrowth = g.growth(now, h)+g.random.Next()*g.growthGap(), 0
		}
		h.zone, h.cell, h.active = l.Zone, l.Cell, l.State == "active"
	}
	left := func(h *Host) bool { return !h.active && len(h.inFlight) == 0 } // it is forgotten
	g.hosts = slices.DeleteFunc(g.hosts, left)
	maps.DeleteFunc(g.hostsByAddr, func(_ string, h *Host) bool { return left(h) })
	slices.SortFunc(g.hosts, func(a, b *Host) int { return strings.Compare(a.Addr, b.Addr) })
	g.instance.Overload.SetFleet(g.liveGateways, len(g.hosts))
}

func (g *Gateway) observe(now float64, d *Attempt, e AttemptResult) {
	h, op := d.Host, d.Invocation.operation
	// One stuck, while others sent since are answered, tells nothing; nor does what all hosts have in common.
	if e.Outcome == TimedOut && (d.sentAt < h.lastAnswerAt || g.instance.Overload.ProbesOnly()) {
		return
	}
	if g.connectFailureRate *= 0.97; e.Outcome == NoConnection {
		g.connectFailureRate += 0.03
	}
	// Guards against all hosts pressed at once, which no host's few answers here would tell: fewer go out.
	if strings.ContainsRune("SF", rune(e.Outcome)) {
		if g.meanLatencyRatio += 0.1 * (e.Duration/op.LatencyTarget - g.meanLatencyRatio); g.meanLatencyRatio > 0.4 || e.Outcome == Rejected {
			g.perHostLimit = max(2.5, g.perHostLimit*0.9)
		} else {
			g.perHostLimit = min(32, g.perHostLimit+0.3)
		}
	}
	switch e.Outcome {
	case Succeeded:
		op.meanLatency, g.meanLatency = op.meanLatency+0.05*(e.Duration-op.meanLatency), g.meanLatency+0.05*(e.Duration-g.meanLatency)
		op.baseLatency = min(op.meanLatency, op.baseLatency*1.0001)
		h.slowness += 0.2 * (e.Duration/op.baseLatency - h.slowness)
		if h.answerGap == 0 {
			h.answerGap = op.meanLatency
		}
		h.answerGap += 0.1 * ((now-h.lastAnswerAt)*float64(len(h.inFlight)+1) - h.answerGap)
		h.lastAnswerAt, h.consecutiveFailures, h.probeInterval, h.suspicion = now, 0, 0, 0
		// Forgotten slowly: else a long press would teach that slow is normal, and places would creep up.
		if h.bestSlowness = min(h.slowness, h.bestSlowness*1.0005); h.slowness > 1.7*h.bestSlowness { // its queue has grown: work waits better here
			h.concurrencyLimit = max(1, h.concurrencyLimit*0.93)
		} else if h.slowness < 1.35*h.bestSlowness && float64(len(h.inFlight))+2 > h.concurrencyLimit {
			h.concurrencyLimit = min(32, h.concurrencyLimit+0.1)
		}
		if !g.instance.Overload.HostAnswered(h.Addr, d.sentAt, h.ejected) && (h.ejected || h.peerAsked) {
			h.peerAsked = false
			g.broadcast(now, "+"+h.Addr)
		}
		g.restore(h, fmt.Sprintf("answered in %.3f s", e.Duration))
	case TimedOut, Rejected, Failed, NoConnection, Reset: // time-outs in a row are silence too
		// Guards against hosts that end work fast and badly and so draw it all: each bad ending rests longer.
		h.consecutiveFailures++
		h.backoffUntil = max(h.backoffUntil, now+min(1, 0.02*math.Exp2(float64(h.consecutiveFailures))))
		if e.Outcome == TimedOut {
			h.slowness += 0.12 * (max(h.slowness, e.Duration/op.baseLatency) - h.slowness)
		}
		if h.concurrencyLimit = max(1, h.concurrencyLimit*0.75); h.consecutiveFailures >= 3 && e.Outcome != Rejected {
			g.eject(now, h, fmt.Sprintf("%d bad endings in a row", h.consecutiveFailures))
		}
	}
}

// watch judges each host by how unusual its silence is, given its gaps so far and its fellows' silence.
func (g *Gateway) judgeSilence(now float64) {
	var odd []float64
	for _, h := range g.hosts {
		old := func(d *Attempt) bool { return d.sentAt < h.lastAnswerAt && g.hasSlot(now, h) } // guards against one stuck
		mute := slices.DeleteFunc(slices.Clone(h.inFlight), old)
		if h.suspicion = 0; h.active && !h.ejected && len(mute) > 0 && h.answerGap > 0 {
			h.suspicion = (now - max(h.lastAnswerAt, mute[0].sentAt)) / h.answerGap * math.Pow(float64(len(mute)), 1.5) / 3
			odd = append(odd, h.suspicion)
		}
	}
	usual := 0.0 // a host alone at work has no fellows
	if slices.Sort(odd); len(odd) > 1 {
		usual = odd[(len(odd)-1)/2]
	}
	for _, h := range g.hosts {
		if h.suspicion > 12 && h.suspicion > 4*usual {
			g.eject(now, h, fmt.Sprintf("silent %.2f s, %.0f gaps, fellows %.1f", now-h.lastAnswerAt, h.suspicion, usual))
		} else if !h.ejected && (h.consecutiveFailures > 0 || h.suspicion > 2 && h.suspicion > 4*usual) && g.instance.Overload.EjectionConfirmed(now, h.Addr) {
			g.eject(now, h, fmt.Sprintf("%d bad endings, %.1f gaps, and peers say the same", h.consecutiveFailures, h.suspicion))
		} else if g.instance.Overload.TakeRecovery(now, h.Addr) {
			g.restore(h, "a peer had an answer")
		}
	}
}

func (g *Gateway) eject(now float64, h *Host, why string) {
	idle := slices.DeleteFunc(slices.Clone(g.hosts), func(x *Host) bool { return x.active && !x.ejected })
	h.probeInterval = min(8, max(1, 2*h.probeInterval))
	h.probeAt = now + g.instance.Overload.ProbeInterval(now, h.Addr, h.probeInterval)
	spoken := g.instance.Overload.HostEjected(now, h.Addr, h.ejected)
	if h.ejected || 2*(1+len(idle)) > len(g.hosts) {
		return
	}
	h.ejected = true
	g.output.Log("host " + h.Addr + " set aside: " + why)
	if !spoken {
		g.broadcast(now, "-"+h.Addr)
	}
	for _, d := range h.inFlight {
		if inv := d.Invocation; g.limits.CanCancel && inv.stage == stageSent && g.mayRetry(now, inv) &&
			inv.operation.Effect != NonIdempotent {
			g.output.CancelAttempt(d)
		}
	}
}

func (g *Gateway) broadcast(now float64, text string) {
	// Guards against peers drowning each other: few say the same, and all together half of what one takes in.
	if g.limits.PeerMessages && now >= g.peerMessageAt && g.random.Next() < g.judgementShare {
		g.peerMessageAt = now + 2*g.judgementShare*g.configuredGateways/max(1, g.limits.PeerMessageRate)
		g.output.SendPeer(allPeers, text)
	}
}

func (g *Gateway) restore(h *Host, why string) {
	if h.ejected {
		h.ejected, h.consecutiveFailures, h.concurrencyLimit, h.answerGap = false, 0, 1, 0
		g.output.Log("host " + h.Addr + " back: " + why)
	}
}

// Told brings a peer's message: "=plan customer" has no room, "-host" asks for word of it, "+host" answers.
func (g *Gateway) PeerMessage(now float64, from int, text string) {
	if g.instance.Peers.Receive(now, from, text) || g.instance.Overload.Receive(now, from, text) {
		g.RefreshMembership(now)
	} else if plan, key, ok := strings.Cut(strings.TrimPrefix(text, "="), " "); ok && g.plans[plan] != nil {
		g.overQuota(now, g.customer(now, Request{Plan: plan, Customer: key, GatewayCount: g.instance.Gateways}), 0.6)
		return
	}
	h := g.hostsByAddr[strings.TrimLeft(text, "+-")]
	if h != nil && text[0] == '-' {
		h.peerAsked = true
	} else if h != nil && text[0] == '+' && h.active && h.probeInterval <= 1 { // a second time: by trial alone
		g.restore(h, "a peer reports good answers")
	}
}
