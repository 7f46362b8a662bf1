package policy_test

import (
	"fmt"
	"math/rand"
	"testing"

	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
	"otterseam/gateway/policy"
	"otterseam/internal/digesttest"
)

const (
	digestedCalls       = 12_000
	digestedGateways    = 5
	digestedHosts       = 8
	digestedMessageRate = 60.0
)

// countedCall is a call to the counter that is in flight.
type countedCall struct {
	name   uint64
	amount float64
}

// randomCaller makes random calls of a gateway, adds their results to a digest, and is the gateway's Output.
type randomCaller struct {
	digest      *digesttest.Digest
	random      *rand.Rand
	now         float64
	gateway     *policy.Gateway
	invocations []*policy.Invocation // not finished
	attempts    []*policy.Attempt    // in flight
	calls       []countedCall
	totals      map[uint64]float64
	accepted    int
}

func (c *randomCaller) AddCount(name uint64, amount, life float64) {
	c.digest.Uint(1, name)
	c.digest.Float(amount, life)
	c.calls = append(c.calls, countedCall{name, amount})
}

func (c *randomCaller) CancelAttempt(attempt *policy.Attempt) {
	c.digest.Uint(2, uint64(attempt.Number))
	c.digest.Text(attempt.Invocation.Ref, attempt.Host.Addr)
}

func (c *randomCaller) SendPeer(to int, text string) {
	c.digest.Uint(3)
	c.digest.Int(int64(to))
	c.digest.Text(text)
}

// Log adds only the fact of the call to the digest, since log texts may change.
func (c *randomCaller) Log(string) { c.digest.Uint(4) }

func newRandomCaller(seed int64, d *digesttest.Digest) *randomCaller {
	c := &randomCaller{digest: d, random: rand.New(rand.NewSource(seed)), now: 1000, totals: map[uint64]float64{}}
	instance := policy.Instance{Gateways: digestedGateways, Zone: "zone-0", Seed: uint64(seed)}
	if seed%3 > 0 {
		instance.Peers = membership.New(membership.Config{
			Members: digestedGateways, MessageRate: digestedMessageRate, Part: 0.1, Seed: uint64(seed),
		})
	}
	if seed%3 > 1 {
		instance.Overload = overload.New(overload.Config{Gateways: digestedGateways, MessageRate: digestedMessageRate, Seed: uint64(seed)})
	}
	operations := []policy.Operation{
		{Name: "read", LatencyTarget: 0.3, Value: 1, Effect: policy.Idempotent},
		{Name: "late", LatencyTarget: 0.3, Value: 2, LateValue: 0.5, Effect: policy.Idempotent},
		{Name: "zone", LatencyTarget: 0.5, Value: 5, Effect: policy.Deduplicated, DedupScope: "zone", DedupWindow: 2},
		{Name: "cell", LatencyTarget: 0.5, Value: 5, Effect: policy.Deduplicated, DedupScope: "cell", DedupWindow: 2},
		{Name: "all", LatencyTarget: 0.5, Value: 5, Effect: policy.Deduplicated, DedupScope: "all", DedupWindow: 1},
		{Name: "once", LatencyTarget: 0.5, Value: 9, Effect: policy.NonIdempotent},
	}
	plans := []policy.Plan{
		{Name: "free"},
		{Name: "rate", Rate: 40, Burst: 60},
		{Name: "open", MaxConcurrent: 6},
		{Name: "both", Rate: 20, Burst: 40, MaxConcurrent: 8, CeilingRate: 60, CeilingBurst: 90},
	}
	c.gateway = policy.New(policy.Config{
		Instance: instance, Operations: operations, Plans: plans,
		Counter:   policy.CounterConfig{Present: true, Timeout: 0.05, SettlesUnits: seed%2 == 0, MaxUnits: 8},
		SlowStart: policy.SlowStart{InitialCapacity: 0.2, Duration: 5, OverloadFactor: 2},
		Limits:    policy.Limits{MaxAttempts: 4, CanCancel: true, PeerMessages: true, PeerMessageRate: digestedMessageRate},
	}, c)
	c.updateHosts(true)
	return c
}

// updateHosts passes a random list of hosts to the gateway: a complete one, or changes of some hosts.
func (c *randomCaller) updateHosts(complete bool) {
	states := []string{"active", "active", "active", "active", "active", "active", "leaving", "left"}
	var list []policy.HostEntry
	for host := range digestedHosts {
		if !complete && c.random.Intn(4) > 0 {
			continue
		}
		entry := policy.HostEntry{
			Addr: address(host), Zone: fmt.Sprintf("zone-%d", host%3), Cell: host / 2,
			State: states[c.random.Intn(len(states))], Weight: float64(1 + host%2),
		}
		if c.random.Intn(3) == 0 {
			entry.StartedAt = c.now
		}
		list = append(list, entry)
	}
	c.gateway.UpdateHosts(c.now, list, complete)
}

func address(host int) string { return fmt.Sprintf("10.0.0.%d:9000", host) }

// pick returns a random one of its arguments.
func pick[T any](c *randomCaller, all ...T) T { return all[c.random.Intn(len(all))] }

func (c *randomCaller) accept() {
	c.accepted++
	first := c.random.Intn(digestedGateways)
	inv := c.gateway.Accept(c.now, policy.Request{
		Ref: fmt.Sprint("r", c.accepted), Operation: pick(c, "read", "read", "late", "zone", "cell", "all", "once", "unnamed"),
		Customer: fmt.Sprint("c", c.random.Intn(6)), Plan: pick(c, "free", "rate", "open", "both", "both"),
		Units: float64(1 + c.random.Intn(8)), Deadline: c.now + 0.2 + 2*c.random.Float64(), FirstGateway: first,
		GatewayCount: 1 + c.random.Intn(digestedGateways), ClientRetry: c.random.Intn(8) == 0,
	})
	c.invocations = append(c.invocations, inv)
	c.decideAll()
}

// decideAll requests and carries out the decision for each invocation that the gateway returns.
func (c *randomCaller) decideAll() {
	for inv := c.gateway.Next(c.now); inv != nil; inv = c.gateway.Next(c.now) {
		c.digest.Text(inv.Ref)
		c.carryOut(inv, c.gateway.Decide(c.now, inv))
	}
}

func (c *randomCaller) carryOut(inv *policy.Invocation, decision policy.Decision) {
	c.digest.Int(int64(decision.Action))
	c.digest.Float(decision.RetryAfter, decision.Timeout)
	if decision.Action != policy.Send {
		return
	}
	c.digest.Text(decision.Host.Addr)
	attempt := inv.Attempts[len(inv.Attempts)-1]
	if c.random.Intn(4) == 0 {
		c.gateway.DialStarted(c.now)
	}
	confirmed := c.gateway.ConfirmSend(c.now, attempt)
	c.digest.Bool(confirmed)
	if !confirmed {
		c.endAttempt(attempt, policy.NotSent)
		return
	}
	c.attempts = append(c.attempts, attempt)
}

func (c *randomCaller) endAttempt(attempt *policy.Attempt, outcome policy.Outcome) {
	result := policy.AttemptResult{Outcome: outcome, Final: outcome == policy.Succeeded, Duration: 0.01 + 0.3*c.random.Float64()}
	if outcome == policy.Succeeded {
		result.ActualUnits = float64(1 + c.random.Intn(8))
	}
	c.carryOut(attempt.Invocation, c.gateway.AttemptEnded(c.now, attempt, result))
}

// endRandomAttempt ends an attempt. Most attempts of two of the eight hosts fail.
func (c *randomCaller) endRandomAttempt() {
	if len(c.attempts) == 0 {
		return
	}
	i := c.random.Intn(len(c.attempts))
	attempt := c.attempts[i]
	c.attempts = append(c.attempts[:i], c.attempts[i+1:]...)
	outcome := policy.Succeeded
	if bad := attempt.Host.Addr == address(0) || attempt.Host.Addr == address(1); bad && c.random.Intn(4) > 0 || c.random.Intn(12) == 0 {
		outcome = pick(c, policy.Failed, policy.Rejected, policy.TimedOut, policy.NoConnection, policy.Reset, policy.Cancelled)
	}
	c.endAttempt(attempt, outcome)
	c.decideAll()
}

// replyToCall answers the oldest call to the counter.
func (c *randomCaller) replyToCall() {
	if len(c.calls) == 0 {
		return
	}
	call := c.calls[0]
	c.calls = c.calls[1:]
	outcome := policy.Succeeded
	if c.random.Intn(15) == 0 {
		outcome = pick(c, policy.Failed, policy.Rejected, policy.TimedOut, policy.NoConnection, policy.Reset)
	}
	if outcome == policy.Succeeded || c.random.Intn(2) == 0 {
		c.totals[call.name] += call.amount
	}
	if c.random.Intn(20) == 0 { // units of another API gateway
		c.totals[call.name] += float64(c.random.Intn(20))
	}
	c.gateway.CounterReplied(c.now, call.name, outcome, c.totals[call.name], 0.05*c.random.Float64())
	if outcome != policy.Succeeded && c.random.Intn(3) == 0 {
		c.gateway.CounterCallLost(call.name, call.amount)
	}
	c.decideAll()
}

func (c *randomCaller) abandonRandom() {
	if len(c.invocations) > 0 {
		c.gateway.Abandon(c.now, pick(c, c.invocations...))
		c.decideAll()
	}
}

func (c *randomCaller) receivePeerMessage() {
	from := 1 + c.random.Intn(digestedGateways-1)
	host := address(c.random.Intn(digestedHosts))
	customer := fmt.Sprint("c", c.random.Intn(6))
	c.gateway.PeerMessage(c.now, from, pick(c, "-"+host, "+"+host, "=rate "+customer, "=both "+customer))
	c.decideAll()
}

// advanceClock advances the clock, usually not beyond the next due call of Tick, and makes some of the due calls.
func (c *randomCaller) advanceClock() {
	tickDelay, membershipDelay := c.gateway.TickDelay(c.now), c.gateway.MembershipDelay(c.now)
	c.digest.Float(tickDelay, membershipDelay)
	c.now += tickDelay * c.random.Float64()
	if c.random.Intn(400) == 0 {
		c.now += 20 * c.random.Float64()
	}
	if c.random.Intn(3) > 0 {
		c.gateway.Tick(c.now)
	}
	if membershipDelay < 0.5 || c.random.Intn(20) == 0 {
		c.gateway.RefreshMembership(c.now)
	}
	c.decideAll()
	c.digestInspection()
}

// digestInspection adds the gateway's state that can be read from outside to the digest.
func (c *randomCaller) digestInspection() {
	c.gateway.UnreportedUnits(func(name uint64, units, life float64) {
		c.digest.Uint(name)
		c.digest.Float(units, life)
	})
	for _, call := range c.calls {
		c.digest.Float(c.gateway.CountedSlots(call.name))
	}
	scope, record := c.gateway.DedupScope(pick(c, "read", "zone", "cell", "all", "once", "nobody's"))
	c.digest.Text(scope)
	c.digest.Bool(record)
}

func (c *randomCaller) forgetFinished() {
	var left []*policy.Invocation
	for _, inv := range c.invocations {
		if !inv.Finished() {
			left = append(left, inv)
		}
	}
	c.invocations = left
}

// makeRandomCall makes a random call of the gateway.
func (c *randomCaller) makeRandomCall() {
	switch draw := c.random.Intn(100); {
	case draw < 25:
		c.accept()
	case draw < 45:
		c.endRandomAttempt()
	case draw < 65:
		c.replyToCall()
	case draw < 95:
		c.advanceClock()
	case draw < 97:
		c.receivePeerMessage()
	case draw < 98:
		c.abandonRandom()
	default:
		if c.random.Intn(10) == 0 {
			c.updateHosts(c.random.Intn(2) == 0)
		}
	}
	c.forgetFinished()
	c.digest.Float(c.now)
	c.digest.Int(int64(len(c.invocations)), int64(len(c.attempts)), int64(len(c.calls)))
}

// TestCallDigests compares digests of a gateway's results for random calls of its exported methods with recorded ones.
func TestCallDigests(t *testing.T) {
	digesttest.CheckPerPlatform(t, "calls", func(t *testing.T, seed int64, d *digesttest.Digest) {
		c := newRandomCaller(seed, d)
		for range digestedCalls {
			c.makeRandomCall()
		}
		if c.accepted < digestedCalls/10 {
			t.Errorf("only %d invocations were accepted", c.accepted)
		}
	})
}
