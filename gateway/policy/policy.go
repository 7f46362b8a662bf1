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

type Delivery struct {
	Inv    *Invocation
	Host   *Host
	Number int
	sent   float64
	since  float64 // its host's start when it was chosen
}

// stage: to be counted, its counter call out, over the quota, in line, a delivery out, has its final answer.
type stage int

const fresh, asking, refused, waiting, sent, finished stage = 0, 1, 2, 3, 4, 5

type Invocation struct {
	Ref                   string
	Deliveries            []*Delivery
	op                    *operation
	cust                  *customer
	size, units, comeBack float64 // as it says, as the quota on the rate counts it; when to come back
	born, wanted, giveUp  float64 // it came, its latency objective ends, its client gives up
	stage                 stage
	repeat, charged       bool      // it is marked as a client's repeat; it holds units and an open place
	out                   int       // deliveries out
	mayRun                *Delivery // the first delivery not proved not run
	toHost                *Host     // chosen by Turn
}

func (inv *Invocation) Finished() bool { return inv.stage == finished && inv.out == 0 }

type Host struct {
	Addr, zone           string
	cell, fails          int  // fails: bad endings since the last good one
	listed, aside, asked bool // active in the list; set aside here; by a peer that asks for word of it
	out                  []*Delivery
	since, coldNext, let float64 // its last start; cold: nothing new, nothing let go before it has grown so far
	places, restAt       float64 // how many deliveries this instance may have out there; nothing new before
	slow, best           float64 // time of its answers over their operation's base; the least of it
	pace, odd            float64 // mean gap between good answers times deliveries out; how odd its silence is
	sign                 float64 // last good answer, or when it was given work after none
	trialAt, trialGap    float64 // set aside: next trial, and how far apart
	powOf, pow           float64 // what bestHost last raised to a power for it, and the result
}

type operation struct {
	Operation
	mean, base float64 // time of good answers: of late, unpressed
}

type customer struct {
	key                 string
	plan                *Plan
	window              int64
	name                uint64
	first, width, apart float64 // api gateways it comes in through; by how many its share was divided
	open, held, busy    float64 // open places, means: others' and its own in totals; its own here, at each try
	room, at, asking    float64 // units that may still be let in, as of at, less those of calls that are out
	owed, told          float64 // units to add with the next call, and when the last was
	out, standing       int     // open places held here, and of them on the counter
	asks                float64 // units asked for here of late, repeats left out
	mine, all, share    float64 // units let in of late: here, everywhere; its part of the quota without a call
	lent, lentAt        float64 // what may be let in without a call, as of then (0: a total came since)
	part, overAt        float64 // of its tries let in without a call, as of when a total last left no room
	seen, sawAt, excess float64 // units in the last total, when it was, others' in it beyond the room there was
	hard, hardAt        float64 // units under the hard ceiling, as of hardAt
}

type call struct {
	cust        *customer
	inv         *Invocation
	window      int64
	units, est  float64 // added, est of them the estimate
	open, stood int     // open places added, and held here on the counter with them
}

type Gateway struct {
	at               Standing
	counter          Counter
	cold             Cold
	allow            Allowed
	out              Out
	ops              map[string]*operation
	plans            map[string]*Plan
	hosts            []*Host // in the order of their addresses
	byAddr           map[string]*Host
	customers        map[string]*customer
	inOrder          []*customer
	names            map[uint64][]*call
	calls            overload.Calls // to the counter, that may be made
	chances          rng.Line
	tellAt, shut     float64 // no message to the peers before; share of deliveries of late with no connection
	ready, line      []*Invocation
	abroad, most     float64 // deliveries out; how many there may be a host, from all api gateways
	wait, mean, luck float64 // of late: answer times over objectives, answer times; a chance
	all, live, own   float64 // api gateways; by how many shares divide; part of a host one judges alone
}

func New(at Standing, ops []Operation, ps []Plan, ctr Counter, cold Cold, allow Allowed, out Out) *Gateway {
	all := max(1, float64(at.Gateways))
	g := &Gateway{
		at: at, counter: ctr, cold: cold, allow: allow, out: out, ops: map[string]*operation{},
		plans: map[string]*Plan{}, byAddr: map[string]*Host{}, customers: map[string]*customer{},
		names: map[uint64][]*call{}, calls: overload.NewCalls(ctr.Present, ctr.Limit),
		chances: rng.By("%d ", at.Seed), most: 12, wait: 0.2, all: all, live: all, own: min(1, 12/all),
	}
	for _, o := range ops {
		g.ops[o.Name] = &operation{Operation: o, mean: o.Objective / 5, base: o.Objective / 8}
		g.mean += o.Objective / 5 / float64(len(ops))
	}
	for _, p := range ps {
		g.plans[p.Name] = &p
	}
	return g
}

func (g *Gateway) Take(now float64, a Asked) *Invocation {
	op, given := g.ops[a.Operation], a.GiveUp-now
	if op == nil { // the start did not name it: the strictest kind, wanted by half of its time
		o := Operation{Name: a.Operation, Objective: given / 2, Value: 1, Effect: NonIdempotent}
		op = &operation{Operation: o, mean: given / 10, base: given / 16}
		g.ops[a.Operation] = op
	}
	inv := &Invocation{
		Ref: a.Ref, op: op, cust: g.customer(now, a), size: a.Units, born: now,
		wanted: now + op.Objective, giveUp: a.GiveUp, repeat: a.Repeat,
	}
	if inv.cust.plan.Rate > 0 {
		inv.units = a.Units
	}
	g.ready = append(g.ready, inv)
	if !a.Repeat {
		g.at.Damp.Wished(now)
	}
	return inv
}

func (g *Gateway) customer(now float64, a Asked) *customer {
	id := a.Plan + " " + a.Customer
	c := g.customers[id]
	if c == nil {
		plan := g.plans[a.Plan]
		if plan == nil { // a plan that the start did not name promises nothing and limits nothing
			plan = &Plan{Name: a.Plan}
			g.plans[a.Plan] = plan
			g.out.Log("a plan is unknown: no quota for " + a.Plan)
		}
		c = &customer{key: id, plan: plan, window: math.MinInt64, at: now, hardAt: now, part: 1, overAt: now - 60}
		g.customers[id] = c
		g.inOrder = append(g.inOrder, c)
	}
	c.first, c.width = float64(a.First), max(1, float64(a.Width))
	return c
}

func (g *Gateway) Turn(now float64) *Invocation {
	if len(g.ready) == 0 {
		return g.fromLine(now)
	}
	inv := g.ready[0]
	g.ready = g.ready[1:]
	return inv
}

func (g *Gateway) Where(now float64, inv *Invocation) Answer {
	switch {
	case inv.stage == fresh:
		return g.admit(now, inv)
	case inv.stage == waiting && inv.toHost != nil:
		return g.send(now, inv, inv.toHost)
	case inv.stage == refused, inv.stage == waiting && now >= g.lapse(inv):
		return g.end(now, inv)
	}
	return Answer{}
}

func (g *Gateway) Wait(now float64) float64 {
	next := 0.25
	for _, inv := range g.line {
		next = min(next, g.lapse(inv)-now)
	}
	if len(g.line) > 0 || g.abroad > 0 {
		next = min(next, 0.05)
	}
	return max(min(next, g.at.Damp.Wait(now)), 0.001)
}

// Meet keeps up who of the api gateways is there: what all do is divided by that, but for the rules.
func (g *Gateway) Meet(now float64) {
	g.at.Peers.Act(now, g.out.Tell, g.out.Log)
	g.live = g.at.Peers.Apart(now, 0, int(g.all))
	g.own = min(1, 12/g.live)
	g.at.Damp.Stand(g.live, len(g.hosts))
}

func (g *Gateway) Meets(now float64) float64 { return g.at.Peers.Wait(now) }

func (g *Gateway) Tick(now float64) {
	g.watch(now)
	g.at.Damp.Look(now)
	g.at.Damp.Act(now, g.out.Tell, g.out.Log)
	g.inOrder = slices.DeleteFunc(g.inOrder, func(c *customer) bool {
		much := math.Abs(c.owed) > c.plan.Burst/4 || c.standing > c.out // the others should hear
		if much && c.plan.limited() && now-c.told > 0.25 && g.calls.May(now, 1) {
			g.roll(now, c)
			g.tell(now, c, nil)
		}
		quiet := c.quiet(now)
		if quiet {
			delete(g.customers, c.key)
		}
		return quiet
	})
}

// quiet: to forget it changes no decision. Guards against memory that grows with all who ever came.
func (c *customer) quiet(now float64) bool {
	idle, rate := now-c.at, c.plan.Rate // a ceiling starts empty, and so is remembered for longer
	return c.out == 0 && c.standing == 0 && c.asking == 0 && c.room+rate*idle >= c.plan.Burst &&
		c.partNow(now) == 1 && idle > c.plan.windowLength() && (idle > 60 || c.plan.CeilingRate == 0)
}

// end gives the final answer. A throttling needs proof that nothing ran, or an operation that may run again.
func (g *Gateway) end(now float64, inv *Invocation) Answer {
	op, repeatable := inv.op, inv.repeatable(now)
	g.Gone(now, inv)
	if !repeatable || inv.mayRun != nil && op.Effect == Tokened && op.Group != "all" {
		return Answer{Do: GiveUp}
	}
	return Answer{Do: Throttle, RetryAfter: max(inv.comeBack, inv.op.mean/2)}
}

func (g *Gateway) Gone(now float64, inv *Invocation) {
	g.line = slices.DeleteFunc(g.line, func(x *Invocation) bool { return x == inv })
	if inv.stage = finished; inv.out == 0 {
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
func (p *Plan) pack() float64 {
	return math.Pow(10, math.Ceil(math.Log10(max(1000, 4*(p.Burst+p.Rate*p.windowLength())))))
}

func (p *Plan) limited() bool { return p.Rate > 0 || p.MaxOut > 0 }

// roll brings a customer's room up to now and, at a window's edge, to the new name. Room is what the
// last total leaves. What passes one burst is lost once a total has come: an edge carries over one at most.
func (g *Gateway) roll(now float64, c *customer) {
	p := c.plan
	c.room += p.Rate * (now - c.at)
	if w := int64(math.Floor(now / p.windowLength())); w != c.window {
		if c.window == math.MinInt64 { // no total seen: the whole burst counts as unused
			c.room = p.Burst + (1-g.own)*p.Rate*math.Mod(now, p.windowLength())
		}
		c.window, c.seen, c.standing, c.excess = w, 0, 0, 0
		f := fnv.New64a()
		fmt.Fprintf(f, "%s %d", c.key, w)
		c.name = f.Sum64() >> 1
	}
	fade := math.Exp(-(now - c.at) / 8)
	c.mine, c.all, c.asks, c.at = c.mine*fade, c.all*fade, c.asks*fade, now
}

func (g *Gateway) admit(now float64, inv *Invocation) Answer {
	c, p := inv.cust, inv.cust.plan
	if now >= inv.giveUp-0.7*inv.op.mean || !g.underCeiling(now, inv) { // too late for any answer, or too much
		return g.end(now, inv)
	}
	if g.roll(now, c); !p.limited() {
		g.join(inv)
		return Answer{}
	}
	c.busy += 0.1 * (float64(c.out) - c.busy)
	if !inv.repeat {
		c.asks += inv.units
	}
	recent, full := now-c.sawAt < 0.07 || g.calls.Crowded && now-c.sawAt < 1, p.MaxOut > 0 && c.out >= p.MaxOut
	if short := inv.units - c.room; short > 0 && recent || full { // by a total just seen, or by what is out here
		inv.comeBack = max(inv.op.mean, short/max(p.Rate, 0.001))
		return g.end(now, inv)
	}
	inv.charged, c.out, c.room = true, c.out+1, c.room-inv.units
	if !g.calls.May(now, 1) || inv.giveUp-now < g.counter.Limit+0.01 {
		g.bridge(now, inv)
	} else {
		inv.stage = asking
		g.tell(now, c, inv)
	}
	return Answer{}
}

func (g *Gateway) tell(now float64, c *customer, inv *Invocation) {
	k := &call{cust: c, window: c.window, inv: inv}
	if inv != nil {
		k.est = inv.units
	}
	k.units, c.asking = c.owed+k.est, c.asking+k.est
	amount := k.units
	if c.plan.MaxOut > 0 {
		k.open = c.out - c.standing
		amount += float64(k.open) * c.plan.pack()
	}
	g.calls.Room, c.owed, c.told = g.calls.Room-1, 0, now
	c.standing, k.stood = c.standing+k.open, c.standing+k.open
	g.names[c.name] = append(g.names[c.name], k)
	g.out.Count(c.name, amount, min(60, 2.2*c.plan.windowLength()))
}

func (g *Gateway) Counted(now float64, name uint64, how Outcome, sum, took float64) {
	q := g.names[name]
	if len(q) == 0 {
		return
	}
	k := q[0]
	if g.names[name] = q[1:]; len(q) == 1 {
		delete(g.names, name)
	}
	c, inv := k.cust, k.inv
	g.roll(now, c)
	if g.calls.Ended(now, g.live, how == Succeeded, strings.ContainsRune("FTC", rune(how)), took) {
		g.out.Log(fmt.Sprintf("counter: last %c in %.3f s, at most %.1f calls a second", how, took, g.calls.Rate))
	}
	if c.asking -= k.est; how != Succeeded {
		g.missed(now, k, how)
		return
	}
	if c.lentAt = 0; k.window == c.window {
		g.read(now, k, sum)
	}
	if inv == nil || inv.stage != asking {
		return
	} else if inv.comeBack == 0 {
		g.join(inv)
	} else { // over: the estimate is taken off again, at once
		g.tellPeers(now, "="+c.key)
		g.over(now, c, 0.5)
		g.refuse(now, inv)
	}
}

func (g *Gateway) refuse(now float64, inv *Invocation) {
	g.release(now, inv)
	inv.stage = refused
	g.ready = append(g.ready, inv)
}

func (g *Gateway) read(now float64, k *call, sum float64) {
	c, p, units, open := k.cust, k.cust.plan, sum, 0.0
	if p.MaxOut > 0 {
		units, open = math.Remainder(sum, p.pack()), math.Round(sum/p.pack())
	}
	others := units - k.units - c.seen
	if others < -(4*g.counter.Most + p.Burst/4) {
		// Guards against a forgotten count: no take-offs explain so low a total. What was used stays used.
		g.out.Log(fmt.Sprintf("a count was forgotten: %.0f after %.0f", units-k.units, c.seen))
		others = max(0, units-k.units)
	}
	blind := now - c.sawAt
	if age := math.Mod(now, p.windowLength()); p.Rate > 0 && others > 0 && blind > age {
		if use := others / max(1, age); c.sawAt == 0 { // none of this window yet: used before it as in it
			others += (1 - g.own) * p.Burst * min(1, max(0, 2*use/p.Rate-1))
		} else {
			others += (1 - g.own) * use * (blind - age)
		}
	}
	usual := max((c.all-c.mine)/8*blind, max(0, others)*blind/(blind+4))
	held := c.asking
	if k.inv != nil && k.inv.stage == asking {
		held += k.inv.units
	}
	back := min(c.excess, max(0, -others))
	c.room = min(p.Burst-held, min(c.room, p.Burst-held+usual)-others-back)
	// What others added beyond the room took nothing: it is no debt, nor room when it is taken off.
	if c.excess -= back; !g.counter.Settles { // settlements may take it below
		c.room, c.excess = max(c.room, -held), c.excess+max(0, -held-c.room)
	}
	c.all += max(0, others)
	c.seen, c.sawAt = units, now
	if k.inv == nil {
		return
	}
	c.open += 0.1 * (max(0, open-float64(k.stood)) - c.open)
	c.held += 0.1 * (max(0, float64(k.stood)-1) - c.held)
	if short := -(c.room + c.asking); p.Rate > 0 && short > 0 {
		k.inv.comeBack = short / p.Rate
	} else if p.MaxOut > 0 && open > float64(p.MaxOut) {
		k.inv.comeBack = k.inv.op.mean
	}
}

func (c *customer) partNow(now float64) float64 { return min(1, c.part*math.Exp(0.05*(now-c.overAt))) }

func (g *Gateway) over(now float64, c *customer, cut float64) {
	if now-c.overAt > 1 {
		c.part, c.overAt = cut*c.partNow(now), now
	}
}

// missed handles a call without a total, as if nothing was added: in doubt a count is too high, not too low.
func (g *Gateway) missed(now float64, k *call, how Outcome) {
	bridged := k.inv != nil && k.inv.stage == asking
	if how != Failed {
		k.cust.owed += k.units - k.est
		if k.window == k.cust.window && how != TimedOut { // late, most often: added twice, a place would be lost
			k.cust.standing -= k.open
		}
	} else if bridged { // answered by what can't be read: added all the same, and bridge would add it again
		k.cust.owed -= k.est
	}
	if bridged {
		g.bridge(now, k.inv)
	}
}

// Lost: a late call of so much will never be answered. Its open places were taken for added; now for not.
func (g *Gateway) Lost(name uint64, amount float64) {
	i := slices.IndexFunc(g.inOrder, func(c *customer) bool { return c.name == name && c.plan.MaxOut > 0 })
	if i >= 0 { // guards against places that stay in a total until its window ends
		g.inOrder[i].standing -= int(math.Round(amount / g.inOrder[i].plan.pack()))
	}
}

// bridge decides without a call, by this instance's share of the quota; the counter is told later. Where it
// sees little of a customer, it lends to one far from its quota, and lets in a part of the tries (see over).
func (g *Gateway) bridge(now float64, inv *Invocation) {
	c, p := inv.cust, inv.cust.plan
	width := g.at.Peers.Apart(now, int(c.first), int(c.width))
	if c.lentAt == 0 {
		prior := max(1, p.Burst/2)
		c.share = max(0.5/width, (c.mine+prior/width)/(c.all+prior))
		// Guards against throttling those far from their quota, as most are, whose traffic comes in unevenly:
		// no total has said that it is near its quota, nor does what is asked for here alone.
		if c.partNow(now) == 1 && c.asks < 8*0.3*p.Rate {
			c.share = min(1, c.share*(2-g.own))
		}
		room := max(0, min(p.Burst, c.room+inv.units))
		if c.lent, c.lentAt, c.apart = c.share*room, now, width; room > p.Burst/2 && !inv.repeat {
			c.lent = max(c.lent, min(room, inv.units)) // far from its quota, as most are
		}
	}
	share := min(1, c.share*c.apart/width) // as it was, and by who has gone or come back since
	c.lent, c.lentAt = min(c.lent+share*p.Rate*(now-c.lentAt), max(c.lent, share*p.Burst, inv.units)), now
	others := c.busy * (c.open + 0.1*(width-1)) / (c.held + 0.1) // of both a total holds the same part
	if g.own < 1 && g.chances.Next() > c.partNow(now) {
		inv.comeBack = 0.5
	} else if inv.units > c.lent {
		inv.comeBack = (inv.units - c.lent) / (share * p.Rate)
	} else if p.MaxOut > 0 && float64(c.out)+math.Round(others) > float64(p.MaxOut) {
		inv.comeBack = inv.op.mean
	}
	if c.owed += inv.units; inv.comeBack > 0 {
		g.refuse(now, inv)
		return
	}
	c.lent -= inv.units
	g.join(inv)
}

func (g *Gateway) release(now float64, inv *Invocation) {
	if !inv.charged {
		return
	}
	c := inv.cust
	inv.charged, c.out = false, c.out-1
	if g.roll(now, c); inv.mayRun == nil {
		c.owed, c.room = c.owed-inv.units, c.room+inv.units
	}
	// Guards against places given back that stay counted, and so refuse others: told first, by a call lent.
	least := 1 - g.calls.Rate/8*float64(min(1, max(0, c.standing-c.out)))
	if (inv.mayRun == nil && c.owed < 0 || c.standing > c.out) && g.calls.May(now, least) {
		g.tell(now, c, nil)
	}
}

// underCeiling holds a hard ceiling by this instance's part, empty at first: restarts grant nothing twice.
func (g *Gateway) underCeiling(now float64, inv *Invocation) bool {
	c, p := inv.cust, inv.cust.plan
	c.hard, c.hardAt = min(c.hard+p.CeilingRate/c.width*(now-c.hardAt), p.CeilingBurst/c.width), now
	if p.CeilingRate > 0 && inv.size > c.hard {
		inv.comeBack = (inv.size - c.hard) * c.width / p.CeilingRate
		return false
	}
	c.hard -= inv.size
	return true
}

func (g *Gateway) join(inv *Invocation) {
	if c := inv.cust; inv.stage < waiting {
		c.mine, c.all = c.mine+inv.units, c.all+inv.units
	}
	inv.stage, inv.toHost = waiting, nil
	g.line = append(g.line, inv)
}

// lapse is when an invocation in line is given up, early, so that its client's next try may still be in time.
func (g *Gateway) lapse(inv *Invocation) float64 {
	return min(inv.giveUp-0.7*inv.op.mean,
		max(inv.born, min(inv.wanted-1.3*inv.op.mean, inv.born+0.5*inv.op.Objective)))
}

// fromLine gives what the next free place should take, by billed value for unpressed time, or what lapsed.
func (g *Gateway) fromLine(now float64) *Invocation {
	var free []*Host
	most := math.Floor(max(1, g.most*float64(len(g.hosts))/g.live) + g.luck)
	if len(g.line) > 0 && g.abroad < most && g.at.Damp.Open(now) {
		free = slices.DeleteFunc(slices.Clone(g.hosts), func(h *Host) bool { return !g.free(now, h) })
	}
	best, dear := (*Invocation)(nil), 0.0
	for _, inv := range g.line {
		worth := inv.op.Value / inv.op.base
		if inv.repeat {
			worth /= 4
		} else if inv.cust.plan.MaxOut > 0 { // it holds an open place that its customer lacks meanwhile
			worth *= 1.5
		}
		pressed := now-inv.born > 0.2*inv.op.Objective
		if best == nil || worth > dear*1.2 || pressed && worth > dear*0.8 {
			if h := g.bestHost(now, inv, free); h != nil {
				best, dear, inv.toHost = inv, worth, h
				continue
			}
		}
		if now >= g.lapse(inv) {
			inv.toHost = nil
			return inv
		}
	}
	g.line = slices.DeleteFunc(g.line, func(x *Invocation) bool { return x == best })
	return best
}

func (g *Gateway) free(now float64, h *Host) bool {
	w, places := g.warmth(now, h), max(1, h.places)
	if w < 1 {
		places = min(places, 1+3*w)
	}
	if !h.listed || now < h.restAt || w < 1 && g.grown(now, h) < h.coldNext {
		return false
	}
	placed := !h.aside && float64(len(h.out))+1 <= places
	return placed || h.doubtful() || h.aside && now >= h.trialAt && len(h.out) == 0
}

// doubtful: one delivery alone is silent, as its connection may be: one more, that may run again, will tell.
func (h *Host) doubtful() bool { return !h.aside && len(h.out) == 1 && h.odd > 2 }

func (g *Gateway) warmth(now float64, h *Host) float64 {
	if h.since <= 0 {
		return 1
	}
	return min(1, max(0, (now-h.since)/max(g.cold.Warm, 0.001)))
}

func (g *Gateway) grown(now float64, h *Host) float64 {
	return (now - h.since) * (g.cold.Share + (1-g.cold.Share)*g.warmth(now, h)/2)
}

// coldGap is the cold budget: how much a host grows between deliveries from here; the first waits by chance.
func (g *Gateway) coldGap() float64 {
	return 0.5 * g.mean * g.all / min(1, g.cold.Factor/2)
}

func (g *Gateway) bestHost(now float64, inv *Invocation, free []*Host) *Host {
	best, least := (*Host)(nil), math.Inf(1)
	for _, h := range free {
		trial := h.aside || h.doubtful() || g.at.Damp.Sparing()
		if !g.mayGo(now, inv, h) || trial && inv.op.Effect == NonIdempotent {
			continue
		}
		slow := max(h.slow, 1/max(0.01, g.cold.Share+(1-g.cold.Share)*g.warmth(now, h)))
		if slow != h.powOf {
			h.powOf, h.pow = slow, math.Pow(slow, 2-g.own)
		}
		cost, luck := h.pow*(1+0.5*float64(len(h.out))), g.chances.Next()
		if !h.aside && cost*luck >= least { // what follows is never less: spares large fleets two powers a host
			continue
		}
		// Guards against all choosing the same host: the less one knows of hosts, the more it goes by chance.
		cost *= math.Pow(-math.Log(1-luck), 1-g.own)
		if h.pace == 0 { // guards against hosts that hold all the connections they take: stay where one is in
			cost *= 1 + 100*g.shut
		}
		if h.zone != g.at.Zone {
			cost += 0.05
		}
		if slices.ContainsFunc(inv.Deliveries, func(d *Delivery) bool { return d.Host == h }) {
			cost += 10
		} else if h.aside {
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
	return inv.mayRun == nil || inv.op.Effect == Idempotent ||
		inv.op.Effect == Tokened && now < inv.mayRun.sent+inv.op.TokenTime
}

func (g *Gateway) mayGo(now float64, inv *Invocation, h *Host) bool {
	d, group := inv.mayRun, inv.op.Group
	return inv.out == 0 && inv.repeatable(now) && (d == nil || inv.op.Effect == Idempotent || group == "all" ||
		group == "zone" && h.zone == d.Host.zone || group == "cell" && h.cell == d.Host.cell)
}

func (g *Gateway) send(now float64, inv *Invocation, h *Host) Answer {
	inv.toHost, inv.stage = nil, sent
	d := &Delivery{Inv: inv, Host: h, Number: len(inv.Deliveries), sent: now, since: h.since}
	g.at.Damp.Sent(now, h.Addr, d.Number > 0)
	inv.Deliveries = append(inv.Deliveries, d)
	inv.out, g.abroad = inv.out+1, g.abroad+1
	g.luck, h.coldNext = g.chances.Next(), g.grown(now, h)+g.coldGap()
	h.trialAt = now + g.at.Damp.Trial(now, h.Addr, h.trialGap)
	if inv.mayRun == nil {
		inv.mayRun = d
	}
	if len(h.out) == 0 { // its silence begins now
		h.sign = now
	}
	h.out = append(h.out, d)
	a := Answer{Do: Send, Host: h}
	if inv.op.Late == 0 && inv.op.Effect != NonIdempotent {
		a.Within = max(inv.wanted-now, inv.op.base) // guards against silence that holds places for nothing
	}
	return a
}

// Goes looks once more at a delivery that waited for a connection, as it is let go. Guards against hosts that left
// or started anew meanwhile, repeats whose token's time is over, and against all that waited for a cold host going
// out together, however far apart they were chosen.
func (g *Gateway) Goes(now float64, d *Delivery) bool {
	h, grown, inv := d.Host, g.grown(now, d.Host), d.Inv
	if !h.listed || h.since != d.since || inv.mayRun != d && !inv.repeatable(now) ||
		g.warmth(now, h) < 1 && grown < h.let {
		return false
	}
	h.let = grown + g.coldGap()/2
	return true
}

func (g *Gateway) another(now float64, inv *Invocation) bool {
	return len(inv.Deliveries) < g.allow.Deliveries && now < min(inv.wanted, inv.giveUp)-inv.op.mean &&
		g.at.Damp.Further()
}

// ends is what an ending says of all hosts.
var ends = map[Outcome]overload.How{
	Succeeded: overload.Answered, Failed: overload.Answered, TurnedAway: overload.Refused,
	TimedOut: overload.Unanswered, Reset: overload.Unanswered, NoConnection: overload.Unconnected,
	Withdrawn: overload.Nothing, NotSent: overload.Nothing,
}

func (g *Gateway) After(now float64, d *Delivery, e Ended) Answer {
	inv := d.Inv
	inv.out, g.abroad = inv.out-1, g.abroad-1
	d.Host.out = slices.DeleteFunc(d.Host.out, func(x *Delivery) bool { return x == d })
	if strings.ContainsRune("FCN", rune(e.How)) && inv.mayRun == d { // proved not run
		inv.mayRun = nil
	}
	g.at.Damp.Ended(now, d.Host.Addr, d.sent, ends[e.How])
	g.learn(now, d, e)
	if c := inv.cust; g.counter.Settles && e.How == Succeeded && e.Units > 0 && inv.charged && inv.units > 0 {
		c.owed, c.room = c.owed+e.Units-inv.units, c.room-e.Units+inv.units // the rest rides with the next call
	}
	if inv.stage == finished || e.Over {
		g.Gone(now, inv)
		return Answer{}
	}
	if g.another(now, inv) && inv.repeatable(now) {
		g.join(inv)
		return Answer{}
	}
	return g.end(now, inv)
}

func (g *Gateway) Hosts(now float64, list []Listed, whole bool) {
	for _, h := range g.hosts {
		h.listed = h.listed && !whole
	}
	size := 0.0
	for _, l := range list {
		size += l.Weight / float64(len(list))
	}
	for _, l := range list {
		h := g.byAddr[l.Addr]
		if h == nil {
			h = &Host{Addr: l.Addr}
			g.byAddr[l.Addr] = h
			g.hosts = append(g.hosts, h)
		}
		if h.places == 0 || l.Since != h.since { // what was learned of an earlier life is forgotten
			h.places, h.slow, h.best, h.pace, h.fails, h.aside, h.restAt = min(4, 12/g.live), 1, 1, 0, 0, false, 0
			if h.since = l.Since; l.Weight > 0 { // till it is known: by its size
				h.slow, h.best = size/l.Weight, size/l.Weight
			}
			h.coldNext, h.let = g.grown(now, h)+g.chances.Next()*g.coldGap(), 0
		}
		h.zone, h.cell, h.listed = l.Zone, l.Cell, l.State == "active"
	}
	left := func(h *Host) bool { return !h.listed && len(h.out) == 0 } // it is forgotten
	g.hosts = slices.DeleteFunc(g.hosts, left)
	maps.DeleteFunc(g.byAddr, func(_ string, h *Host) bool { return left(h) })
	slices.SortFunc(g.hosts, func(a, b *Host) int { return strings.Compare(a.Addr, b.Addr) })
	g.at.Damp.Stand(g.live, len(g.hosts))
}

func (g *Gateway) learn(now float64, d *Delivery, e Ended) {
	h, op := d.Host, d.Inv.op
	// One stuck, while others sent since are answered, tells nothing; nor does what all hosts have in common.
	if e.How == TimedOut && (d.sent < h.sign || g.at.Damp.Sparing()) {
		return
	}
	if g.shut *= 0.97; e.How == NoConnection {
		g.shut += 0.03
	}
	// Guards against all hosts pressed at once, which no host's few answers here would tell: fewer go out.
	if strings.ContainsRune("SF", rune(e.How)) {
		if g.wait += 0.1 * (e.Took/op.Objective - g.wait); g.wait > 0.4 || e.How == TurnedAway {
			g.most = max(2.5, g.most*0.9)
		} else {
			g.most = min(32, g.most+0.3)
		}
	}
	switch e.How {
	case Succeeded:
		op.mean, g.mean = op.mean+0.05*(e.Took-op.mean), g.mean+0.05*(e.Took-g.mean)
		op.base = min(op.mean, op.base*1.0001)
		h.slow += 0.2 * (e.Took/op.base - h.slow)
		if h.pace == 0 {
			h.pace = op.mean
		}
		h.pace += 0.1 * ((now-h.sign)*float64(len(h.out)+1) - h.pace)
		h.sign, h.fails, h.trialGap, h.odd = now, 0, 0, 0
		// Forgotten slowly: else a long press would teach that slow is normal, and places would creep up.
		if h.best = min(h.slow, h.best*1.0005); h.slow > 1.7*h.best { // its queue has grown: work waits better here
			h.places = max(1, h.places*0.93)
		} else if h.slow < 1.35*h.best && float64(len(h.out))+2 > h.places {
			h.places = min(32, h.places+0.1)
		}
		if !g.at.Damp.Answers(h.Addr, d.sent, h.aside) && (h.aside || h.asked) {
			h.asked = false
			g.tellPeers(now, "+"+h.Addr)
		}
		g.comeBack(h, fmt.Sprintf("answered in %.3f s", e.Took))
	case TimedOut, TurnedAway, Failed, NoConnection, Reset: // time-outs in a row are silence too
		// Guards against hosts that end work fast and badly and so draw it all: each bad ending rests longer.
		h.fails++
		h.restAt = max(h.restAt, now+min(1, 0.02*math.Exp2(float64(h.fails))))
		if e.How == TimedOut {
			h.slow += 0.12 * (max(h.slow, e.Took/op.base) - h.slow)
		}
		if h.places = max(1, h.places*0.75); h.fails >= 3 && e.How != TurnedAway {
			g.setAside(now, h, fmt.Sprintf("%d bad endings in a row", h.fails))
		}
	}
}

// watch judges each host by how unusual its silence is, given its gaps so far and its fellows' silence.
func (g *Gateway) watch(now float64) {
	var odd []float64
	for _, h := range g.hosts {
		old := func(d *Delivery) bool { return d.sent < h.sign && g.free(now, h) } // guards against one stuck
		mute := slices.DeleteFunc(slices.Clone(h.out), old)
		if h.odd = 0; h.listed && !h.aside && len(mute) > 0 && h.pace > 0 {
			h.odd = (now - max(h.sign, mute[0].sent)) / h.pace * math.Pow(float64(len(mute)), 1.5) / 3
			odd = append(odd, h.odd)
		}
	}
	usual := 0.0 // a host alone at work has no fellows
	if slices.Sort(odd); len(odd) > 1 {
		usual = odd[(len(odd)-1)/2]
	}
	for _, h := range g.hosts {
		if h.odd > 12 && h.odd > 4*usual {
			g.setAside(now, h, fmt.Sprintf("silent %.2f s, %.0f gaps, fellows %.1f", now-h.sign, h.odd, usual))
		} else if !h.aside && (h.fails > 0 || h.odd > 2 && h.odd > 4*usual) && g.at.Damp.Agreed(now, h.Addr) {
			g.setAside(now, h, fmt.Sprintf("%d bad endings, %.1f gaps, and peers say the same", h.fails, h.odd))
		} else if g.at.Damp.Believed(now, h.Addr) {
			g.comeBack(h, "a peer had an answer")
		}
	}
}

func (g *Gateway) setAside(now float64, h *Host, why string) {
	idle := slices.DeleteFunc(slices.Clone(g.hosts), func(x *Host) bool { return x.listed && !x.aside })
	h.trialGap = min(8, max(1, 2*h.trialGap))
	h.trialAt = now + g.at.Damp.Trial(now, h.Addr, h.trialGap)
	spoken := g.at.Damp.Aside(now, h.Addr, h.aside)
	if h.aside || 2*(1+len(idle)) > len(g.hosts) {
		return
	}
	h.aside = true
	g.out.Log("host " + h.Addr + " set aside: " + why)
	if !spoken {
		g.tellPeers(now, "-"+h.Addr)
	}
	for _, d := range h.out {
		if inv := d.Inv; g.allow.Cancel && inv.stage == sent && g.another(now, inv) &&
			inv.op.Effect != NonIdempotent {
			g.out.Cancel(d)
		}
	}
}

func (g *Gateway) tellPeers(now float64, text string) {
	// Guards against peers drowning each other: few say the same, and all together half of what one takes in.
	if g.allow.Peers && now >= g.tellAt && g.chances.Next() < g.own {
		g.tellAt = now + 2*g.own*g.all/max(1, g.allow.Mail)
		g.out.Tell(toAll, text)
	}
}

func (g *Gateway) comeBack(h *Host, why string) {
	if h.aside {
		h.aside, h.fails, h.places, h.pace = false, 0, 1, 0
		g.out.Log("host " + h.Addr + " back: " + why)
	}
}

// Told brings a peer's message: "=plan customer" has no room, "-host" asks for word of it, "+host" answers.
func (g *Gateway) Told(now float64, from int, text string) {
	if g.at.Peers.Heard(now, from, text) || g.at.Damp.Heard(now, from, text) {
		g.Meet(now)
	} else if plan, key, ok := strings.Cut(strings.TrimPrefix(text, "="), " "); ok && g.plans[plan] != nil {
		g.over(now, g.customer(now, Asked{Plan: plan, Customer: key, Width: g.at.Gateways}), 0.6)
		return
	}
	h := g.byAddr[strings.TrimLeft(text, "+-")]
	if h != nil && text[0] == '-' {
		h.asked = true
	} else if h != nil && text[0] == '+' && h.listed && h.trialGap <= 1 { // a second time: by trial alone
		g.comeBack(h, "a peer reports good answers")
	}
}
