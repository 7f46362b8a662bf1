package overload

import (
	"math"

	"otterseam/gateway/membership"
	"otterseam/internal/rng"
)

const (
	// openWait and busyWait are the longest times between evaluations while the breaker is open and while attempts are in
	// flight. minWait is the shortest. All are in seconds.
	openWait = 0.25
	busyWait = 0.05
	minWait  = 0.001
)

// Config is the configuration of a gateway's Controller.
type Config struct {
	// Gateways is the configured number of gateways in the fleet.
	Gateways int
	// MessageRate is the number of messages per second that one gateway accepts from all others; 0: there are no messages.
	MessageRate float64
	// Seed seeds the random numbers.
	Seed uint64
}

// Controller implements one gateway's part of the fleet's overload control. A nil Controller bounds nothing.
//
// The caller reports attempts by AttemptStarted and AttemptEnded, passes on peers' messages by Receive, and calls Evaluate
// periodically. It consults AllowsAttempt, ProbesOnly and AllowsRetry before an attempt. Flush emits pending messages and log
// lines.
type Controller struct {
	gateways     float64 // configured number in the fleet
	liveGateways float64
	listedHosts  int
	messageRate  float64
	random       rng.Stream

	attempts      attemptLog
	breaker       breaker
	peers         peerReports
	hosts         hostReports
	outbox        outbox
	retries       retryBudget
	amplification amplification
}

// New returns a gateway's controller.
func New(config Config) *Controller {
	gateways := float64(max(1, config.Gateways))
	return &Controller{
		gateways:     gateways,
		liveGateways: gateways,
		messageRate:  config.MessageRate,
		random:       rng.New("damp %d ", config.Seed), // the name determines the numbers, which recorded digests hold
		attempts:     attemptLog{meanLatency: initialLatency},
		peers:        newPeerReports(),
		hosts:        hostReports{byHost: map[string]*hostReport{}},
		retries:      newRetryBudget(gateways),
	}
}

// SetFleet sets the number of live gateways and the number of listed hosts.
func (c *Controller) SetFleet(liveGateways float64, listedHosts int) {
	if c == nil {
		return
	}
	c.liveGateways = max(1, liveGateways)
	c.listedHosts = listedHosts
}

// AttemptStarted records the start of an attempt. retry is whether it is other than the first of its invocation.
func (c *Controller) AttemptStarted(now float64, host string, retry bool) {
	if c == nil {
		return
	}
	c.attempts.start(now, host)
	c.amplification.attemptStarted(now, retry)
	c.retries.attemptStarted(retry)
	if c.breaker.state == breakerOpen {
		c.breaker.probes++
		c.breaker.nextProbeAt = now + c.probeInterval()
	}
}

// AttemptEnded records the result of the attempt that was started at startedAt.
func (c *Controller) AttemptEnded(now float64, host string, startedAt float64, result AttemptResult) {
	if c == nil {
		return
	}
	i := c.attempts.find(host, startedAt)
	if i < 0 { // the attempt was pruned, but an answer still shows that a host is alive
		if result == Answered {
			c.observeAnswer(now, startedAt)
		}
		return
	}
	switch result {
	case Answered:
		c.attempts.remove(i)
		c.attempts.observeLatency(now - startedAt)
		c.observeAnswer(now, startedAt)
	case Rejected:
		c.attempts.remove(i)
		c.observeAnswer(now, startedAt)
	case Inconclusive:
		c.attempts.remove(i)
	case ConnectFailed:
		c.attempts.unanswered[i].ended = true
		c.attempts.unanswered[i].weight = connectFailureWeight
	case Unanswered:
		c.attempts.unanswered[i].ended = true
	}
}

// Flush sends the due messages to all peers and writes the pending log lines.
func (c *Controller) Flush(now float64, send func(to int, text string), log func(text string)) {
	if c == nil {
		return
	}
	if c.breaker.state == breakerOpen && now >= c.outbox.nextReportAt { // repeated for gateways that started during the outage
		c.outbox.nextReportAt = now + c.liveGateways/fleetReportRate*(0.5+c.random.Float64())
		c.send(reportSilent)
	}
	if text := c.hosts.message(now); text != "" {
		c.outbox.messages = append(c.outbox.messages, text)
	}
	c.hosts.forget(now)
	for _, text := range c.outbox.messages {
		send(membership.Broadcast, text)
	}
	for _, line := range c.outbox.logLines {
		log(line)
	}
	c.outbox.messages = c.outbox.messages[:0]
	c.outbox.logLines = c.outbox.logLines[:0]
}

// Wait returns the time until the next calls of Evaluate and Flush are due, in seconds.
func (c *Controller) Wait(now float64) float64 {
	if c == nil {
		return math.Inf(1)
	}
	b := &c.breaker
	switch {
	case b.state == breakerClosed && len(c.attempts.unanswered) == 0:
		return math.Inf(1)
	case b.state == breakerOpen:
		return max(minWait, min(openWait, min(b.nextProbeAt, c.outbox.nextReportAt)-now))
	case b.state == breakerHalfOpen && now < b.admitFrom:
		return max(minWait, b.admitFrom-now)
	}
	return busyWait
}
