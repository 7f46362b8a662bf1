package overload

import (
	"fmt"
	"math"
)

// breakerState is how all hosts together are seen. Its texts are those of the log.
type breakerState int

const (
	// breakerClosed lets every attempt pass.
	breakerClosed breakerState = iota
	// breakerOpen means that no host answers: only probes pass.
	breakerOpen
	// breakerHalfOpen means that one host has answered, or a peer says so: more passes with each answer.
	breakerHalfOpen
)

func (s breakerState) String() string { return [...]string{"calm", "silent", "returning"}[s] }

// Weights of unanswered attempts. With the part q of the hosts silent, n attempts in a row go to silent ones with a chance of
// q to the power of n, and the next answer of any host ends the error.
const (
	// openAlone opens the breaker by this gateway's own attempts.
	openAlone = 6.0
	// askPeers is from where on peers are asked for what they see.
	askPeers = 3.0
	// openConfirmed opens it where peers report the same.
	openConfirmed = 1.0
	// minSilentHosts is how many hosts must be silent where as many are listed.
	minSilentHosts = 3
)

const (
	// fleetProbeRate is how many probes a second all gateways together send into an outage whose end is told by messages.
	fleetProbeRate = 20.0
	// fleetProbeRateNoMessages is that where each gateway has to find the end by itself.
	fleetProbeRateNoMessages = 600.0
	// maxProbeRate is the most probes a second of one gateway.
	maxProbeRate = 6.0
)

const (
	// closeAtWindow is how many attempts may be in flight when a recovery counts as over.
	closeAtWindow = 16.0
	// closeAfter is how many seconds after the first answer it counts as over at the latest.
	closeAfter = 0.5
	// windowAfterAnswer and windowAfterReport are the attempts in flight with which a recovery begins.
	windowAfterAnswer = 2
	windowAfterReport = 1
	// probesOnlyBelow is the window under which an attempt of a recovery is a probe.
	probesOnlyBelow = 3
	// recoverySpread is over how many seconds many gateways begin again, each at a moment of its own.
	recoverySpread = 0.4
	// gatewaysPerHost is how many gateways a host can take at once; where there are more, they use all of recoverySpread.
	gatewaysPerHost = 4
)

// noReporter stands for this gateway's own observation.
const noReporter = -1

// breaker is a circuit breaker over all hosts of one gateway. [Controller] holds the decisions that move it.
type breaker struct {
	state       breakerState
	openedAt    float64 // of this outage
	probes      float64 // sent in this outage
	nextProbeAt float64 // open: no attempt before
	admitFrom   float64 // half-open: no attempt before
	window      float64 // half-open: how many may be in flight that began since admitFrom
	answeredAt  float64 // half-open: when an answer came here; 0: none has
	reporter    int     // half-open: the peer by whose report, or noReporter
}

// AllowsAttempt says whether an attempt may begin now.
func (c *Controller) AllowsAttempt(now float64) bool {
	if c == nil {
		return true
	}
	b := &c.breaker
	switch b.state {
	case breakerOpen:
		return now >= b.nextProbeAt
	case breakerHalfOpen:
		return now >= b.admitFrom && c.attempts.inFlightSince(b.admitFrom) < b.window
	}
	return true
}

// ProbesOnly says that an attempt that begins now is a probe, and so must be of an operation that may run again.
func (c *Controller) ProbesOnly() bool {
	if c == nil {
		return false
	}
	b := &c.breaker
	return b.state == breakerOpen || b.state == breakerHalfOpen && b.window < probesOnlyBelow
}

// probeInterval draws the time until this gateway's next probe, so that all together probe at the fleet's rate at any number of
// them, and no two that lost sight in the same moment probe in the same one. A dead gateway is simply not drawn.
func (c *Controller) probeInterval() float64 {
	fleetRate := fleetProbeRate
	if c.messageRate == 0 {
		fleetRate = fleetProbeRateNoMessages
	}
	return max(1/maxProbeRate, c.liveGateways/fleetRate) * (0.5 + c.random.Float64())
}

// Evaluate judges whether hosts answer. It is to be called often while attempts are in flight.
func (c *Controller) Evaluate(now float64) {
	if c == nil {
		return
	}
	c.attempts.prune(now)
	from := math.Inf(-1)
	if c.breaker.state == breakerHalfOpen { // what was sent into the outage says nothing of the recovery
		from = c.breaker.admitFrom
	}
	weight, hosts := c.attempts.silence(now, from)
	fewHosts := hosts < min(minSilentHosts, c.listedHosts)
	switch c.breaker.state {
	case breakerClosed:
		c.evaluateClosed(now, weight, hosts, fewHosts)
	case breakerHalfOpen:
		c.evaluateHalfOpen(now, weight, fewHosts)
	case breakerOpen:
	}
}

func (c *Controller) evaluateClosed(now, weight float64, hosts int, fewHosts bool) {
	silent, answering := c.peers.counts(now)
	needed := openAlone
	if answering > silent { // half of the hosts silent looks like all from here now and then
		needed = 2 * openAlone
	}
	confirmed := weight >= openConfirmed && silent >= quorum && silent > 2*answering
	switch {
	case weight >= needed && !fewHosts || confirmed:
		c.open(now, fmt.Sprintf("%.0f deliveries to %d hosts without an answer, %d peers say the same", weight, hosts, silent))
	case weight >= askPeers && !fewHosts && !c.peers.asked:
		c.peers.asked = true
		c.sendSampled(reportSilent)
	}
}

func (c *Controller) evaluateHalfOpen(now, weight float64, fewHosts bool) {
	b := &c.breaker
	if b.answeredAt == 0 {
		if weight < 1 || now < b.admitFrom {
			return
		}
		if b.reporter != noReporter { // a wrong report costs one attempt here, and is not believed again at once
			c.peers.distrust(now, b.reporter)
		}
		c.open(now, "a peer had an answer, here there is none")
		return
	}
	switch {
	case weight >= max(2, b.window/2) && !fewHosts:
		c.open(now, fmt.Sprintf("%.0f without an answer while coming back", weight))
	case b.window > closeAtWindow || now-b.answeredAt > closeAfter:
		c.transition(breakerClosed, now, fmt.Sprintf("silent for %.2f s", now-b.openedAt))
	}
}

// open lets only probes pass from now on.
func (c *Controller) open(now float64, reason string) {
	b := &c.breaker
	if b.state == breakerClosed {
		b.openedAt = now
		b.probes = 0
		c.sendSampled(reportSilent)
	}
	c.transition(breakerOpen, now, reason)
	b.nextProbeAt = now + c.probeInterval()*c.random.Float64()
	c.outbox.nextReportAt = now + c.liveGateways/fleetReportRate*2*c.random.Float64()
}

// halfOpenByAnswer begins a recovery by an answer that came here.
func (c *Controller) halfOpenByAnswer(now float64) {
	c.transition(breakerHalfOpen, now, "answered here")
	b := &c.breaker
	b.admitFrom = now
	b.window = windowAfterAnswer
	b.answeredAt = now
	b.reporter = noReporter
}

// halfOpenByReport begins one by a peer's report. All gateways at once would be the next outage: the more they are beside the
// hosts, the longer they take to begin, each with one attempt.
func (c *Controller) halfOpenByReport(now float64, peer int) {
	c.transition(breakerHalfOpen, now, fmt.Sprintf("api gateway %d had an answer", peer))
	b := &c.breaker
	hosts := float64(gatewaysPerHost * max(1, c.listedHosts))
	b.admitFrom = now + recoverySpread*min(1, c.liveGateways/hosts)*c.random.Float64()
	b.window = windowAfterReport
	b.answeredAt = 0
	b.reporter = peer
}

func (c *Controller) transition(to breakerState, now float64, reason string) {
	b := &c.breaker
	if b.state != to {
		c.outbox.logLines = append(c.outbox.logLines, fmt.Sprintf("overload: hosts %v, were %v: %s; %s, %.0f trials",
			to, b.state, reason, c.amplification.logText(now), b.probes))
	}
	b.state = to
}

// answerSeen is told of an attempt that began at startedAt and was answered.
func (c *Controller) answerSeen(now, startedAt float64) {
	c.attempts.lastAnsweredAt = max(c.attempts.lastAnsweredAt, startedAt)
	c.peers.asked = false
	b := &c.breaker
	switch b.state {
	case breakerClosed:
		// A few gateways whose own links are broken see all hosts silent: an answer to what began since they said so
		// speaks against them.
		if c.peers.takeContradiction(startedAt) {
			c.sendSampled(reportAnswering)
		}
	case breakerOpen:
		if startedAt < b.openedAt-c.attempts.lateAfter() { // of before the outage: it was only slow
			return
		}
		c.send(reportAnswering)
		c.halfOpenByAnswer(now)
	case breakerHalfOpen:
		if b.answeredAt == 0 {
			b.answeredAt = now
		}
		b.window++
	}
}
