package policy

import (
	"fmt"
	"math"
	"slices"
)

const (
	// Weights of a new value in the means: of latencies, of a host's slowness after an answer and after a time-out, of the gap
	// between its answers, and of failed connections.
	latencyGain         = 0.05
	slownessGain        = 0.2
	timeoutSlownessGain = 0.12
	answerGapGain       = 0.1
	connectFailureGain  = 0.03
	connectFailureKept  = 0.97
	// baseLatencyRise and bestSlownessRise have an operation's base latency, and a host's best slowness, be forgotten slowly:
	// else a long press would teach that slow is normal, and limits would creep up.
	baseLatencyRise  = 1.0001
	bestSlownessRise = 1.0005
	// Backoff after a failure: failureBackoff doubles with each one in a row, up to maxFailureBackoff. In seconds.
	failureBackoff    = 0.02
	maxFailureBackoff = 1
	// ejectingFailures in a row eject a host.
	ejectingFailures = 3
	// Suspicion from which on a host is ejected for its silence, or an invocation is sent beside a silent one to tell the host
	// from the connection; either only if it is usualFactor times that of half of the others.
	ejectingSuspicion = 12
	doubtfulSuspicion = 2
	usualFactor       = 4
	// Suspicion grows with the silent attempts to this power, and is counted in suspicionGaps of the gap between answers.
	silentPower   = 1.5
	suspicionGaps = 3
	// An ejected host is probed after minProbeInterval, doubling up to maxProbeInterval. In seconds.
	minProbeInterval = 1
	maxProbeInterval = 8
	// readmittedLimit is the limit of attempts in flight with which a host comes back.
	readmittedLimit = 1
)

// hostHealth is how far a host is trusted.
type hostHealth struct {
	ejected       bool
	peerAsked     bool    // a peer asked for word of it
	failures      int     // in a row
	backoffUntil  float64 // nothing is sent to it before
	answerGap     float64 // s; mean of the time between good answers, times attempts in flight; 0: none has come
	lastAnswerAt  float64 // last good answer, or when it was given work after it had none
	suspicion     float64 // how unusual its silence is
	probeAt       float64 // ejected: no probe before
	probeInterval float64 // s between probes; 0: it has answered since it was last ejected
}

// doubtful says whether one attempt alone is silent, as its connection may be: another one, that may run again, will tell.
func (h *Host) doubtful() bool {
	return !h.health.ejected && len(h.inFlight) == 1 && h.health.suspicion > doubtfulSuspicion
}

// observe learns from how an attempt ended.
func (g *Gateway) observe(now float64, attempt *Attempt, result AttemptResult) {
	h, op := attempt.Host, attempt.Invocation.operation
	// One that is stuck, while others sent since are answered, tells nothing; nor does what all hosts have in common.
	if result.Outcome == TimedOut && (attempt.sentAt < h.health.lastAnswerAt || g.instance.Overload.ProbesOnly()) {
		return
	}
	g.hosts.connectFailureRate *= connectFailureKept
	if result.Outcome == NoConnection {
		g.hosts.connectFailureRate += connectFailureGain
	}
	g.concurrency.observe(result.Outcome, result.Duration, op.LatencyTarget)
	switch result.Outcome {
	case Succeeded:
		g.observeSuccess(now, attempt, result.Duration)
	case TimedOut, Rejected, Failed, NoConnection, Reset: // time-outs in a row are silence too
		g.observeFailure(now, attempt, result)
	}
}

func (g *Gateway) observeSuccess(now float64, attempt *Attempt, took float64) {
	h, op := attempt.Host, attempt.Invocation.operation
	op.meanLatency += latencyGain * (took - op.meanLatency)
	g.meanLatency += latencyGain * (took - g.meanLatency)
	op.baseLatency = min(op.meanLatency, op.baseLatency*baseLatencyRise)
	h.latency.slowness += slownessGain * (took/op.baseLatency - h.latency.slowness)
	h.latency.best = min(h.latency.slowness, h.latency.best*bestSlownessRise)
	if h.health.answerGap == 0 {
		h.health.answerGap = op.meanLatency
	}
	h.health.answerGap += answerGapGain * ((now-h.health.lastAnswerAt)*float64(len(h.inFlight)+1) - h.health.answerGap)
	h.health.lastAnswerAt = now
	h.health.failures = 0
	h.health.probeInterval = 0
	h.health.suspicion = 0
	h.adapt()
	told := g.instance.Overload.HostAnswered(h.Addr, attempt.sentAt, h.health.ejected)
	if !told && (h.health.ejected || h.health.peerAsked) {
		h.health.peerAsked = false
		g.broadcast(now, "+"+h.Addr)
	}
	g.readmit(h, fmt.Sprintf("answered in %.3f s", took))
}

// observeFailure backs off from a host. Guards against hosts that end work fast and badly and so draw it all.
func (g *Gateway) observeFailure(now float64, attempt *Attempt, result AttemptResult) {
	h, op := attempt.Host, attempt.Invocation.operation
	h.health.failures++
	backoff := min(maxFailureBackoff, failureBackoff*math.Exp2(float64(h.health.failures)))
	h.health.backoffUntil = max(h.health.backoffUntil, now+backoff)
	if result.Outcome == TimedOut {
		h.latency.slowness += timeoutSlownessGain *
			(max(h.latency.slowness, result.Duration/op.baseLatency) - h.latency.slowness)
	}
	h.limit = max(minHostLimit, h.limit*failureLimitDecrease)
	if h.health.failures >= ejectingFailures && result.Outcome != Rejected {
		g.eject(now, h, fmt.Sprintf("%d bad endings in a row", h.health.failures))
	}
}

// judgeSilence ejects hosts by how unusual their silence is, given the gaps between their answers so far and the silence of
// the others, or by what peers say too.
func (g *Gateway) judgeSilence(now float64) {
	usual := g.suspect(now)
	for _, h := range g.hosts.ordered {
		health := &h.health
		unusual := health.suspicion > usualFactor*usual
		switch {
		case health.suspicion > ejectingSuspicion && unusual:
			g.eject(now, h, fmt.Sprintf("silent %.2f s, %.0f gaps, fellows %.1f",
				now-health.lastAnswerAt, health.suspicion, usual))
		case !health.ejected && (health.failures > 0 || health.suspicion > doubtfulSuspicion && unusual) &&
			g.instance.Overload.EjectionConfirmed(now, h.Addr):
			g.eject(now, h, fmt.Sprintf("%d bad endings, %.1f gaps, and peers say the same",
				health.failures, health.suspicion))
		case g.instance.Overload.TakeRecovery(now, h.Addr):
			g.readmit(h, "a peer had an answer")
		}
	}
}

// suspect works out how unusual each host's silence is, and gives the median of those that are silent; 0: at most one is.
func (g *Gateway) suspect(now float64) float64 {
	var suspicions []float64
	for _, h := range g.hosts.ordered {
		// Guards against one attempt that is stuck while others sent since are answered.
		stuck := func(a *Attempt) bool { return a.sentAt < h.health.lastAnswerAt && g.hasSlot(now, h) }
		silent := slices.DeleteFunc(slices.Clone(h.inFlight), stuck)
		h.health.suspicion = 0
		if h.active && !h.health.ejected && len(silent) > 0 && h.health.answerGap > 0 {
			since := max(h.health.lastAnswerAt, silent[0].sentAt)
			h.health.suspicion = (now - since) / h.health.answerGap * math.Pow(float64(len(silent)), silentPower) / suspicionGaps
			suspicions = append(suspicions, h.health.suspicion)
		}
	}
	if len(suspicions) < 2 {
		return 0
	}
	slices.Sort(suspicions)
	return suspicions[(len(suspicions)-1)/2]
}

// eject stops sending to a host, except for probes, unless half of the hosts are out of use already. Attempts in flight there
// are cancelled where they may be sent again.
func (g *Gateway) eject(now float64, h *Host, why string) {
	unused := 0
	for _, x := range g.hosts.ordered {
		if !x.active || x.health.ejected {
			unused++
		}
	}
	h.health.probeInterval = min(maxProbeInterval, max(minProbeInterval, 2*h.health.probeInterval))
	h.health.probeAt = now + g.instance.Overload.ProbeInterval(now, h.Addr, h.health.probeInterval)
	told := g.instance.Overload.HostEjected(now, h.Addr, h.health.ejected)
	if h.health.ejected || 2*(1+unused) > len(g.hosts.ordered) {
		return
	}
	h.health.ejected = true
	g.output.Log("host " + h.Addr + " set aside: " + why)
	if !told {
		g.broadcast(now, "-"+h.Addr)
	}
	for _, attempt := range h.inFlight {
		inv := attempt.Invocation
		if g.limits.CanCancel && inv.stage == stageSent && g.mayRetry(now, inv) && inv.operation.Effect != NonIdempotent {
			g.output.CancelAttempt(attempt)
		}
	}
}

// readmit ends a host's ejection.
func (g *Gateway) readmit(h *Host, why string) {
	if !h.health.ejected {
		return
	}
	h.health.ejected = false
	h.health.failures = 0
	h.limit = readmittedLimit
	h.health.answerGap = 0
	g.output.Log("host " + h.Addr + " back: " + why)
}
