// Package choice decides everything an api gateway decides; values.go holds the plain types of its interface.
//
// How to call it. New makes an instance; the notices Hosts, Counted, Told, Gone and Tick tell it what was
// seen; Take brings an invocation in. Three calls decide: while Turn names an invocation, Where says where to
// send it (or not yet, or never); After says what to do once a delivery has ended; Wait says how long until
// the next Tick. Counter calls, cancels, messages and log lines leave through Out.
//
// The design decides the ordinary path: the estimate is added to the customer's count, the invocation is
// throttled if the total passes the limit (the estimate taken off again), and the true cost is settled.
// Beside it stand six mechanisms:
//  1. ledger: what this instance owes the counter; a silent or forgetful counter is bridged by its share
//  2. open cap: deliveries out at once ride in the same count as the units
//  3. line and places: work waits here, a host gets the next piece when one of its places is free
//  4. health by silence: a host is set aside for unusual silence; back by peers' word, else a sparing trial
//  5. cold budget: this instance's part of what a host that has just started may be sent
//  6. further deliveries: by effect, time left and spare places
package choice

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"math"
	"slices"
	"strings"
)

// Delivery is one try at sending an invocation on.
type Delivery struct {
	Inv    *Invocation
	Host   *Host
	Number int
	lost   bool // silent for too long
	sent   float64
}

// stage is how far an invocation has come.
type stage int

const (
	fresh    stage = iota // to be counted
	asking                // its counter call is out
	refused               // over the quota
	waiting               // in line
	sent                  // a delivery is out
	finished              // it has its final answer
)

// Invocation is what a client sent, from Take to its final answer and the end of its deliveries.
type Invocation struct {
	Ref                  string
	Deliveries           []*Delivery
	op                   *operation
	cust                 *customer
	size, units          float64 // as it says, and as the quota on the rate counts it
	born, wanted, giveUp float64 // it came, its latency objective ends, its client gives up
	comeBack             float64
	stage                stage
	repeat, charged      bool      // it is marked as a client's repeat; it holds units and an open place
	out                  int       // deliveries out
	mayRun               *Delivery // the first delivery not proved not run
	toHost               *Host     // chosen by Turn
}

// Finished says that the invocation is answered and nothing of it is out.
func (inv *Invocation) Finished() bool { return inv.stage == finished && inv.out == 0 }

// Host is one server of the back end.
type Host struct {
	Addr, zone           string
	cell, fails          int  // fails: bad endings since the last good one
	listed, aside, asked bool // active in the list; set aside here; by a peer that asks for word of it
	out                  []*Delivery
	since, coldNext      float64 // its last start; while cold nothing new before it has grown so far
	places               float64 // how many deliveries this instance may have out there
	slow, best           float64 // time of its answers over their operation's base; the least of it
	pace, odd            float64 // mean gap between good answers times deliveries out; how odd its silence is
	sign                 float64 // last good answer, or when it was given work after none
	trialAt, trialGap    float64 // set aside: next trial, and how far apart
	restAt               float64 // nothing new before
	held, heldAt         float64 // invocations it said it holds, with those sent since, and when that was
}

type operation struct {
	Operation
	mean, base float64 // time of good answers: of late, unpressed
}

// customer is what this instance knows of one customer's counts.
type customer struct {
	key               string
	plan              *Plan
	width             float64
	window            int64
	name              uint64
	seen, open, sawAt float64 // units and open places in the last total, and when that was
	room, at          float64 // units that may still be let in, as of at
	excess            float64 // others' units in the total beyond the room there was
	asking            float64 // of what room lacks: estimates whose calls are out
	owed, told        float64 // units to add with the next call, and when the last was
	doubt, doubtLet   float64 // units of calls that ended without an answer, and what of them should stand
	out, standing     int     // open places held here, and of them on the counter
	mine, all         float64 // units let in of late: here, everywhere
	share             float64 // its part of the quota without the counter
	lent, lentAt      float64 // what may be let in without the counter, as of then (0: it answers)
	part, overAt      float64 // of its units let in here without a call; last cut, for a total that left no room
	hard, hardAt      float64 // units under the hard ceiling, as of hardAt
}

// call is one counter call that has not been answered.
type call struct {
	cust   *customer
	inv    *Invocation
	window int64
	units  float64
	open   int
}

// Gateway is one instance.
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
	callRate, knee   float64 // counter calls a second that may be made; the same when calls began to fail
	callRoom, callAt float64 // how many may be made now, as of callAt
	deniedAt         float64 // last time that a call was wanted and not made
	failing, crowded bool    // the last call failed; one was denied of late
	ready, line      []*Invocation
	abroad, most     float64 // deliveries out; how many there may be a host, from all api gateways
	wait, held       float64 // of late: answer times over latency objectives, what hosts said they hold
	mean, luck       float64 // time of good answers of any operation; a chance, drawn for the next delivery
	drawn            uint64  // chances drawn so far
	all, own         float64 // api gateways; how much of a host's or customer's affairs one can judge by itself
}

// New makes an instance that knows nothing but its start.
func New(at Standing, ops []Operation, ps []Plan, ctr Counter, cold Cold, allow Allowed, out Out) *Gateway {
	g := &Gateway{at: at, counter: ctr, cold: cold, allow: allow, out: out, ops: map[string]*operation{},
		plans: map[string]*Plan{}, byAddr: map[string]*Host{}, customers: map[string]*customer{},
		names: map[uint64][]*call{}, callRate: 32, callRoom: 8, knee: math.Inf(1), deniedAt: math.Inf(-1),
		most: 12, wait: 0.2, all: max(1, float64(at.Gateways)), own: min(1, 12/max(1, float64(at.Gateways)))}
	for _, o := range ops {
		g.ops[o.Name] = &operation{Operation: o, mean: o.Objective / 5, base: o.Objective / 8}
		g.mean += o.Objective / 5 / float64(len(ops))
	}
	for _, p := range ps {
		g.plans[p.Name] = &p
	}
	return g
}

// ---- The door.

// Take brings an invocation in; Turn will name it.
func (g *Gateway) Take(now float64, a Asked) *Invocation {
	op, given := g.ops[a.Operation], a.GiveUp-now
	if op == nil { // an operation that the start did not name: the strictest kind, wanted by half of its time
		op = &operation{Operation: Operation{Name: a.Operation, Objective: given / 2, Value: 1,
			Effect: NonIdempotent}, mean: given / 10, base: given / 16}
		g.ops[a.Operation] = op
	}
	inv := &Invocation{Ref: a.Ref, op: op, cust: g.customer(now, a), size: a.Units, born: now,
		wanted: now + op.Objective, giveUp: a.GiveUp, repeat: a.Repeat}
	if inv.cust.plan.Rate > 0 {
		inv.units = a.Units
	}
	g.ready = append(g.ready, inv)
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
	c.width = max(1, float64(a.Width))
	return c
}

// Turn names the next invocation to ask Where about, nil when there is none for now.
func (g *Gateway) Turn(now float64) *Invocation {
	if len(g.ready) > 0 {
		inv := g.ready[0]
		g.ready = g.ready[1:]
		return inv
	}
	return g.fromLine(now)
}

// Where decides where to send an invocation, or not yet, or never.
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

// Wait says how long until the next Tick is due.
func (g *Gateway) Wait(now float64) float64 {
	next := 0.25
	for _, inv := range g.line {
		next = min(next, g.lapse(inv)-now)
	}
	if len(g.line) > 0 || slices.ContainsFunc(g.hosts, func(h *Host) bool { return len(h.out) > 0 }) {
		next = min(next, 0.05)
	}
	return max(next, 0.001)
}

// Tick looks after what only time changes.
func (g *Gateway) Tick(now float64) {
	g.watch(now)
	for _, c := range g.inOrder {
		much := math.Abs(c.owed) > c.plan.Burst/4 || c.standing > c.out // the others should hear
		if much && c.plan.limited() && now-c.told > 0.25 && g.mayCall(now) {
			g.roll(now, c)
			g.tell(now, c, nil)
		}
	}
}

// end gives the final answer. A throttling says that trying again is harmless, so it needs the proof that
// nothing ran or an operation that may run again.
func (g *Gateway) end(now float64, inv *Invocation) Answer {
	op, repeatable := inv.op, inv.repeatable(now)
	g.Gone(now, inv)
	if !repeatable || inv.mayRun != nil && op.Effect == Tokened && op.Group != "all" {
		return Answer{Do: GiveUp}
	}
	return Answer{Do: Throttle, RetryAfter: max(inv.comeBack, inv.op.mean/2)}
}

// Gone says that an invocation is over: nothing is sent for it any more, and what it holds is given back.
func (g *Gateway) Gone(now float64, inv *Invocation) {
	g.leaveLine(inv)
	if inv.stage = finished; inv.out == 0 {
		g.release(now, inv)
	}
}

// ---- The design: count, refuse, settle.

// windowLength is open in the design. Long windows make edges rare; where only what is out counts they are
// short, since a place stranded by a dead api gateway lapses with its window.
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

// roll brings a customer's room up to now and, at a window's edge, to the new name. The room is what the
// window's allowance leaves above the last total; it grows at the plan's rate, and what passes one burst is
// lost once a total has told what the others used, so that an edge carries over at most one burst.
func (g *Gateway) roll(now float64, c *customer) {
	p := c.plan
	c.room += p.Rate * (now - c.at)
	if w := int64(math.Floor(now / p.windowLength())); w != c.window {
		if c.window == math.MinInt64 { // no total seen: the whole burst counts as unused
			c.room = p.Burst + (1-g.own)*p.Rate*math.Mod(now, p.windowLength())
		}
		c.owed += c.doubtLet
		c.window, c.seen, c.open, c.standing, c.doubt, c.doubtLet, c.excess = w, 0, 0, 0, 0, 0, 0
		f := fnv.New64a()
		fmt.Fprintf(f, "%s %d", c.key, w)
		c.name = f.Sum64() >> 1
	}
	fade := math.Exp(-(now - c.at) / 8)
	c.mine, c.all, c.at = c.mine*fade, c.all*fade, now
}

// admit begins the ordinary path: the estimate goes to the counter.
func (g *Gateway) admit(now float64, inv *Invocation) Answer {
	c := inv.cust
	if now >= inv.giveUp-0.7*inv.op.mean || !g.underCeiling(now, inv) { // too late for any answer, or too much
		return g.end(now, inv)
	}
	if g.roll(now, c); !c.plan.limited() {
		g.join(inv)
		return Answer{}
	}
	recent := now-c.sawAt < 0.07 || g.crowded && now-c.sawAt < 1
	if short := inv.units - c.room; short > 0 && recent { // a total just seen leaves no room
		inv.comeBack = short / c.plan.Rate
		return g.end(now, inv)
	}
	inv.charged = true
	c.out++
	c.room -= inv.units
	if g.crowded && c.part < 1 && now-c.overAt < 2 && g.own < 1 || !g.mayCall(now) || inv.giveUp-now < g.counter.Limit+0.01 {
		g.bridge(now, inv)
		return Answer{}
	}
	inv.stage = asking
	g.tell(now, c, inv)
	return Answer{}
}

// mayCall paces the calls, so that all api gateways together ask no more than the counter takes.
func (g *Gateway) mayCall(now float64) bool {
	g.callRoom = min(max(1, g.callRate/8), g.callRoom+g.callRate*(now-g.callAt))
	if g.callAt = now; g.callRoom < 1 {
		g.deniedAt = now
	}
	return g.counter.Present && g.callRoom >= 1
}

// tell makes one counter call: the estimate if there is one, what is owed, and the change in open places.
func (g *Gateway) tell(now float64, c *customer, inv *Invocation) {
	k := &call{cust: c, window: c.window, inv: inv, units: c.owed}
	if inv != nil {
		k.units += inv.units
		c.asking += inv.units
	}
	amount := k.units
	if c.plan.MaxOut > 0 {
		k.open = c.out - c.standing
		amount += float64(k.open) * c.plan.pack()
	}
	c.owed, c.told, c.standing = 0, now, c.standing+k.open
	g.callRoom--
	g.names[c.name] = append(g.names[c.name], k)
	g.out.Count(c.name, amount, min(60, 2.2*c.plan.windowLength()))
}

// Counted brings the answer to one counter call.
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
	g.crowd(now, how, took)
	if inv != nil {
		c.asking -= inv.units
	}
	if how != Succeeded {
		g.missed(now, k, how)
		return
	}
	if c.lentAt = 0; k.window == c.window {
		g.read(now, k, sum)
	}
	if inv != nil && inv.stage == asking && inv.comeBack == 0 {
		g.join(inv)
	} else if inv != nil && inv.stage == asking { // over: the estimate is taken off again, at once
		g.refuse(now, inv)
	}
}

// refuse ends an invocation that found no room; what it held is given back.
func (g *Gateway) refuse(now float64, inv *Invocation) {
	g.release(now, inv)
	inv.stage = refused
	g.ready = append(g.ready, inv)
}

// crowd guards against a counter that is slow, silent, refusing or too small, whatever its cause: calls a second
// fall with each failed or late answer, and grow by a little with each good one, so that all share what there is.
// The few that are still made are the trial that ends it.
func (g *Gateway) crowd(now float64, how Outcome, took float64) {
	if how == Succeeded && took < 0.4*g.counter.Limit {
		if g.callRate < g.knee/2 {
			g.callRate *= 1.1
		}
		if g.callRate += 0.05; g.failing {
			g.failing, g.callRate = false, max(g.callRate, g.knee/2)
		}
	} else if how != Succeeded {
		if !g.failing {
			g.failing, g.knee = true, g.callRate
		}
		g.callRate *= 0.8
	}
	g.callRate = min(2000, max(g.callRate, 0.3+10/g.all))
	if crowded := now-g.deniedAt < 2; crowded != g.crowded {
		g.crowded = crowded
		g.out.Log(fmt.Sprintf("counter: last %c in %.3f s, at most %.1f calls a second", how, took, g.callRate))
	}
}

// read takes a total in and marks the call's invocation if it is over a limit.
func (g *Gateway) read(now float64, k *call, sum float64) {
	c, p, units := k.cust, k.cust.plan, sum
	if p.MaxOut > 0 {
		c.open = math.Round(sum / p.pack())
		units = sum - c.open*p.pack()
	}
	others := units - k.units - c.seen
	if c.doubt > 0 { // calls that ended without an answer: the total tells whether they were added
		added := min(max(others, 0), c.doubt)
		others -= added
		c.owed += c.doubtLet - added
		c.doubt, c.doubtLet = 0, 0
	}
	if others < -(4*g.counter.Most + p.Burst/4) {
		// Guards against a count that was forgotten: no take-offs of others explain so low a total. The room stays
		// as it is, so what was used stays used and later settlements open none.
		g.out.Log(fmt.Sprintf("a count was forgotten: %.0f after %.0f", units-k.units, c.seen))
		others = max(0, units-k.units)
	}
	// What the others would have used since the last total; after a long gap, what they did use.
	blind := now - c.sawAt
	if age := math.Mod(now, p.windowLength()); p.Rate > 0 && others > 0 && blind > age {
		// No total of this window yet: before it they used as much as in it.
		if use := others / max(1, age); c.sawAt == 0 {
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
	c.excess -= back
	if over := -c.room - held; over > 0 && !g.counter.Settles { // settlements may take it below
		c.room, c.excess = c.room+over, c.excess+over
	}
	c.all += max(0, others)
	c.seen, c.sawAt = units, now
	if k.inv == nil {
		return
	}
	if short := -(c.room + c.asking); p.Rate > 0 && short > 0 {
		k.inv.comeBack = short / p.Rate
		g.tellPeers("=" + c.key)
		g.over(now, c, 0.5)
	} else if p.MaxOut > 0 && c.open > float64(p.MaxOut) {
		k.inv.comeBack = k.inv.op.mean
		g.tellPeers("=" + c.key)
		g.over(now, c, 0.5)
	}
}

// over says that a customer's total left no room, here or by a peer's word: less of it is let in without a call.
func (g *Gateway) over(now float64, c *customer, cut float64) {
	if now-c.overAt > 1 {
		c.part, c.overAt = cut*min(1, c.part*math.Exp(0.05*(now-c.overAt))), now
	}
}

// missed handles a call that brought no total: the ledger is put right and the invocation is bridged.
func (g *Gateway) missed(now float64, k *call, how Outcome) {
	c, let := k.cust, k.units
	if k.inv != nil {
		let -= k.inv.units
	}
	if k.window != c.window || how != TimedOut {
		c.owed += let
	} else {
		c.doubt, c.doubtLet = c.doubt+k.units, c.doubtLet+let
	}
	if k.window == c.window {
		c.standing -= k.open
	}
	if k.inv != nil && k.inv.stage == asking {
		g.bridge(now, k.inv)
	}
}

// bridge decides without the counter, by this instance's share of the quota, its part of what all added of
// late; however fresh the last total, since others bridge from the same one. The counter is told later.
func (g *Gateway) bridge(now float64, inv *Invocation) {
	c, p := inv.cust, inv.cust.plan
	if c.lentAt == 0 {
		prior := max(1, p.Burst/2)
		c.share = max(0.5/c.width, (c.mine+prior/c.width)/(c.all+prior))
		room := max(0, min(p.Burst, c.room+inv.units))
		c.lent, c.lentAt = c.share*room, now
		if one := min(room, inv.units); room > p.Burst/2 && !inv.repeat && g.chance() > g.own {
			c.lent = max(c.lent, one) // far from its quota, as most are
		} else if g.own < 1 {
			c.lent = max(c.lent, g.chance()*one/2)
		}
	}
	fill := c.share * p.Rate
	if g.own < 1 {
		fill *= 4
	}
	c.lent = min(c.lent+fill*(now-c.lentAt), max(c.lent, c.share*p.Burst, inv.units))
	c.lentAt = now
	part := c.part * math.Exp(0.05*(now-c.overAt))
	if g.own < 1 && g.chance() > part {
		inv.comeBack = 0.5
	} else if inv.units > c.lent {
		inv.comeBack = (inv.units - c.lent) / (c.share * p.Rate)
	} else if p.MaxOut > 0 && float64(c.out) > max(1, math.Round(c.share*float64(p.MaxOut))) {
		inv.comeBack = inv.op.mean
	}
	c.owed += inv.units
	if inv.comeBack > 0 {
		g.refuse(now, inv)
		return
	}
	c.lent -= inv.units
	g.join(inv)
}

// release gives back what an invocation holds: its open place, and its units if nothing of it ran.
func (g *Gateway) release(now float64, inv *Invocation) {
	if !inv.charged {
		return
	}
	inv.charged = false
	c := inv.cust
	c.out--
	g.roll(now, c)
	if inv.mayRun == nil {
		c.owed -= inv.units
		c.room += inv.units
	}
	if (inv.mayRun == nil && c.owed < 0 || c.standing > c.out) && g.mayCall(now) {
		g.tell(now, c, nil)
	}
}

// underCeiling holds a hard ceiling by this instance's part alone. It starts empty, so that restarts grant
// nothing twice, and needs no counter: safe if all the others do the same.
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

// ---- The line and the places.

func (g *Gateway) join(inv *Invocation) {
	if c := inv.cust; inv.stage < waiting {
		c.mine, c.all = c.mine+inv.units, c.all+inv.units
	}
	inv.stage, inv.toHost = waiting, nil
	g.line = append(g.line, inv)
}

func (g *Gateway) leaveLine(inv *Invocation) {
	g.line = slices.DeleteFunc(g.line, func(x *Invocation) bool { return x == inv })
}

// lapse is when an invocation in line is given up: by then an answer in time has become unlikely. It is
// early, so that its client's next try may still be in time.
func (g *Gateway) lapse(inv *Invocation) float64 {
	return min(inv.giveUp-0.7*inv.op.mean,
		max(inv.born, min(inv.wanted-1.3*inv.op.mean, inv.born+0.5*inv.op.Objective)))
}

// fromLine gives the invocation that the next free place should take, or one that has waited too long. The
// line goes by billed value for unpressed time; a repeat, which often comes too late, counts less. Among
// equals the oldest goes first, in a long line the newest: the oldest would be late anyway.
func (g *Gateway) fromLine(now float64) *Invocation {
	var free []*Host
	listed := 0.0
	if len(g.line) == 0 {
		return nil
	}
	for _, h := range g.hosts {
		if h.listed {
			listed++
		}
		if g.free(now, h) {
			free = append(free, h)
		}
	}
	if g.abroad >= math.Floor(max(1, g.most*listed/g.all)+g.luck) {
		free = nil
	}
	best, most := (*Invocation)(nil), 0.0
	for _, inv := range g.line {
		worth := inv.op.Value / inv.op.base
		if inv.repeat {
			worth /= 4
		} else if inv.cust.plan.MaxOut > 0 { // it holds an open place that its customer lacks meanwhile
			worth *= 1.5
		}
		pressed := now-inv.born > 0.2*inv.op.Objective
		if best == nil || worth > most*1.2 || pressed && worth > most*0.8 {
			if h := g.bestHost(now, inv, free); h != nil {
				best, most, inv.toHost = inv, worth, h
				continue
			}
		}
		if now >= g.lapse(inv) {
			inv.toHost = nil
			return inv
		}
	}
	return best
}

// free says whether this instance may give a host one more delivery.
func (g *Gateway) free(now float64, h *Host) bool {
	places := h.places
	if w := g.warmth(now, h); w < 1 {
		if g.grown(now, h) < h.coldNext {
			return false
		}
		places = min(places, 1+3*w)
	}
	if h.aside {
		places = 1
	}
	return h.listed && now >= h.restAt && (!h.aside || now >= h.trialAt) && float64(len(h.out))+1 <= max(1, places)
}

// warmth is how warm a host is, from 0 (just started) to 1.
func (g *Gateway) warmth(now float64, h *Host) float64 {
	if h.since <= 0 {
		return 1
	}
	return min(1, max(0, (now-h.since)/max(g.cold.Warm, 0.001)))
}

// grown is how many seconds of its full capacity a host has had at least since it started.
func (g *Gateway) grown(now float64, h *Host) float64 {
	return (now - h.since) * (g.cold.Share + (1-g.cold.Share)*g.warmth(now, h)/2)
}

// coldGap is the cold budget: how much a host that has just started grows between deliveries from here, if all
// api gateways together keep to what two cores can do. The first waits for a part of it by chance: with many of
// us one delivery from each would already be too much, and what is under one goes out from a few.
func (g *Gateway) coldGap() float64 {
	return 0.5 * g.mean * g.all / min(1, g.cold.Factor/2)
}

// chance draws from [0, 1).
func (g *Gateway) chance() float64 {
	g.drawn++
	b := binary.LittleEndian.AppendUint64(nil, g.at.Seed)
	return float64(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint64(b, g.drawn))) / (1 << 32)
}

func (g *Gateway) bestHost(now float64, inv *Invocation, free []*Host) *Host {
	var best *Host
	least := math.Inf(1)
	for _, h := range free {
		if !g.mayGo(now, inv, h) || (h.aside && inv.op.Effect == NonIdempotent) {
			continue
		}
		slow := max(h.slow, 1/max(0.01, g.cold.Share+(1-g.cold.Share)*g.warmth(now, h)))
		if inv.op.Effect == NonIdempotent && now+inv.op.base*slow > inv.wanted {
			continue // once sent it could only wait there
		}
		// Guards against all api gateways choosing the same host: the more of us there are, the less each knows of
		// a host, and the more it goes by chance, in proportion to what hosts can do.
		cost := slow * (1 + 0.5*float64(len(h.out))) * math.Pow(-math.Log(1-g.chance()), 1-g.own)
		// What a host said it holds goes before chance: one with less than usual is taken, one with more is left.
		if few := g.own < 1 && now-h.heldAt < 1; few && h.held <= g.held {
			cost = slow * (1 + h.held) / 100
		} else if few {
			cost = slow * (1 + h.held) * 100
		}
		if h.zone != g.at.Zone {
			cost += 0.0005
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

// repeatable holds the second rule: nothing may have run, or running again does no harm.
func (inv *Invocation) repeatable(now float64) bool {
	return inv.mayRun == nil || inv.op.Effect == Idempotent ||
		inv.op.Effect == Tokened && now < inv.mayRun.sent+inv.op.TokenTime
}

// mayGo holds it for one host: a tokened invocation that may have run stays within its group.
func (g *Gateway) mayGo(now float64, inv *Invocation, h *Host) bool {
	d, group := inv.mayRun, inv.op.Group
	return inv.out == 0 && inv.repeatable(now) && (d == nil || inv.op.Effect == Idempotent || group == "all" ||
		group == "zone" && h.zone == d.Host.zone || group == "cell" && h.cell == d.Host.cell)
}

func (g *Gateway) send(now float64, inv *Invocation, h *Host) Answer {
	g.leaveLine(inv)
	inv.toHost, inv.stage = nil, sent
	d := &Delivery{Inv: inv, Host: h, Number: len(inv.Deliveries), sent: now}
	inv.Deliveries = append(inv.Deliveries, d)
	inv.out++
	g.abroad++
	g.luck = g.chance()
	if inv.mayRun == nil {
		inv.mayRun = d
	}
	if len(h.out) == 0 { // its silence begins now
		h.sign = now
	}
	h.out = append(h.out, d)
	h.coldNext = g.grown(now, h) + g.coldGap()
	if h.held++; g.allow.Probes && g.own < 1 && g.wait > 0.1 {
		if x := g.hosts[int(g.chance()*float64(len(g.hosts)))]; x.listed && !x.aside {
			g.out.Probe(x)
		}
	}
	if h.aside {
		h.trialAt = now + h.trialGap
	}
	return Answer{Do: Send, Host: h}
}

// another says whether a further delivery is left and its answer can still be in time.
func (g *Gateway) another(now float64, inv *Invocation) bool {
	return len(inv.Deliveries) < g.allow.Deliveries && now < min(inv.wanted, inv.giveUp)-inv.op.mean
}

// After decides what to do once a delivery has ended.
func (g *Gateway) After(now float64, d *Delivery, e Ended) Answer {
	inv := d.Inv
	inv.out--
	if !d.lost {
		g.abroad--
	}
	d.Host.out = slices.DeleteFunc(d.Host.out, func(x *Delivery) bool { return x == d })
	if strings.ContainsRune("FCN", rune(e.How)) && inv.mayRun == d { // proved not run
		inv.mayRun = nil
	}
	g.learn(now, d, e)
	if c := inv.cust; g.counter.Settles && e.How == Succeeded && e.Units > 0 && inv.charged && inv.units > 0 {
		// The true units take the place of the estimate; the difference rides with the next call.
		c.owed += e.Units - inv.units
		c.room -= e.Units - inv.units
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

// ---- Hosts.

// Hosts brings the list of hosts, whole or as changes.
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
			h.places, h.slow, h.best, h.pace, h.fails, h.aside, h.restAt = 4*g.own, 1, 1, 0, 0, false, 0
			if l.Weight > 0 { // till it is known: by its size
				h.slow = size / l.Weight
				h.best = h.slow
			}
			h.since = l.Since
			h.coldNext = g.grown(now, h) + g.chance()*g.coldGap()
		}
		h.zone, h.cell, h.since, h.listed = l.Zone, l.Cell, l.Since, l.State == "active"
	}
	slices.SortFunc(g.hosts, func(a, b *Host) int { return strings.Compare(a.Addr, b.Addr) })
}

// Probed brings what a host said it holds, to a probe or with an answer; below 0 if nothing.
func (g *Gateway) Probed(now float64, addr string, held float64) {
	if h := g.byAddr[addr]; h != nil && held >= 0 && held < 1e6 {
		h.held, h.heldAt = held, now
		g.held += 0.05 * (held - g.held)
	}
}

// learn takes in how a delivery ended at its host.
func (g *Gateway) learn(now float64, d *Delivery, e Ended) {
	h, op := d.Host, d.Inv.op
	g.Probed(now, h.Addr, e.Held)
	// Guards against all hosts pressed at once, which no host's few answers here would tell: fewer are out in all.
	if strings.ContainsRune("SF", rune(e.How)) {
		if g.wait += 0.1 * (e.Took/op.Objective - g.wait); g.wait > 0.4 || e.How == TurnedAway {
			g.most = max(2.5, g.most*0.9)
		} else {
			g.most = min(32, g.most+0.3)
		}
	}
	switch e.How {
	case Succeeded:
		op.mean += 0.05 * (e.Took - op.mean)
		g.mean += 0.05 * (e.Took - g.mean)
		op.base = min(op.mean, op.base*1.0001)
		h.slow += 0.2 * (e.Took/op.base - h.slow)
		if h.pace == 0 {
			h.pace = op.mean
		}
		h.pace += 0.1 * ((now-h.sign)*float64(len(h.out)+1) - h.pace)
		h.sign, h.fails, h.trialGap = now, 0, 0
		// Forgotten slowly: else a long press would teach that slow is normal, and places would creep up.
		if h.best = min(h.slow, h.best*1.0005); h.slow > 1.7*h.best { // its queue has grown: work waits better here
			h.places = max(1, h.places*0.93)
		} else if h.slow < 1.35*h.best && float64(len(h.out))+2 > h.places {
			h.places = min(32, h.places+0.1)
		}
		if h.aside || h.asked {
			g.tellPeers("+" + h.Addr)
		}
		h.asked = false
		g.comeBack(h, fmt.Sprintf("answered in %.3f s", e.Took))
	case TimedOut, TurnedAway, Failed, NoConnection, Reset: // time-outs in a row are silence too
		// Guards against hosts that end work fast and badly and so draw it all: one is judged by good answers, and
		// many, too many to set aside, rest longer with each bad ending.
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

// watch judges each host by how unusual its present silence is, given its gaps so far and its fellows'
// silence. That all are slow at once is no reason to set any aside.
func (g *Gateway) watch(now float64) {
	var odd []float64
	for _, h := range g.hosts {
		for _, d := range h.out {
			inv := d.Inv
			if !d.lost && g.own < 1 && now-d.sent > 4*inv.op.mean {
				d.lost = true
				g.abroad--
				if g.allow.Cancel && inv.stage == sent && g.another(now, inv) && inv.op.Effect != NonIdempotent {
					g.out.Cancel(d)
				}
			}
		}
		if h.odd = 0; h.listed && !h.aside && len(h.out) > 0 && h.pace > 0 {
			h.odd = (now - h.sign) / h.pace * math.Sqrt(float64(len(h.out)))
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
		}
	}
}

// setAside gives a host no more work, unless too few would be left.
func (g *Gateway) setAside(now float64, h *Host, why string) {
	out := 1 // how many would not be used
	for _, x := range g.hosts {
		if x.aside || !x.listed {
			out++
		}
	}
	h.trialGap = min(8, max(1, 2*h.trialGap))
	h.trialAt = now + h.trialGap
	if h.aside || 2*out > len(g.hosts) {
		return
	}
	h.aside = true
	g.out.Log("host " + h.Addr + " set aside: " + why)
	g.tellPeers("-" + h.Addr)
	for _, d := range h.out {
		if inv := d.Inv; g.allow.Cancel && inv.stage == sent && g.another(now, inv) &&
			inv.op.Effect != NonIdempotent {
			g.out.Cancel(d)
		}
	}
}

func (g *Gateway) tellPeers(text string) {
	if g.allow.Peers && g.chance() < 4*g.own { // guards against peers drowning each other: few say the same
		g.out.Tell(text)
	}
}

func (g *Gateway) comeBack(h *Host, why string) {
	if h.aside {
		h.aside, h.fails, h.places, h.pace = false, 0, 1, 0
		g.out.Log("host " + h.Addr + " back: " + why)
	}
}

// Told brings a peer's message: "-host" asks for word of a host set aside, "+host" reports a good answer;
// else it is dropped. A host that fails again after peers' word comes back by trial alone: it can't be
// reached from here.
func (g *Gateway) Told(now float64, text string) {
	if plan, key, ok := strings.Cut(strings.TrimPrefix(text, "="), " "); ok && g.plans[plan] != nil {
		c := g.customer(now, Asked{Plan: plan, Customer: key, Width: g.at.Gateways})
		g.over(now, c, 0.6)
		return
	}
	h := g.byAddr[strings.TrimLeft(text, "+-")]
	if h != nil && text[0] == '-' {
		h.asked = true
	} else if h != nil && text[0] == '+' && h.listed && h.trialGap <= 1 {
		g.comeBack(h, "a peer reports good answers")
	}
}
