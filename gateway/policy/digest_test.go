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
	deliveries []*policy.Delivery   // that are out
	calls      []countedCall
	totals     map[uint64]float64
	taken      int
}

func (c *caller) Count(name uint64, amount, life float64) {
	c.digest.Uint(1, name)
	c.digest.Float(amount, life)
	c.calls = append(c.calls, countedCall{name, amount})
}

func (c *caller) Cancel(d *policy.Delivery) {
	c.digest.Uint(2, uint64(d.Number))
	c.digest.Text(d.Inv.Ref, d.Host.Addr)
}

func (c *caller) Tell(to int, text string) {
	c.digest.Uint(3)
	c.digest.Int(int64(to))
	c.digest.Text(text)
}

// Log counts in the digest with its moment alone: its text may change.
func (c *caller) Log(string) { c.digest.Uint(4) }

func newCaller(seed int64, d *digesttest.Digest) *caller {
	c := &caller{digest: d, random: rand.New(rand.NewSource(seed)), now: 1000, totals: map[uint64]float64{}}
	at := policy.Standing{Gateways: digestedGateways, Zone: "zone-0", Seed: uint64(seed)}
	if seed%3 > 0 {
		at.Peers = membership.New(0, digestedGateways, digestedMail, 0.1, uint64(seed))
	}
	if seed%3 > 1 {
		at.Damp = overload.New(overload.Terms{Gateways: digestedGateways, Mail: digestedMail, Seed: uint64(seed)})
	}
	operations := []policy.Operation{
		{Name: "read", Objective: 0.3, Value: 1, Effect: policy.Idempotent},
		{Name: "late", Objective: 0.3, Value: 2, Late: 0.5, Effect: policy.Idempotent},
		{Name: "zone", Objective: 0.5, Value: 5, Effect: policy.Tokened, Group: "zone", TokenTime: 2},
		{Name: "cell", Objective: 0.5, Value: 5, Effect: policy.Tokened, Group: "cell", TokenTime: 2},
		{Name: "all", Objective: 0.5, Value: 5, Effect: policy.Tokened, Group: "all", TokenTime: 1},
		{Name: "once", Objective: 0.5, Value: 9, Effect: policy.NonIdempotent},
	}
	plans := []policy.Plan{
		{Name: "free"},
		{Name: "rate", Rate: 40, Burst: 60},
		{Name: "open", MaxOut: 6},
		{Name: "both", Rate: 20, Burst: 40, MaxOut: 8, CeilingRate: 60, CeilingBurst: 90},
	}
	c.gateway = policy.New(at, operations, plans,
		policy.Counter{Present: true, Limit: 0.05, Settles: seed%2 == 0, Most: 8},
		policy.Cold{Share: 0.2, Warm: 5, Factor: 2},
		policy.Allowed{Deliveries: 4, Cancel: true, Peers: true, Mail: digestedMail}, c)
	c.list(true)
	return c
}

// list tells of all hosts or of some.
func (c *caller) list(whole bool) {
	states := []string{"active", "active", "active", "active", "active", "active", "leaving", "left"}
	var list []policy.Listed
	for host := range digestedHosts {
		if !whole && c.random.Intn(4) > 0 {
			continue
		}
		listed := policy.Listed{
			Addr: address(host), Zone: fmt.Sprintf("zone-%d", host%3), Cell: host / 2,
			State: states[c.random.Intn(len(states))], Weight: float64(1 + host%2),
		}
		if c.random.Intn(3) == 0 {
			listed.Since = c.now
		}
		list = append(list, listed)
	}
	c.gateway.Hosts(c.now, list, whole)
}

func address(host int) string { return fmt.Sprintf("10.0.0.%d:9000", host) }

// pick is one of several.
func pick[T any](c *caller, all ...T) T { return all[c.random.Intn(len(all))] }

func (c *caller) take() {
	c.taken++
	first := c.random.Intn(digestedGateways)
	inv := c.gateway.Take(c.now, policy.Asked{
		Ref: fmt.Sprint("r", c.taken), Operation: pick(c, "read", "read", "late", "zone", "cell", "all", "once", "unnamed"),
		Customer: fmt.Sprint("c", c.random.Intn(6)), Plan: pick(c, "free", "rate", "open", "both", "both"),
		Units: float64(1 + c.random.Intn(8)), GiveUp: c.now + 0.2 + 2*c.random.Float64(), First: first,
		Width: 1 + c.random.Intn(digestedGateways), Repeat: c.random.Intn(8) == 0,
	})
	c.asked = append(c.asked, inv)
	c.turns()
}

// turns asks about each invocation whose turn it is.
func (c *caller) turns() {
	for inv := c.gateway.Turn(c.now); inv != nil; inv = c.gateway.Turn(c.now) {
		c.digest.Text(inv.Ref)
		c.act(inv, c.gateway.Where(c.now, inv))
	}
}

func (c *caller) act(inv *policy.Invocation, answer policy.Answer) {
	c.digest.Int(int64(answer.Do))
	c.digest.Float(answer.RetryAfter, answer.Within)
	if answer.Do != policy.Send {
		return
	}
	c.digest.Text(answer.Host.Addr)
	delivery := inv.Deliveries[len(inv.Deliveries)-1]
	if c.random.Intn(4) == 0 {
		c.gateway.Dialled(c.now)
	}
	goes := c.gateway.Goes(c.now, delivery)
	c.digest.Bool(goes)
	if !goes {
		c.ended(delivery, policy.NotSent)
		return
	}
	c.deliveries = append(c.deliveries, delivery)
}

func (c *caller) ended(d *policy.Delivery, how policy.Outcome) {
	ended := policy.Ended{How: how, Over: how == policy.Succeeded, Took: 0.01 + 0.3*c.random.Float64()}
	if how == policy.Succeeded {
		ended.Units = float64(1 + c.random.Intn(8))
	}
	c.act(d.Inv, c.gateway.After(c.now, d, ended))
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
		how = pick(c, policy.Failed, policy.TurnedAway, policy.TimedOut, policy.NoConnection, policy.Reset, policy.Withdrawn)
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
		how = pick(c, policy.Failed, policy.TurnedAway, policy.TimedOut, policy.NoConnection, policy.Reset)
	}
	if how == policy.Succeeded || c.random.Intn(2) == 0 {
		c.totals[call.name] += call.amount
	}
	if c.random.Intn(20) == 0 { // another api gateway's units
		c.totals[call.name] += float64(c.random.Intn(20))
	}
	c.gateway.Counted(c.now, call.name, how, c.totals[call.name], 0.05*c.random.Float64())
	if how != policy.Succeeded && c.random.Intn(3) == 0 {
		c.gateway.Lost(call.name, call.amount)
	}
	c.turns()
}

func (c *caller) gone() {
	if len(c.asked) > 0 {
		c.gateway.Gone(c.now, pick(c, c.asked...))
		c.turns()
	}
}

func (c *caller) told() {
	from := 1 + c.random.Intn(digestedGateways-1)
	host := address(c.random.Intn(digestedHosts))
	customer := fmt.Sprint("c", c.random.Intn(6))
	c.gateway.Told(c.now, from, pick(c, "-"+host, "+"+host, "=rate "+customer, "=both "+customer))
	c.turns()
}

// pass lets time pass, with a look at things where it is due, as the two waits tell.
func (c *caller) pass() {
	wait, meets := c.gateway.Wait(c.now), c.gateway.Meets(c.now)
	c.digest.Float(wait, meets)
	c.now += wait * c.random.Float64()
	if c.random.Intn(400) == 0 {
		c.now += 20 * c.random.Float64()
	}
	if c.random.Intn(3) > 0 {
		c.gateway.Tick(c.now)
	}
	if meets < 0.5 || c.random.Intn(20) == 0 {
		c.gateway.Meet(c.now)
	}
	c.turns()
	c.books()
}

// books adds what others may know of the gateway's books.
func (c *caller) books() {
	c.gateway.Debts(func(name uint64, units, life float64) {
		c.digest.Uint(name)
		c.digest.Float(units, life)
	})
	for _, call := range c.calls {
		c.digest.Float(c.gateway.Places(call.name))
	}
	scope, needs := c.gateway.Marked(pick(c, "read", "zone", "cell", "all", "once", "nobody's"))
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
