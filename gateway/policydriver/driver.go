package policydriver

import "otterseam/gateway/policy"

// DecideAll asks about each invocation that the policy names, until there is none, and hands each decision to act.
func DecideAll(gateway *policy.Gateway, now float64, act func(*policy.Invocation, policy.Decision)) {
	for inv := gateway.Next(now); inv != nil; inv = gateway.Next(now) {
		act(inv, gateway.Decide(now, inv))
	}
}

// Output carries out a Driver's decisions. References are those of the invocations that it was given.
type Output interface {
	// Send begins an attempt that is given up after timeout seconds; 0: when its client gives up.
	Send(ref, host string, timeout float64)
	// Throttle gives the final answer that the client may come back after so many seconds.
	Throttle(ref string, retryAfter float64)
	// Fail gives the final answer that the invocation failed.
	Fail(ref string)
	// CancelAttempt cancels an attempt by its number.
	CancelAttempt(ref string, number int)
	// AddCount adds amount to a count of the counter service that lives for life seconds.
	AddCount(name uint64, amount, life float64)
	// SendPeer sends to the API gateway of that number, or to every other one: membership.Broadcast.
	SendPeer(to int, text string)
	Log(text string)
	// SetTimer asks for TimerFired with this nonce at a clock time.
	SetTimer(nonce uint64, at float64)
}

// Driver is the policy of one API gateway with its invocations and timers, known to the outside by references.
type Driver struct {
	output          Output
	gateway         *policy.Gateway
	invocations     map[string]*policy.Invocation
	tickTimer       Timer
	membershipTimer Timer
	tickNonce       uint64 // of the last timer set for ticks: even
	membershipNonce uint64 // of the last timer set for membership: odd
}

// New makes a driver whose policy is made by start, with the driver as its output.
func New(output Output, start func(policy.Output) (*policy.Gateway, error)) (*Driver, error) {
	d := &Driver{output: output, invocations: map[string]*policy.Invocation{}, membershipNonce: 1}
	var err error
	d.gateway, err = start(d)
	return d, err
}

// UpdateHosts takes the list of hosts, or changes to it where it is not complete.
func (d *Driver) UpdateHosts(now float64, list []policy.HostEntry, complete bool) {
	d.gateway.UpdateHosts(now, list, complete)
	d.decideAll(now)
}

// Accept takes in an invocation.
func (d *Driver) Accept(now float64, r policy.Request) {
	d.invocations[r.Ref] = d.gateway.Accept(now, r)
	d.decideAll(now)
}

// AttemptEnded takes how an attempt ended. A reference or number that is not known is passed over.
func (d *Driver) AttemptEnded(now float64, ref string, number int, result policy.AttemptResult) {
	if inv := d.invocations[ref]; inv != nil && number >= 0 && number < len(inv.Attempts) {
		d.carryOut(inv, d.gateway.AttemptEnded(now, inv.Attempts[number], result))
	}
	d.decideAll(now)
}

// Abandon takes that a client has left, or that its invocation is over in another way.
func (d *Driver) Abandon(now float64, ref string) {
	if inv := d.invocations[ref]; inv != nil {
		d.gateway.Abandon(now, inv)
		d.forgetFinished(inv)
	}
	d.decideAll(now)
}

// TimerFired takes that a timer ran out. One for ticks that was overtaken by a sooner one makes the policy tick all the same.
func (d *Driver) TimerFired(now float64, nonce uint64) {
	if nonce%2 == 1 {
		if nonce == d.membershipNonce {
			d.membershipTimer.Clear()
			d.gateway.RefreshMembership(now)
		}
		return
	}
	if nonce == d.tickNonce {
		d.tickTimer.Clear()
	}
	d.gateway.Tick(now)
	d.decideAll(now)
}

// PeerMessage takes a peer's message.
func (d *Driver) PeerMessage(now float64, from int, text string) {
	d.gateway.PeerMessage(now, from, text)
	d.decideAll(now)
}

// CounterReplied takes the end of a call to the counter.
func (d *Driver) CounterReplied(now float64, name uint64, outcome policy.Outcome, total, took float64) {
	d.gateway.CounterReplied(now, name, outcome, total, took)
	d.decideAll(now)
}

// SetTimers ends a batch of what happened at one moment: a timer that must run out sooner is set anew.
func (d *Driver) SetTimers(now float64) {
	if at, changed := d.tickTimer.Schedule(d.gateway.TickDelay(now), now); changed {
		d.tickNonce += 2
		d.output.SetTimer(d.tickNonce, at)
	}
	if at, changed := d.membershipTimer.Schedule(d.gateway.MembershipDelay(now), now); changed {
		d.membershipNonce += 2
		d.output.SetTimer(d.membershipNonce, at)
	}
}

func (d *Driver) decideAll(now float64) { DecideAll(d.gateway, now, d.carryOut) }

func (d *Driver) carryOut(inv *policy.Invocation, decision policy.Decision) {
	switch decision.Action {
	case policy.Send:
		d.output.Send(inv.Ref, decision.Host.Addr, decision.Timeout)
	case policy.Throttle:
		d.output.Throttle(inv.Ref, decision.RetryAfter)
	case policy.Fail:
		d.output.Fail(inv.Ref)
	}
	d.forgetFinished(inv)
}

func (d *Driver) forgetFinished(inv *policy.Invocation) {
	if inv.Finished() {
		delete(d.invocations, inv.Ref)
	}
}

// AddCount passes on what the policy puts out.
func (d *Driver) AddCount(name uint64, amount, life float64) { d.output.AddCount(name, amount, life) }

// CancelAttempt passes on what the policy puts out.
func (d *Driver) CancelAttempt(attempt *policy.Attempt) {
	d.output.CancelAttempt(attempt.Invocation.Ref, attempt.Number)
}

// SendPeer passes on what the policy puts out.
func (d *Driver) SendPeer(to int, text string) { d.output.SendPeer(to, text) }

// Log passes on what the policy puts out.
func (d *Driver) Log(text string) { d.output.Log(text) }
