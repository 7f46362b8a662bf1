package policy

import (
	"fmt"
	"math"
	"slices"
)

const (
	// Weights of a new value in moving averages: of latencies, of a host's slowness after an answer and after a time-out, of the
	// gap between its answers, and of the rate of failed connections. connectFailureDecay is the weight of the previous rate.
	latencyGain         = 0.05
	slownessGain        = 0.2
	timeoutSlownessGain = 0.12
	answerGapGain       = 0.1
	connectFailureGain  = 0.03
	connectFailureDecay = 0.97
	// baseLatencyRise and bestSlownessRise are the factors by which an operation's base latency and a host's best slowness may
	// rise per answer. They are small so that during a long overload high latency does not become the baseline, which would let
	// the limits creep up.
	baseLatencyRise  = 1.0001
	bestSlownessRise = 1.0005
	// Backoff from a host after a failure, in seconds: failureBackoff doubles with each consecutive failure, up to
	// maxFailureBackoff.
	failureBackoff    = 0.02
	maxFailureBackoff = 1
	// ejectionFailures is the number of consecutive failures after which a host is ejected.
	ejectionFailures = 3
	// Suspicion above which a host is ejected for its silence, and above which a host is suspect, so that a second attempt is sent
	// beside a silent one to tell a silent host from a broken connection. A host is ejected by its suspicion only if this also
	// exceeds medianFactor times the median of the silent hosts.
	ejectionThreshold = 12
	suspectThreshold  = 2
	medianFactor      = 4
	// Suspicion is proportional to the number of silent attempts to the power of silentPower, and to the length of the silence
	// in units of suspicionGapUnit gaps between answers.
	silentPower      = 1.5
	suspicionGapUnit = 3
	// An ejected host is probed after minProbeInterval, which doubles with each failed probe up to maxProbeInterval. Both are in
	// seconds.
	minProbeInterval = 1
	maxProbeInterval = 8
	// readmittedLimit is the limit of the attempts in flight to a host when it is readmitted.
	readmittedLimit = 1
)

// hostHealth is the health of a host as observed by this instance.
type hostHealth struct {
	ejected       bool
	peerQueried   bool    // a peer asked whether the host answers
	failures      int     // consecutive
	backoffUntil  float64 // earliest time of the next attempt
	answerGap     float64 // s; mean time between successful answers, times attempts in flight; 0: no answer yet
	lastAnswerAt  float64 // last successful answer, or the start of an attempt while there was none in flight
	suspicion     float64 // how unusual the host's silence is
	probeAt       float64 // ejected: earliest time of the next probe
	probeInterval float64 // s between probes; 0: the host has answered since its last ejection
}

// isSuspect reports whether the host has a single attempt in flight that is silent. Its connection alone may be the cause, which
// another attempt of a repeatable operation will show.
func (h *Host) isSuspect() bool {
	return !h.health.ejected && len(h.inFlight) == 1 && h.health.suspicion > suspectThreshold
}

// observe updates latencies, limits and the host's health by the result of an attempt.
func (g *Gateway) observe(now float64, attempt *Attempt, result AttemptResult) {
	h, op := attempt.Host, attempt.Invocation.operation
	// A stuck attempt gives no evidence about its host if later ones were answered, nor does a time-out while all hosts are silent.
	if result.Outcome == TimedOut && (attempt.sentAt < h.health.lastAnswerAt || g.instance.Overload.ProbesOnly()) {
		return
	}
	g.hosts.connectFailureRate *= connectFailureDecay
	if result.Outcome == NoConnection {
		g.hosts.connectFailureRate += connectFailureGain
	}
	g.concurrency.observe(result.Outcome, result.Duration, op.LatencyTarget)
	switch result.Outcome {
	case Succeeded:
		g.observeSuccess(now, attempt, result.Duration)
	case TimedOut, Rejected, Failed, NoConnection, Reset: // consecutive time-outs count as failures too
		g.observeFailure(now, attempt, result)
	}
}

func (g *Gateway) observeSuccess(now float64, attempt *Attempt, duration float64) {
	h, op := attempt.Host, attempt.Invocation.operation
	op.meanLatency += latencyGain * (duration - op.meanLatency)
	g.meanLatency += latencyGain * (duration - g.meanLatency)
	op.baseLatency = min(op.meanLatency, op.baseLatency*baseLatencyRise)
	h.latency.slowness += slownessGain * (duration/op.baseLatency - h.latency.slowness)
	h.latency.best = min(h.latency.slowness, h.latency.best*bestSlownessRise)
	if h.health.answerGap == 0 {
		h.health.answerGap = op.meanLatency
	}
	h.health.answerGap += answerGapGain * ((now-h.health.lastAnswerAt)*float64(len(h.inFlight)+1) - h.health.answerGap)
	h.health.lastAnswerAt = now
	h.health.failures = 0
	h.health.probeInterval = 0
	h.health.suspicion = 0
	h.adaptLimit()
	reported := g.instance.Overload.HostAnswered(h.Addr, attempt.sentAt, h.health.ejected)
	if !reported && (h.health.ejected || h.health.peerQueried) {
		h.health.peerQueried = false
		g.broadcast(now, "+"+h.Addr)
	}
	g.readmit(h, fmt.Sprintf("answered in %.3f s", duration))
}

// observeFailure backs off from a host. Without this, a host that fails fast would attract most invocations.
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
	if h.health.failures >= ejectionFailures && result.Outcome != Rejected {
		g.eject(now, h, fmt.Sprintf("%d consecutive failures", h.health.failures))
	}
}

// evaluateSilence ejects hosts whose silence is unusual, by their past gaps between answers and by the silence of the other
// hosts. It ejects a host on weaker evidence if peers confirm it, and readmits hosts by peers' reports.
func (g *Gateway) evaluateSilence(now float64) {
	median := g.updateSuspicions(now)
	for _, h := range g.hosts.ordered {
		health := &h.health
		unusual := health.suspicion > medianFactor*median
		switch {
		case health.suspicion > ejectionThreshold && unusual:
			g.eject(now, h, fmt.Sprintf("silent for %.2f s, suspicion %.0f, median suspicion %.1f",
				now-health.lastAnswerAt, health.suspicion, median))
		case !health.ejected && (health.failures > 0 || health.suspicion > suspectThreshold && unusual) &&
			g.instance.Overload.EjectionConfirmed(now, h.Addr):
			g.eject(now, h, fmt.Sprintf("%d consecutive failures, suspicion %.1f, confirmed by peers",
				health.failures, health.suspicion))
		case g.instance.Overload.TakeRecovery(now, h.Addr):
			g.readmit(h, "a peer reported an answer")
		}
	}
}

// updateSuspicions computes how unusual each host's silence is. It returns the median over the silent hosts, or 0 if at most one
// is silent.
func (g *Gateway) updateSuspicions(now float64) float64 {
	var suspicions []float64
	for _, h := range g.hosts.ordered {
		// An attempt counts as stuck on its own if later ones were answered.
		stuck := func(a *Attempt) bool { return a.sentAt < h.health.lastAnswerAt && g.hasSlot(now, h) }
		silent := slices.DeleteFunc(slices.Clone(h.inFlight), stuck)
		h.health.suspicion = 0
		if h.active && !h.health.ejected && len(silent) > 0 && h.health.answerGap > 0 {
			since := max(h.health.lastAnswerAt, silent[0].sentAt)
			h.health.suspicion = (now - since) / h.health.answerGap * math.Pow(float64(len(silent)), silentPower) / suspicionGapUnit
			suspicions = append(suspicions, h.health.suspicion)
		}
	}
	if len(suspicions) < 2 {
		return 0
	}
	slices.Sort(suspicions)
	return suspicions[(len(suspicions)-1)/2]
}

// eject stops sending to a host, except for probes, unless more than half of the hosts would then be unused. Attempts in flight
// to the host are cancelled if they may be retried.
func (g *Gateway) eject(now float64, h *Host, reason string) {
	unused := 0
	for _, x := range g.hosts.ordered {
		if !x.active || x.health.ejected {
			unused++
		}
	}
	h.health.probeInterval = min(maxProbeInterval, max(minProbeInterval, 2*h.health.probeInterval))
	h.health.probeAt = now + g.instance.Overload.ProbeInterval(now, h.Addr, h.health.probeInterval)
	reported := g.instance.Overload.HostEjected(now, h.Addr, h.health.ejected)
	if h.health.ejected || 2*(1+unused) > len(g.hosts.ordered) {
		return
	}
	h.health.ejected = true
	g.output.Log("host " + h.Addr + " ejected: " + reason)
	if !reported {
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
func (g *Gateway) readmit(h *Host, reason string) {
	if !h.health.ejected {
		return
	}
	h.health.ejected = false
	h.health.failures = 0
	h.limit = readmittedLimit
	h.health.answerGap = 0
	g.output.Log("host " + h.Addr + " readmitted: " + reason)
}
