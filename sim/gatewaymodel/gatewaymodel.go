// Package gatewaymodel owns the model of one api gateway's machine: its share of a core, its connections to hosts, its calls to
// the counter, what it has in hand. What it decides is a Mind's; it must never decide itself.
package gatewaymodel

import (
	"cmp"
	"slices"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/countermodel"
	"otterseam/sim/eventqueue"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/network"
	"otterseam/sim/scenario"
)

// FinalAttemptMargin is how long before its client gives up the last delivery is ended, as the api gateway on sockets does it.
const FinalAttemptMargin = 0.008

// Policy decides for one api gateway. Its answers leave through the policydriver.Output that it was made with; after each call, or
// several at one moment, SetTimers is called.
type Policy interface {
	UpdateHosts(now float64, list []policy.HostEntry, whole bool)
	Accept(now float64, a policy.Request)
	AttemptEnded(now float64, ref string, number int, e policy.AttemptResult)
	Abandon(now float64, ref string)
	TimerFired(now float64, nonce uint64)
	PeerMessage(now float64, from int, text string)
	CounterReplied(now float64, name uint64, how policy.Outcome, sum, took float64)
	SetTimers(now float64)
}

// Environment is what an api gateway meets.
type Environment interface {
	Host(addr string) *hostmodel.Host
	// Sent, Reached, Ran, EndedAt and Answered tell the referee, and what counts, of what happens.
	AttemptSent(d *model.Attempt)
	AttemptReached(d *model.Attempt)
	AttemptStarted(d *model.Attempt)
	AttemptReleased(d *model.Attempt)
	InvocationAnswered(inv *model.Invocation, how model.Outcome) (room bool)
	// Client brings an answer to its client.
	DeliverAnswer(inv *model.Invocation, how model.Outcome, retryAfter float64, room bool)
	SendPeerMessage(from, to int, text string) // to an api gateway, or to all others: member.All
	Trace(from int, ref, text string)
	CounterCalled(missed bool)
	ConnectionDialled()
}

// Gateway is one api gateway.
type Gateway struct {
	Slot, Zone    int
	Alive         bool
	Admits        bool // the front sends it tries
	SeesSplitCopy bool // while the counter is split, it sees the copy
	Policy        Policy

	q       *eventqueue.Queue
	net     *network.Network
	counter *countermodel.Counter
	day     *scenario.Day
	around  Environment
	cost    float64 // seconds of time for each thing it hears, at its share of a core
	starve  float64
	busy    float64
	life    int
	inHand  map[string]*model.Invocation
	rest    map[*hostmodel.Host][]connection // at rest, the one used last at the end
	flying  map[*model.Attempt]*flight
	lastSum map[int]float64 // by part of the counter: when its last answer arrives; they keep their order
	czone   int
}

type connection struct {
	life int // of the host
	at   float64
}

// flight is a delivery that is out, and what it holds.
type flight struct {
	d     *model.Attempt
	h     *hostmodel.Host
	job   *hostmodel.Job
	fresh bool // its connection is new
	up    bool // it stands, and counts at the host
	life  int  // of the host, when it came up
}

// New makes an api gateway; Start starts it.
func New(slot, zone int, q *eventqueue.Queue, net *network.Network, c *countermodel.Counter, d *scenario.Day, around Environment) *Gateway {
	e := &Gateway{
		Slot: slot, Zone: zone, q: q, net: net, counter: c, day: d, around: around, starve: 1,
		cost: d.Gateway.Cost.V() / d.Gateway.Core.V(),
	}
	if d.Counter.Zone == "own" {
		e.czone = zone
	}
	return e
}

// Start begins a life with empty hands and the list as it was last told.
func (e *Gateway) Start(mind Policy, list []policy.HostEntry) {
	e.life++
	e.Alive, e.Admits, e.Policy, e.busy = true, true, mind, e.q.Now()
	e.inHand, e.rest = map[string]*model.Invocation{}, map[*hostmodel.Host][]connection{}
	e.flying, e.lastSum = map[*model.Attempt]*flight{}, map[int]float64{}
	mind.UpdateHosts(e.q.Now(), list, true)
	mind.SetTimers(e.q.Now())
}

// PendingInvocations is how many invocations it holds; Out how many deliveries.
func (e *Gateway) PendingInvocations() int { return len(e.inHand) }
func (e *Gateway) AttemptsInFlight() int   { return len(e.flying) }

// ScaleCPU leaves it a part of its share of a core, or gives it back.
func (e *Gateway) ScaleCPU(part float64, begin bool) {
	if begin {
		e.starve *= part
	} else {
		e.starve /= part
	}
}

// hear lets the api gateway deal with something once it has a turn on its core.
func (e *Gateway) hear(what func(now float64)) {
	now, life := e.q.Now(), e.life
	e.busy = max(now, e.busy) + e.cost/e.starve
	e.q.Schedule(e.busy, func() {
		if e.life == life && e.Alive {
			what(e.q.Now())
			e.Policy.SetTimers(e.q.Now())
		}
	})
}

// Submit brings a try to its machine; false: it takes none.
func (e *Gateway) Submit(inv *model.Invocation) bool {
	if !e.Alive {
		return false
	}
	inv.Accepted = true
	life := e.life
	e.inHand[inv.Ref] = inv
	e.q.Schedule(inv.GiveUpAt, func() { e.gone(inv, life) })
	e.hear(func(now float64) {
		if inv.Outcome != model.Pending {
			return
		}
		n := inv.Request
		e.around.Trace(e.Slot, inv.Ref, "taken")
		e.Policy.Accept(now, policy.Request{
			Ref: inv.Ref, Operation: n.Operation.Name, Customer: n.Customer.Key, Plan: n.Customer.Plan.Name,
			Units: n.Units, Deadline: inv.GiveUpAt, FirstGateway: n.Customer.FirstGateway, GatewayCount: n.Customer.GatewayCount, ClientRetry: inv.ClientRetry,
		})
	})
	return true
}

// gone: the client's time is over. What it has not had by now it will not have.
func (e *Gateway) gone(inv *model.Invocation, life int) {
	if e.life != life || inv.Outcome != model.Pending {
		return
	}
	e.around.DeliverAnswer(inv, model.Unanswered, 0, false)
	// The client closes its connection; the api gateway hears of it a way later and on its core's time.
	e.q.ScheduleAfter(e.net.Delay(e.Zone, e.Zone), func() {
		if e.life != life {
			return
		}
		e.hear(func(now float64) {
			if e.inHand[inv.Ref] == nil {
				return
			}
			e.around.InvocationAnswered(inv, model.Unanswered)
			for _, d := range inv.Attempts {
				e.end(d, policy.Cancelled)
			}
			e.Policy.Abandon(now, inv.Ref)
			e.drop(inv)
		})
	})
}

func (e *Gateway) drop(inv *model.Invocation) {
	if inv.Outcome == model.Pending {
		return
	}
	for _, d := range inv.Attempts {
		if e.flying[d] != nil {
			return
		}
	}
	delete(e.inHand, inv.Ref)
}

// HostChanged brings a change of the list; Mailed a peer's message.
func (e *Gateway) HostChanged(change policy.HostEntry) {
	if e.Alive {
		e.hear(func(now float64) { e.Policy.UpdateHosts(now, []policy.HostEntry{change}, false) })
	}
}

func (e *Gateway) PeerMessage(from int, text string) {
	if e.Alive {
		e.hear(func(now float64) { e.Policy.PeerMessage(now, from, text) })
	}
}

// Kill ends it outright: what it holds is lost to its clients, what it has sent goes on.
func (e *Gateway) Kill() {
	if !e.Alive {
		return
	}
	e.Alive, e.Admits = false, false
	e.life++
	flights := make([]*flight, 0, len(e.flying))
	for _, f := range e.flying {
		flights = append(flights, f)
	}
	slices.SortFunc(flights, func(a, b *flight) int {
		return cmp.Or(cmp.Compare(a.d.Invocation.Number, b.d.Invocation.Number), cmp.Compare(a.d.Number, b.d.Number))
	})
	for _, f := range flights {
		f.d.Ended = true
		e.close(f)
		e.around.AttemptReleased(f.d)
	}
	for h, cs := range e.rest { // each host's own sum: the order does not show
		for _, c := range cs {
			if c.life == h.Incarnation {
				h.Connections--
			}
		}
	}
	held := make([]*model.Invocation, 0, len(e.inHand))
	for _, inv := range e.inHand {
		held = append(held, inv)
	}
	slices.SortFunc(held, func(a, b *model.Invocation) int { return cmp.Compare(a.Number, b.Number) })
	for _, inv := range held {
		if inv.Outcome == model.Pending {
			inv.Outcome = model.Broken
			e.around.Trace(e.Slot, inv.Ref, "its api gateway is killed")
			e.q.ScheduleAfter(e.net.Delay(e.Zone, e.Zone), func() { e.around.DeliverAnswer(inv, model.Broken, 0, false) })
		}
	}
	e.inHand, e.rest, e.flying = nil, nil, nil
}

// What the mind asks for. All of it happens at the moment at which it is asked.

// Send begins a delivery.
func (e *Gateway) Send(ref, addr string, within float64) {
	inv, h, now := e.inHand[ref], e.around.Host(addr), e.q.Now()
	if inv == nil || h == nil {
		return
	}
	limit := inv.GiveUpAt - now - FinalAttemptMargin
	if within > 0 {
		limit = min(limit, within)
	}
	d := &model.Attempt{Invocation: inv, Number: len(inv.Attempts), Host: h.Number, SentAt: now}
	inv.Attempts = append(inv.Attempts, d)
	f := &flight{d: d, h: h}
	e.flying[d] = f
	e.around.AttemptSent(d)
	e.around.Trace(e.Slot, ref, "sent to "+addr)
	life := e.life
	e.q.ScheduleAfter(limit, func() {
		if e.life == life {
			e.end(d, policy.TimedOut)
		}
	})
	if c, ok := e.idle(h); ok {
		f.up, f.life = true, c.life
		e.write(f)
		return
	}
	e.dial(f)
}

// idle takes the connection at rest that was used last. One near the time at which the host closes it is closed here.
func (e *Gateway) idle(h *hostmodel.Host) (c connection, ok bool) {
	cs, now := e.rest[h], e.q.Now()
	for len(cs) > 0 && (cs[0].life != h.Incarnation || now-cs[0].at > 0.8*e.day.Network.Idle.V()) {
		if cs[0].life == h.Incarnation {
			h.Connections--
		}
		cs = cs[1:]
	}
	if n := len(cs); n > 0 {
		c, ok, cs = cs[n-1], true, cs[:n-1]
	}
	e.rest[h] = cs
	return c, ok
}

func (e *Gateway) dial(f *flight) {
	life := e.life
	f.fresh = true
	e.around.ConnectionDialled()
	e.q.ScheduleAfter(e.day.Network.Dial.V(), func() {
		if e.life == life && !f.up {
			e.end(f.d, policy.NoConnection)
		}
	})
	if e.net.Partitioned(e.Zone, f.h.Zone) || f.h.IsSilent() {
		return // it never comes up
	}
	e.q.ScheduleAfter(e.net.Delay(e.Zone, f.h.Zone), func() {
		taken := !f.h.IsSilent() && f.h.OpenConnection()
		hlife := f.h.Incarnation
		e.q.ScheduleAfter(e.net.Delay(f.h.Zone, e.Zone), func() {
			switch {
			case e.life != life || f.d.Ended:
				if taken && hlife == f.h.Incarnation {
					f.h.Connections--
				}
			case !taken && f.h.IsSilent():
			case !taken:
				e.end(f.d, policy.NoConnection)
			default:
				f.up, f.life = true, hlife
				e.write(f)
			}
		})
	})
}

// write puts the delivery on its connection. It is whole at the host a way later, whatever happens here meanwhile.
func (e *Gateway) write(f *flight) {
	f.d.Written = true
	if e.net.Partitioned(e.Zone, f.h.Zone) {
		return
	}
	e.q.ScheduleAfter(e.net.Delay(e.Zone, f.h.Zone), func() { e.reach(f) })
}

func (e *Gateway) reach(f *flight) {
	if f.life != f.h.Incarnation { // it has started anew meanwhile, or is gone: the connection is reset
		e.back(f, policy.Reset, 0)
		return
	}
	n := f.d.Invocation.Request
	reset, before := e.net.DrawReset()
	if reset && before {
		e.back(f, policy.Reset, 0)
		return
	}
	e.around.AttemptReached(f.d)
	f.job = &hostmodel.Job{Operation: n.Operation.Number, Work: n.Work, Gateway: e.Slot}
	if f.fresh { // setting the connection up costs the host work, and this request the time
		f.job.Work += f.h.ConnectWork
	}
	f.job.OnStart = func() { e.around.AttemptStarted(f.d) }
	f.job.OnAnswer = func(a hostmodel.Answer) {
		how := policy.Outcome(policy.Failed)
		switch {
		case a == hostmodel.Rejected:
			how = policy.Rejected
		case reset, a == hostmodel.Reset:
			how = policy.Reset
		case a == hostmodel.Succeeded:
			how = policy.Succeeded
		}
		e.around.AttemptReleased(f.d)
		e.back(f, how, n.ActualUnits)
	}
	f.h.Submit(f.job)
	if f.d.Ended {
		f.h.Cancel(f.job)
		e.around.AttemptReleased(f.d)
	}
}

// back brings a host's word to the api gateway.
func (e *Gateway) back(f *flight, how policy.Outcome, units float64) {
	if e.net.Partitioned(e.Zone, f.h.Zone) || how == policy.Succeeded && e.net.DrawLostAnswer() {
		return
	}
	life := e.life
	e.q.ScheduleAfter(e.net.Delay(f.h.Zone, e.Zone), func() {
		if e.life != life || f.d.Ended {
			return
		}
		e.finish(f, how, units)
	})
}

// end gives a delivery up, unless it is over.
func (e *Gateway) end(d *model.Attempt, how policy.Outcome) {
	if f := e.flying[d]; f != nil && !d.Ended {
		if !d.Written && how == policy.TimedOut {
			how = policy.NoConnection
		} else if !d.Written && how == policy.Cancelled {
			how = policy.NotSent
		}
		e.finish(f, how, 0)
	}
}

// finish ends a delivery with its outcome, and lets the mind hear of it.
func (e *Gateway) finish(f *flight, how policy.Outcome, units float64) {
	d, inv := f.d, f.d.Invocation
	d.Ended = true
	d.ProvenNotRun = how == policy.Rejected || how == policy.NoConnection || how == policy.NotSent
	switch how {
	case policy.Succeeded, policy.Rejected, policy.Failed:
		if f.up && f.life == f.h.Incarnation {
			e.rest[f.h] = append(e.rest[f.h], connection{f.life, e.q.Now()})
		}
	default:
		e.close(f)
	}
	e.around.Trace(e.Slot, inv.Ref, "delivery ended: "+string(how))
	e.hear(func(now float64) {
		delete(e.flying, d)
		over := inv.Outcome != model.Pending
		if how == policy.Succeeded && !over {
			e.answer(inv, model.Served, 0)
		}
		e.Policy.AttemptEnded(now, inv.Ref, d.Number, policy.AttemptResult{
			Outcome: how, Final: over || how == policy.Succeeded,
			Duration: now - d.SentAt, ActualUnits: settled(e.day, units, how),
		})
		e.drop(inv)
	})
}

func settled(d *scenario.Day, units float64, how policy.Outcome) float64 {
	if d.Counter.Settles && how == policy.Succeeded {
		return units
	}
	return 0
}

// close ends a connection; the host hears of it a way later, and drops work that waits.
func (e *Gateway) close(f *flight) {
	if !f.up || f.life != f.h.Incarnation {
		e.around.AttemptReleased(f.d)
		return
	}
	if e.net.Partitioned(e.Zone, f.h.Zone) { // it is not heard of; the connection stands there till the host tires of it
		e.q.ScheduleAfter(e.day.Network.Idle.V(), func() { e.closed(f) })
		return
	}
	e.q.ScheduleAfter(e.net.Delay(e.Zone, f.h.Zone), func() { e.closed(f) })
}

func (e *Gateway) closed(f *flight) {
	if f.life == f.h.Incarnation {
		f.h.Connections--
		if f.job != nil {
			f.h.Cancel(f.job)
		}
	}
	e.around.AttemptReleased(f.d)
}

func (e *Gateway) answer(inv *model.Invocation, how model.Outcome, retryAfter float64) {
	room := e.around.InvocationAnswered(inv, how)
	e.around.Trace(e.Slot, inv.Ref, "final answer: "+model.OutcomeNames[how])
	e.q.ScheduleAfter(e.net.Delay(e.Zone, e.Zone), func() {
		if e.q.Now() <= inv.GiveUpAt+0.05 {
			e.around.DeliverAnswer(inv, how, retryAfter, room)
		}
	})
}

// Throttle, GiveUp: final answers.
func (e *Gateway) Throttle(ref string, retryAfter float64) { e.final(ref, model.Throttled, retryAfter) }
func (e *Gateway) Fail(ref string)                         { e.final(ref, model.Errored, 0) }

func (e *Gateway) final(ref string, how model.Outcome, retryAfter float64) {
	if inv := e.inHand[ref]; inv != nil {
		e.answer(inv, how, retryAfter)
		e.drop(inv)
	}
}

// Cancel withdraws a delivery.
func (e *Gateway) CancelAttempt(ref string, number int) {
	if inv := e.inHand[ref]; inv != nil && number >= 0 && number < len(inv.Attempts) {
		e.end(inv.Attempts[number], policy.Cancelled)
	}
}

// Count calls the counter. The mind hears one outcome, at the latest when the call is given up.
func (e *Gateway) AddCount(name uint64, amount, life float64) {
	now, mine := e.q.Now(), e.life
	heard := false
	tell := func(how policy.Outcome, sum float64) {
		if heard || e.life != mine {
			return
		}
		heard = true
		e.around.CounterCalled(how != policy.Succeeded)
		e.hear(func(at float64) { e.Policy.CounterReplied(at, name, how, sum, at-now) })
	}
	e.q.ScheduleAfter(e.day.Counter.Limit.V(), func() { tell(policy.TimedOut, 0) })
	if !e.counter.AcceptsConnections() {
		e.q.ScheduleAfter(2*e.net.Delay(e.Zone, e.czone), func() { tell(policy.NoConnection, 0) })
		return
	}
	if e.net.Partitioned(e.Zone, e.czone) {
		return
	}
	part := int(name % uint64(e.day.Counter.Parts.N()))
	e.q.ScheduleAfter(e.net.Delay(e.Zone, e.czone), func() {
		e.counter.Add(e.SeesSplitCopy, name, amount, life, func(how countermodel.Outcome, sum float64) {
			if e.net.Partitioned(e.Zone, e.czone) {
				return
			}
			at := max(e.lastSum[part], e.q.Now()+e.net.Delay(e.czone, e.Zone)) // answers keep their order
			if e.life == mine {
				e.lastSum[part] = at
			}
			e.q.Schedule(at, func() {
				switch how {
				case countermodel.Added:
					tell(policy.Succeeded, sum)
				case countermodel.Rejected:
					tell(policy.Rejected, 0)
				case countermodel.ConnectionRefused:
					tell(policy.NoConnection, 0)
				}
			})
		})
	})
}

// Tell mails a text to a peer or all; Log notes a line; Wake sets the timer.
func (e *Gateway) SendPeer(to int, text string) { e.around.SendPeerMessage(e.Slot, to, text) }
func (e *Gateway) Log(text string)              { e.around.Trace(e.Slot, "", text) }

func (e *Gateway) SetTimer(nonce uint64, at float64) {
	life := e.life
	e.q.Schedule(at, func() {
		if e.life == life && e.Alive {
			e.hear(func(now float64) { e.Policy.TimerFired(now, nonce) })
		}
	})
}

var _ policydriver.Output = (*Gateway)(nil)
