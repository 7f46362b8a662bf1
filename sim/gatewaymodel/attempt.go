package gatewaymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
)

// FinalAttemptMargin is how many seconds before its client times out the last attempt is ended. The real api gateway uses the same.
const FinalAttemptMargin = 0.008

// flight is an attempt that has not ended for the gateway, with its connection and its job at the host.
type flight struct {
	attempt     *model.Attempt
	host        *hostmodel.Host
	job         *hostmodel.Job // nil until the attempt has reached the host
	dialled     bool           // the attempt uses a new connection
	connected   bool           // the connection is established and counts at the host
	incarnation int            // of the host, when the connection was established
}

// onSameHost reports whether the connection is established and the host has not been down since.
func (f *flight) onSameHost() bool { return f.connected && f.incarnation == f.host.Incarnation }

// Send begins an attempt that times out after timeout seconds, or FinalAttemptMargin before its client gives up if that is earlier or
// timeout is 0.
func (g *Gateway) Send(ref, addr string, timeout float64) {
	invocation := g.pending[ref]
	host := g.environment.Host(addr)
	if invocation == nil || host == nil {
		return
	}
	now := g.clock.Now()
	limit := invocation.GiveUpAt - now - FinalAttemptMargin
	if timeout > 0 {
		limit = min(limit, timeout)
	}
	attempt := &model.Attempt{Invocation: invocation, Number: len(invocation.Attempts), Host: host.Number, SentAt: now}
	invocation.Attempts = append(invocation.Attempts, attempt)
	started := &flight{attempt: attempt, host: host}
	g.inFlight[attempt] = started
	g.environment.AttemptSent(attempt)
	g.environment.Trace(g.Slot, ref, "sent to "+addr)
	incarnation := g.incarnation
	g.clock.ScheduleAfter(limit, func() {
		if g.incarnation == incarnation {
			g.endAttempt(attempt, policy.TimedOut)
		}
	})
	if idle, ok := g.takeIdle(host); ok {
		started.connected = true
		started.incarnation = idle.incarnation
		g.write(started)
		return
	}
	g.dial(started)
}

// CancelAttempt cancels an attempt by its number.
func (g *Gateway) CancelAttempt(ref string, number int) {
	if invocation := g.pending[ref]; invocation != nil && number >= 0 && number < len(invocation.Attempts) {
		g.endAttempt(invocation.Attempts[number], policy.Cancelled)
	}
}

// write writes the attempt to its connection. It reaches the host in full after the network delay, even if the gateway ends the
// attempt in the meantime.
func (g *Gateway) write(f *flight) {
	f.attempt.Written = true
	if g.network.Partitioned(g.Zone, f.host.Zone) {
		return
	}
	g.afterDelayTo(f.host.Zone, func() { g.reachHost(f) })
}

func (g *Gateway) reachHost(f *flight) {
	if f.incarnation != f.host.Incarnation { // the host has restarted or stopped in the meantime, so the connection is reset
		g.replyFromHost(f, policy.Reset, 0)
		return
	}
	reset, beforeWork := g.network.DrawReset()
	if reset && beforeWork {
		g.replyFromHost(f, policy.Reset, 0)
		return
	}
	g.environment.AttemptReached(f.attempt)
	f.job = g.newJob(f, reset)
	f.host.Submit(f.job)
	if f.attempt.Ended {
		f.host.Cancel(f.job)
		g.environment.AttemptReleased(f.attempt)
	}
}

// newJob returns the job of an attempt at its host. With reset, the connection is reset instead of carrying the answer.
func (g *Gateway) newJob(f *flight, reset bool) *hostmodel.Job {
	request := f.attempt.Invocation.Request
	job := &hostmodel.Job{Operation: request.Operation.Number, Work: request.Work, Gateway: g.Slot}
	if f.dialled { // establishing the connection costs the host work, which delays this request
		job.Work += f.host.ConnectWork
	}
	job.OnStart = func() { g.environment.AttemptStarted(f.attempt) }
	job.OnAnswer = func(answer hostmodel.Answer) {
		g.environment.AttemptReleased(f.attempt)
		g.replyFromHost(f, attemptOutcome(answer, reset), request.ActualUnits)
	}
	return job
}

// attemptOutcome returns the outcome that a gateway derives from a host's answer.
func attemptOutcome(answer hostmodel.Answer, reset bool) policy.Outcome {
	switch {
	case answer == hostmodel.Rejected:
		return policy.Rejected
	case reset, answer == hostmodel.Reset:
		return policy.Reset
	case answer == hostmodel.Succeeded:
		return policy.Succeeded
	}
	return policy.Failed
}

// replyFromHost delivers a host's reply to the gateway, unless the network loses it.
func (g *Gateway) replyFromHost(f *flight, outcome policy.Outcome, units float64) {
	if g.network.Partitioned(g.Zone, f.host.Zone) || outcome == policy.Succeeded && g.network.DrawLostAnswer() {
		return
	}
	incarnation := g.incarnation
	g.clock.ScheduleAfter(g.network.Delay(f.host.Zone, g.Zone), func() {
		if g.incarnation == incarnation && !f.attempt.Ended {
			g.finishAttempt(f, outcome, units)
		}
	})
}

// endAttempt ends an attempt that has not ended yet. An attempt that was not written in full cannot have run, and its outcome says so.
func (g *Gateway) endAttempt(attempt *model.Attempt, outcome policy.Outcome) {
	f := g.inFlight[attempt]
	if f == nil || attempt.Ended {
		return
	}
	if !attempt.Written {
		switch outcome {
		case policy.TimedOut:
			outcome = policy.NoConnection
		case policy.Cancelled:
			outcome = policy.NotSent
		}
	}
	g.finishAttempt(f, outcome, 0)
}

// finishAttempt ends an attempt with its outcome and notifies the policy.
func (g *Gateway) finishAttempt(f *flight, outcome policy.Outcome, units float64) {
	attempt := f.attempt
	invocation := attempt.Invocation
	attempt.Ended = true
	attempt.ProvenNotRun = outcome == policy.Rejected || outcome == policy.NoConnection || outcome == policy.NotSent
	switch outcome {
	case policy.Succeeded, policy.Rejected, policy.Failed:
		g.putIdle(f)
	default:
		g.closeConnection(f)
	}
	g.environment.Trace(g.Slot, invocation.Ref, "delivery ended: "+string(outcome))
	g.handle(func(now float64) {
		delete(g.inFlight, attempt)
		answered := invocation.Outcome != model.Pending
		if outcome == policy.Succeeded && !answered {
			g.answer(invocation, model.Served, 0)
		}
		g.Policy.AttemptEnded(now, invocation.Ref, attempt.Number, policy.AttemptResult{
			Outcome:     outcome,
			Final:       answered || outcome == policy.Succeeded,
			Duration:    now - attempt.SentAt,
			ActualUnits: g.settledUnits(units, outcome),
		})
		g.forget(invocation)
	})
}

// settledUnits returns the units that an attempt used according to the host, or 0 unless the quota is settled by actual usage.
func (g *Gateway) settledUnits(units float64, outcome policy.Outcome) float64 {
	if g.scenario.Counter.Settles && outcome == policy.Succeeded {
		return units
	}
	return 0
}
