package overload

import (
	"fmt"
	"math"
)

// breakerState is the state of the circuit breaker over all hosts. String returns the name used in the log.
type breakerState int

const (
	// breakerClosed allows every attempt.
	breakerClosed breakerState = iota
	// breakerOpen means that no host answers. Only probes are allowed.
	breakerOpen
	// breakerHalfOpen means that a host has answered this gateway or, by its report, a peer. Each answer widens the window of
	// allowed attempts.
	breakerHalfOpen
)

func (s breakerState) String() string { return [...]string{"calm", "silent", "returning"}[s] }

// Total weights of unanswered attempts at which the breaker acts. If a fraction q of the hosts is silent, the probability
// that n attempts in a row all go to silent hosts is q to the power of n. If the breaker opened by such chance, the next
// answer of any host corrects it.
const (
	// openWeightAlone opens the breaker by this gateway's own attempts.
	openWeightAlone = 6.0
	// queryPeersWeight makes this gateway ask its peers for their observations.
	queryPeersWeight = 3.0
	// openWeightConfirmed opens the breaker if peers report the same.
	openWeightConfirmed = 1.0
	// minSilentHosts is the number of hosts that must be silent, or all listed hosts if there are fewer.
	minSilentHosts = 3
)

const (
	// fleetProbeRate is the number of probes per second that all gateways together send during an outage, where messages
	// announce its end.
	fleetProbeRate = 20.0
	// fleetProbeRateNoMessages is the same where each gateway must detect the end of the outage by itself.
	fleetProbeRateNoMessages = 600.0
	// maxProbeRate is the maximum number of probes per second of one gateway.
	maxProbeRate = 6.0
)

const (
	// closeAtWindow is the window above which a recovery is complete.
	closeAtWindow = 16.0
	// closeAfter is the time after the first answer, in seconds, after which a recovery is complete whatever its window.
	closeAfter = 0.5
	// windowAfterAnswer and windowAfterReport are the initial windows of a recovery.
	windowAfterAnswer = 2
	windowAfterReport = 1
	// probesOnlyBelow is the window below which the attempts of a recovery are probes.
	probesOnlyBelow = 3
	// recoverySpread is the interval, in seconds, over which many gateways randomize the start of their recovery.
	recoverySpread = 0.4
	// gatewaysPerHost is the number of gateways that a host can serve at once. With more of them per host, the gateways
	// use all of recoverySpread.
	gatewaysPerHost = 4
)

// noReporter marks a recovery that began with an answer to this gateway instead of a peer's report.
const noReporter = -1

// breaker is the state of a gateway's circuit breaker over all hosts. [Controller] has the methods that change it.
type breaker struct {
	state       breakerState
	openedAt    float64 // start of this outage
	probes      float64 // number of probes sent in this outage
	nextProbeAt float64 // open: earliest time of the next attempt
	admitFrom   float64 // half-open: earliest time of the next attempt
	window      float64 // half-open: maximum number of attempts in flight that started since admitFrom
	answeredAt  float64 // half-open: time of the first answer to this gateway; 0: none yet
	reporter    int     // half-open: the peer whose report started the recovery, or noReporter
}

// AllowsAttempt reports whether an attempt may be started now.
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

// ProbesOnly reports whether an attempt that is started now is a probe. A probe must be of an operation that may run again.
func (c *Controller) ProbesOnly() bool {
	if c == nil {
		return false
	}
	b := &c.breaker
	return b.state == breakerOpen || b.state == breakerHalfOpen && b.window < probesOnlyBelow
}

// probeInterval returns a random time until this gateway's next probe, in seconds. Its mean is proportional to the number of
// live gateways, so that the probe rate of the whole fleet does not depend on their number. The jitter keeps gateways that
// detected the outage at the same moment from probing at the same moment. No gateway is assigned a turn, so the failure of
// one delays no other's probes.
func (c *Controller) probeInterval() float64 {
	fleetRate := fleetProbeRate
	if c.messageRate == 0 {
		fleetRate = fleetProbeRateNoMessages
	}
	return max(1/maxProbeRate, c.liveGateways/fleetRate) * (0.5 + c.random.Float64())
}

// Evaluate updates the breaker by the unanswered attempts and the peers' reports. It must be called often while attempts
// are in flight.
func (c *Controller) Evaluate(now float64) {
	if c == nil {
		return
	}
	c.attempts.prune(now)
	from := math.Inf(-1)
	if c.breaker.state == breakerHalfOpen { // attempts sent during the outage give no evidence about the recovery
		from = c.breaker.admitFrom
	}
	weight, hosts := c.attempts.silentWeight(now, from)
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
	needed := openWeightAlone
	if answering > silent { // with half of the hosts silent, one gateway's attempts sometimes all go to silent hosts
		needed = 2 * openWeightAlone
	}
	confirmed := weight >= openWeightConfirmed && silent >= quorum && silent > 2*answering
	switch {
	case weight >= needed && !fewHosts || confirmed:
		c.open(now, fmt.Sprintf("%.0f unanswered attempts to %d hosts, %d peers report the same", weight, hosts, silent))
	case weight >= queryPeersWeight && !fewHosts && !c.peers.queried:
		c.peers.queried = true
		c.sendSampled(reportSilent)
	}
}

func (c *Controller) evaluateHalfOpen(now, weight float64, fewHosts bool) {
	b := &c.breaker
	if b.answeredAt == 0 {
		if weight < 1 || now < b.admitFrom {
			return
		}
		if b.reporter != noReporter { // a wrong report costs this gateway one attempt, then its sender is ignored for a while
			c.peers.distrust(now, b.reporter)
		}
		c.open(now, "a peer reported an answer, but this gateway's attempt is unanswered")
		return
	}
	switch {
	case weight >= max(2, b.window/2) && !fewHosts:
		c.open(now, fmt.Sprintf("%.0f unanswered attempts during recovery", weight))
	case b.window > closeAtWindow || now-b.answeredAt > closeAfter:
		c.transition(breakerClosed, now, fmt.Sprintf("outage lasted %.2f s", now-b.openedAt))
	}
}

// open opens the breaker. From now on only probes are allowed.
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

// halfOpenByAnswer starts a recovery because of an answer to this gateway.
func (c *Controller) halfOpenByAnswer(now float64) {
	c.transition(breakerHalfOpen, now, "a host answered this gateway")
	b := &c.breaker
	b.admitFrom = now
	b.window = windowAfterAnswer
	b.answeredAt = now
	b.reporter = noReporter
}

// halfOpenByReport starts a recovery because of a peer's report, with one attempt. If all gateways started at once they could
// cause the next outage. The higher the ratio of gateways to hosts, the longer the interval over which they spread their start.
func (c *Controller) halfOpenByReport(now float64, peer int) {
	c.transition(breakerHalfOpen, now, fmt.Sprintf("API gateway %d reported an answer", peer))
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
		c.outbox.logLines = append(c.outbox.logLines, fmt.Sprintf("overload: hosts %v, previously %v: %s; %s, %.0f probes",
			to, b.state, reason, c.amplification.logText(now), b.probes))
	}
	b.state = to
}

// observeAnswer updates the breaker after an answer to an attempt that was started at startedAt.
func (c *Controller) observeAnswer(now, startedAt float64) {
	c.attempts.lastAnsweredAt = max(c.attempts.lastAnsweredAt, startedAt)
	c.peers.queried = false
	b := &c.breaker
	switch b.state {
	case breakerClosed:
		// Gateways whose own links are broken report all hosts as silent. An answer to an attempt that started after such
		// a report contradicts it.
		if c.peers.takeContradiction(startedAt) {
			c.sendSampled(reportAnswering)
		}
	case breakerOpen:
		if startedAt < b.openedAt-c.attempts.lateAfter() { // a slow answer to an attempt from before the outage
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
