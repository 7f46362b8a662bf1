package policydriver

import "otterseam/gateway/policy"

// DecideAll requests a decision for each invocation that the policy returns, until there are no more, and passes each decision
// to act.
func DecideAll(gateway *policy.Gateway, now float64, act func(*policy.Invocation, policy.Decision)) {
	for inv := gateway.Next(now); inv != nil; inv = gateway.Next(now) {
		act(inv, gateway.Decide(now, inv))
	}
}

// Output carries out a Driver's decisions. References are those of the requests passed to Accept.
type Output interface {
	// Send starts an attempt that times out after timeout seconds, or at its client's deadline if timeout is 0.
	Send(ref, host string, timeout float64)
	// Throttle sends the final answer that the client may retry after retryAfter seconds.
	Throttle(ref string, retryAfter float64)
	// Fail sends the final answer that the invocation failed.
	Fail(ref string)
	// CancelAttempt cancels an attempt by its number.
	CancelAttempt(ref string, number int)
	// AddCount adds amount to a count of the counter service that is kept for life seconds.
	AddCount(name uint64, amount, life float64)
	// SendPeer sends a message to the API gateway with the given number, or to all others if to is membership.Broadcast.
	SendPeer(to int, text string)
	Log(text string)
	// SetTimer requests a call of TimerFired with this nonce at a clock time.
	SetTimer(nonce uint64, at float64)
}

// Driver runs the policy of one API gateway. It holds the invocations, which callers identify by reference, and the timers.
type Driver struct {
	output          Output
	gateway         *policy.Gateway
	invocations     map[string]*policy.Invocation
	tickTimer       Timer
	membershipTimer Timer
	tickNonce       uint64 // nonce of the last timer for Tick; even
	membershipNonce uint64 // nonce of the last timer for RefreshMembership; odd
}

// New returns a driver. start creates its policy, with the driver as the policy's output.
func New(output Output, start func(policy.Output) (*policy.Gateway, error)) (*Driver, error) {
	d := &Driver{output: output, invocations: map[string]*policy.Invocation{}, membershipNonce: 1}
	var err error
	d.gateway, err = start(d)
	return d, err
}

// UpdateHosts applies a list of hosts. If complete is set it replaces the known list, otherwise it holds only changes.
func (d *Driver) UpdateHosts(now float64, list []policy.HostEntry, complete bool) {
	d.gateway.UpdateHosts(now, list, complete)
	d.decideAll(now)
}

// Accept registers a new invocation.
func (d *Driver) Accept(now float64, r policy.Request) {
	d.invocations[r.Ref] = d.gateway.Accept(now, r)
	d.decideAll(now)
}

// AttemptEnded processes the result of an attempt. It ignores an unknown reference or number.
func (d *Driver) AttemptEnded(now float64, ref string, number int, result policy.AttemptResult) {
	if inv := d.invocations[ref]; inv != nil && number >= 0 && number < len(inv.Attempts) {
		d.carryOut(inv, d.gateway.AttemptEnded(now, inv.Attempts[number], result))
	}
	d.decideAll(now)
}

// Abandon ends an invocation whose client has disconnected or that ended in another way.
func (d *Driver) Abandon(now float64, ref string) {
	if inv := d.invocations[ref]; inv != nil {
		d.gateway.Abandon(now, inv)
		d.forgetFinished(inv)
	}
	d.decideAll(now)
}

// TimerFired processes the expiry of a timer. A timer for Tick makes the policy tick even if a sooner one has replaced it.
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

// PeerMessage processes a peer's message.
func (d *Driver) PeerMessage(now float64, from int, text string) {
	d.gateway.PeerMessage(now, from, text)
	d.decideAll(now)
}

// CounterReplied processes the end of a call to the counter.
func (d *Driver) CounterReplied(now float64, name uint64, outcome policy.Outcome, total, duration float64) {
	d.gateway.CounterReplied(now, name, outcome, total, duration)
	d.decideAll(now)
}

// SetTimers must be called after each batch of simultaneous events. It sets a timer anew if it must expire sooner.
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

// AddCount implements policy.Output.
func (d *Driver) AddCount(name uint64, amount, life float64) { d.output.AddCount(name, amount, life) }

// CancelAttempt implements policy.Output.
func (d *Driver) CancelAttempt(attempt *policy.Attempt) {
	d.output.CancelAttempt(attempt.Invocation.Ref, attempt.Number)
}

// SendPeer implements policy.Output.
func (d *Driver) SendPeer(to int, text string) { d.output.SendPeer(to, text) }

// Log implements policy.Output.
func (d *Driver) Log(text string) { d.output.Log(text) }
