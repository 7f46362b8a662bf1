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
	digestedCalls    = 12_000
	digestedGateways = 5
	digestedHosts    = 8
	digestedMail     = 60.0
)

// countedCall is a call to the counter that has not been answered.
type countedCall struct {
	name   uint64
	amount float64
}

// caller calls a gateway at random, adds all that it answers to a digest, and is its way out.
type caller struct {
	digest     *digesttest.Digest
	random     *rand.Rand
	now        float64
	gateway    *policy.Gateway
	asked      []*policy.Invocation // that are not finished
	deliveries []*policy.Attempt    // that are out
	calls      []countedCall
	totals     map[uint64]float64
	taken      int
}

func (c *caller) AddCount(name uint64, amount, life float64) {
	c.digest.Uint(1, name)
	c.digest.Float(amount, life)
	c.calls = append(c.calls, countedCall{name, amount})
}

func (c *caller) CancelAttempt(d *policy.Attempt) {
	c.digest.Uint(2, uint64(d.Number))
	c.digest.Text(d.Invocation.Ref, d.Host.Addr)
}

func (c *caller) SendPeer(to int, text string) {
	c.digest.Uint(3)
	c.digest.Int(int64(to))
	c.digest.Text(text)
}

// Log counts in the digest with its moment alone: its text may change.
func (c *caller) Log(string) { c.digest.Uint(4) }

func newCaller(seed int64, d *digesttest.Digest) *caller {
	c := &caller{digest: d, random: rand.New(rand.NewSource(seed)), now: 1000, totals: map[uint64]float64{}}
	at := policy.Instance{Gateways: digestedGateways, Zone: "zone-0", Seed: uint64(seed)}
	if seed%3 > 0 {
		at.Peers = membership.New(membership.Config{
			Members: digestedGateways, MessageRate: digestedMail, Part: 0.1, Seed: uint64(seed),
		})
	}
	if seed%3 > 1 {
		at.Overload = overload.New(overload.Config{Gateways: digestedGateways, MessageRate: digestedMail, Seed: uint64(seed)})
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
		Instance: at, Operations: operations, Plans: plans,
		Counter:   policy.CounterConfig{Present: true, Timeout: 0.05, SettlesUnits: seed%2 == 0, MaxUnits: 8},
		SlowStart: policy.SlowStart{InitialCapacity: 0.2, Duration: 5, OverloadFactor: 2},
		Limits:    policy.Limits{MaxAttempts: 4, CanCancel: true, PeerMessages: true, PeerMessageRate: digestedMail},
	}, c)
	c.list(true)
	return c
}

// list tells of all hosts or of some.
func (c *caller) list(whole bool) {
	states := []string{"active", "active", "active", "active", "active", "active", "leaving", "left"}
	var list []policy.HostEntry
	for host := range digestedHosts {
		if !whole && c.random.Intn(4) > 0 {
			continue
		}
		listed := policy.HostEntry{
			Addr: address(host), Zone: fmt.Sprintf("zone-%d", host%3), Cell: host / 2,
			State: states[c.random.Intn(len(states))], Weight: float64(1 + host%2),
		}
		if c.random.Intn(3) == 0 {
			listed.StartedAt = c.now
		}
		list = append(list, listed)
	}
	c.gateway.UpdateHosts(c.now, list, whole)
}

func address(host int) string { return fmt.Sprintf("10.0.0.%d:9000", host) }

// pick is one of several.
func pick[T any](c *caller, all ...T) T { return all[c.random.Intn(len(all))] }

func (c *caller) take() {
	c.taken++
	first := c.random.Intn(digestedGateways)
	inv := c.gateway.Accept(c.now, policy.Request{
		Ref: fmt.Sprint("r", c.taken), Operation: pick(c, "read", "read", "late", "zone", "cell", "all", "once", "unnamed"),
		Customer: fmt.Sprint("c", c.random.Intn(6)), Plan: pick(c, "free", "rate", "open", "both", "both"),
		Units: float64(1 + c.random.Intn(8)), Deadline: c.now + 0.2 + 2*c.random.Float64(), FirstGateway: first,
		GatewayCount: 1 + c.random.Intn(digestedGateways), ClientRetry: c.random.Intn(8) == 0,
	})
	c.asked = append(c.asked, inv)
	c.turns()
}

// turns asks about each invocation whose turn it is.
func (c *caller) turns() {
	for inv := c.gateway.Next(c.now); inv != nil; inv = c.gateway.Next(c.now) {
		c.digest.Text(inv.Ref)
		c.act(inv, c.gateway.Decide(c.now, inv))
	}
}

func (c *caller) act(inv *policy.Invocation, answer policy.Decision) {
	c.digest.Int(int64(answer.Action))
	c.digest.Float(answer.RetryAfter, answer.Timeout)
	if answer.Action != policy.Send {
		return
	}
	c.digest.Text(answer.Host.Addr)
	delivery := inv.Attempts[len(inv.Attempts)-1]
	if c.random.Intn(4) == 0 {
		c.gateway.DialStarted(c.now)
	}
	goes := c.gateway.ConfirmSend(c.now, delivery)
	c.digest.Bool(goes)
	if !goes {
		c.ended(delivery, policy.NotSent)
		return
	}
	c.deliveries = append(c.deliveries, delivery)
}

func (c *caller) ended(d *policy.Attempt, how policy.Outcome) {
	ended := policy.AttemptResult{Outcome: how, Final: how == policy.Succeeded, Duration: 0.01 + 0.3*c.random.Float64()}
	if how == policy.Succeeded {
		ended.ActualUnits = float64(1 + c.random.Intn(8))
	}
	c.act(d.Invocation, c.gateway.AttemptEnded(c.now, d, ended))
}

// end ends one delivery. Two hosts of the eight end most of theirs badly.
func (c *caller) end() {
	if len(c.deliveries) == 0 {
		return
	}
	position := c.random.Intn(len(c.deliveries))
	d := c.deliveries[position]
	c.deliveries = append(c.deliveries[:position], c.deliveries[position+1:]...)
	how := policy.Succeeded
	if bad := d.Host.Addr == address(0) || d.Host.Addr == address(1); bad && c.random.Intn(4) > 0 || c.random.Intn(12) == 0 {
		how = pick(c, policy.Failed, policy.Rejected, policy.TimedOut, policy.NoConnection, policy.Reset, policy.Cancelled)
	}
	c.ended(d, how)
	c.turns()
}

// count answers the oldest call to the counter.
func (c *caller) count() {
	if len(c.calls) == 0 {
		return
	}
	call := c.calls[0]
	c.calls = c.calls[1:]
	how := policy.Succeeded
	if c.random.Intn(15) == 0 {
		how = pick(c, policy.Failed, policy.Rejected, policy.TimedOut, policy.NoConnection, policy.Reset)
	}
	if how == policy.Succeeded || c.random.Intn(2) == 0 {
		c.totals[call.name] += call.amount
	}
	if c.random.Intn(20) == 0 { // another api gateway's units
		c.totals[call.name] += float64(c.random.Intn(20))
	}
	c.gateway.CounterReplied(c.now, call.name, how, c.totals[call.name], 0.05*c.random.Float64())
	if how != policy.Succeeded && c.random.Intn(3) == 0 {
		c.gateway.CounterCallLost(call.name, call.amount)
	}
	c.turns()
}

func (c *caller) gone() {
	if len(c.asked) > 0 {
		c.gateway.Abandon(c.now, pick(c, c.asked...))
		c.turns()
	}
}

func (c *caller) told() {
	from := 1 + c.random.Intn(digestedGateways-1)
	host := address(c.random.Intn(digestedHosts))
	customer := fmt.Sprint("c", c.random.Intn(6))
	c.gateway.PeerMessage(c.now, from, pick(c, "-"+host, "+"+host, "=rate "+customer, "=both "+customer))
	c.turns()
}

// pass lets time pass, with a look at things where it is due, as the two waits tell.
func (c *caller) pass() {
	wait, meets := c.gateway.TickDelay(c.now), c.gateway.MembershipDelay(c.now)
	c.digest.Float(wait, meets)
	c.now += wait * c.random.Float64()
	if c.random.Intn(400) == 0 {
		c.now += 20 * c.random.Float64()
	}
	if c.random.Intn(3) > 0 {
		c.gateway.Tick(c.now)
	}
	if meets < 0.5 || c.random.Intn(20) == 0 {
		c.gateway.RefreshMembership(c.now)
	}
	c.turns()
	c.books()
}

// books adds what others may know of the gateway's books.
func (c *caller) books() {
	c.gateway.UnreportedUnits(func(name uint64, units, life float64) {
		c.digest.Uint(name)
		c.digest.Float(units, life)
	})
	for _, call := range c.calls {
		c.digest.Float(c.gateway.CountedSlots(call.name))
	}
	scope, needs := c.gateway.DedupScope(pick(c, "read", "zone", "cell", "all", "once", "nobody's"))
	c.digest.Text(scope)
	c.digest.Bool(needs)
}

func (c *caller) forgetFinished() {
	var left []*policy.Invocation
	for _, inv := range c.asked {
		if !inv.Finished() {
			left = append(left, inv)
		}
	}
	c.asked = left
}

// call does one thing drawn by chance.
func (c *caller) call() {
	switch draw := c.random.Intn(100); {
	case draw < 25:
		c.take()
	case draw < 45:
		c.end()
	case draw < 65:
		c.count()
	case draw < 95:
		c.pass()
	case draw < 97:
		c.told()
	case draw < 98:
		c.gone()
	default:
		if c.random.Intn(10) == 0 {
			c.list(c.random.Intn(2) == 0)
		}
	}
	c.forgetFinished()
	c.digest.Float(c.now)
	c.digest.Int(int64(len(c.asked)), int64(len(c.deliveries)), int64(len(c.calls)))
}

// All that a gateway answers to calls drawn by a seed, through its exported methods alone.
func TestCallDigests(t *testing.T) {
	digesttest.Check(t, "calls", func(t *testing.T, seed int64, d *digesttest.Digest) {
		c := newCaller(seed, d)
		for range digestedCalls {
			c.call()
		}
		if c.taken < digestedCalls/10 {
			t.Errorf("only %d invocations were taken", c.taken)
		}
	})
}
