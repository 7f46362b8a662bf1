// Package policydriver holds the order in which the deciding module is called. The api gateway on sockets, the adapter of
// the line protocol and the laboratory all go by it. It must never open a socket, read a clock or decide anything.
package policydriver

import (
	"math"

	"otterseam/gateway/policy"
)

// Turns asks the module about each invocation whose turn it is, until there is none.
func Turns(m *policy.Gateway, now float64, act func(*policy.Invocation, policy.Decision)) {
	for inv := m.Next(now); inv != nil; inv = m.Next(now) {
		act(inv, m.Decide(now, inv))
	}
}

// Timer is one of an api gateway's two timers, for the module's ticks and for what api gateways say to each other, whose
// rhythm is another: the sooner of what was asked for.
type Timer struct {
	at float64 // clock time in seconds; 0: not set
}

// Due says whether the module is to look at things now.
func (t *Timer) Due(now float64) bool { return t.at > 0 && now >= t.at }

// Rang takes the timer back.
func (t *Timer) Rang() { t.at = 0 }

// Next takes how long it can wait. It gives when to ring, in clock seconds, and whether that is news.
func (t *Timer) Next(wait, now float64) (at float64, news bool) {
	next := now + wait
	if t.at > 0 && t.at <= next || math.IsInf(next, 1) {
		return t.at, false
	}
	t.at = next
	return next, true
}

// Out is what an Instance asks of whoever carries out its decisions. Refs are those it was given.
type Out interface {
	Send(ref, host string, within float64) // within, in seconds, 0: until its client gives up
	Throttle(ref string, retryAfter float64)
	GiveUp(ref string)
	CancelAttempt(ref string, number int)
	AddCount(name uint64, amount, life float64)
	SendPeer(to int, text string)
	Log(text string)
	Wake(nonce uint64, at float64)
}

// Instance is one api gateway with its invocations in hand and its one timer, known to the outside by refs.
type Instance struct {
	out    Out
	module *policy.Gateway
	invs   map[string]*policy.Invocation
	timer  Timer
	meets  Timer
	nonce  uint64 // of the last ring asked for: even for ticks, odd for meetings
	met    uint64
}

// New makes an instance whose module is made by start, with the instance as its way out.
func New(out Out, start func(policy.Output) (*policy.Gateway, error)) (*Instance, error) {
	in := &Instance{out: out, invs: map[string]*policy.Invocation{}, met: 1}
	var err error
	in.module, err = start(in)
	return in, err
}

// Hosts tells of the list of hosts, or of changes to it.
func (in *Instance) Hosts(now float64, list []policy.HostEntry, whole bool) {
	in.module.UpdateHosts(now, list, whole)
	in.turns(now)
}

// Take brings in an invocation.
func (in *Instance) Take(now float64, a policy.Request) {
	in.invs[a.Ref] = in.module.Accept(now, a)
	in.turns(now)
}

// Ended tells how a delivery ended. A ref or number that is not in hand is passed over.
func (in *Instance) Ended(now float64, ref string, number int, e policy.AttemptResult) {
	if inv := in.invs[ref]; inv != nil && number >= 0 && number < len(inv.Attempts) {
		in.act(inv, in.module.AttemptEnded(now, inv.Attempts[number], e))
	}
	in.turns(now)
}

// Gone tells that a client has left, or that its invocation is over in another way.
func (in *Instance) Gone(now float64, ref string) {
	if inv := in.invs[ref]; inv != nil {
		in.module.Abandon(now, inv)
		in.drop(inv)
	}
	in.turns(now)
}

// Ring tells that a timer fell due; one that has been overtaken by a sooner one makes the module look all the same.
func (in *Instance) Ring(now float64, nonce uint64) {
	if nonce%2 == 1 {
		if nonce == in.met {
			in.meets.Rang()
			in.module.RefreshMembership(now)
		}
		return
	}
	if nonce == in.nonce {
		in.timer.Rang()
	}
	in.module.Tick(now)
	in.turns(now)
}

// Told brings a peer's message.
func (in *Instance) Told(now float64, from int, text string) {
	in.module.PeerMessage(now, from, text)
	in.turns(now)
}

// Counted brings the answer to a call to the counter.
func (in *Instance) Counted(now float64, name uint64, how policy.Outcome, sum, took float64) {
	in.module.CounterReplied(now, name, how, sum, took)
	in.turns(now)
}

// Settle ends a batch of what was told at one moment: the timer is set anew if it must ring sooner.
func (in *Instance) Settle(now float64) {
	if at, news := in.timer.Next(in.module.TickDelay(now), now); news {
		in.nonce += 2
		in.out.Wake(in.nonce, at)
	}
	if at, news := in.meets.Next(in.module.MembershipDelay(now), now); news {
		in.met += 2
		in.out.Wake(in.met, at)
	}
}

func (in *Instance) turns(now float64) { Turns(in.module, now, in.act) }

func (in *Instance) act(inv *policy.Invocation, a policy.Decision) {
	switch a.Action {
	case policy.Send:
		in.out.Send(inv.Ref, a.Host.Addr, a.Timeout)
	case policy.Throttle:
		in.out.Throttle(inv.Ref, a.RetryAfter)
	case policy.Fail:
		in.out.GiveUp(inv.Ref)
	}
	in.drop(inv)
}

func (in *Instance) drop(inv *policy.Invocation) {
	if inv.Finished() {
		delete(in.invs, inv.Ref)
	}
}

// What belongs to no single invocation leaves here.

func (in *Instance) AddCount(name uint64, amount, life float64) { in.out.AddCount(name, amount, life) }
func (in *Instance) CancelAttempt(d *policy.Attempt) {
	in.out.CancelAttempt(d.Invocation.Ref, d.Number)
}
func (in *Instance) SendPeer(to int, text string) { in.out.SendPeer(to, text) }
func (in *Instance) Log(text string)              { in.out.Log(text) }
