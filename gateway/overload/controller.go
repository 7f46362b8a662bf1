package overload

import (
	"math"

	"otterseam/gateway/membership"
	"otterseam/internal/rng"
)

const (
	// openWait and busyWait are the longest times between evaluations while the breaker is open, and while attempts are in
	// flight; minWait is the shortest. All in seconds.
	openWait = 0.25
	busyWait = 0.05
	minWait  = 0.001
)

// Config says where a gateway stands.
type Config struct {
	// Gateways is how many gateways the fleet's list has.
	Gateways int
	// MessageRate is how many messages a second one gateway takes in from all others; 0: there are no messages.
	MessageRate float64
	// Seed gives the random numbers.
	Seed uint64
}

// Controller is one gateway's part in what the fleet does while hosts do not answer. A nil Controller bounds nothing.
//
// AttemptStarted and AttemptEnded tell of attempts, Receive of peers' messages, Evaluate judges. AllowsAttempt, ProbesOnly and
// AllowsRetry are asked before an attempt. Flush gives what is to be sent and logged.
type Controller struct {
	gateways     float64 // of the fleet's list
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

// New makes a gateway's controller.
func New(config Config) *Controller {
	gateways := float64(max(1, config.Gateways))
	return &Controller{
		gateways:     gateways,
		liveGateways: gateways,
		messageRate:  config.MessageRate,
		random:       rng.New("damp %d ", config.Seed), // the name gives the numbers: it stays as it was recorded
		attempts:     attemptLog{usualLatency: initialLatency},
		peers:        newPeerReports(),
		hosts:        hostReports{byHost: map[string]*hostReport{}},
		retries:      newRetryBudget(gateways),
	}
}

// SetFleet says how many gateways are alive, and how many hosts are listed.
func (c *Controller) SetFleet(liveGateways float64, listedHosts int) {
	if c == nil {
		return
	}
	c.liveGateways = max(1, liveGateways)
	c.listedHosts = listedHosts
}

// AttemptStarted is told of an attempt that begins; retry: it is not the first of its invocation.
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

// AttemptEnded is told how the attempt that began at startedAt ended.
func (c *Controller) AttemptEnded(now float64, host string, startedAt float64, result AttemptResult) {
	if c == nil {
		return
	}
	i := c.attempts.find(host, startedAt)
	if i < 0 { // it is no longer kept, but an answer is a sign of life all the same
		if result == Answered {
			c.answerSeen(now, startedAt)
		}
		return
	}
	switch result {
	case Answered:
		c.attempts.remove(i)
		c.attempts.observeLatency(now - startedAt)
		c.answerSeen(now, startedAt)
	case Rejected:
		c.attempts.remove(i)
		c.answerSeen(now, startedAt)
	case Inconclusive:
		c.attempts.remove(i)
	case ConnectFailed:
		c.attempts.unanswered[i].ended = true
		c.attempts.unanswered[i].weight = connectFailureWeight
	case Unanswered:
		c.attempts.unanswered[i].ended = true
	}
}

// Flush sends what is due to all peers, and gives the log its lines.
func (c *Controller) Flush(now float64, send func(to int, text string), log func(text string)) {
	if c == nil {
		return
	}
	if c.breaker.state == breakerOpen && now >= c.outbox.nextReportAt { // gateways that have just started know of no outage
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

// Wait is how long Evaluate and Flush need not be called, in seconds.
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
