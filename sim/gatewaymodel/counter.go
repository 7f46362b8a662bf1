package gatewaymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/countermodel"
)

// counterCall is one call to the counter. The policy gets exactly one outcome, at the latest when the call times out.
type counterCall struct {
	gateway     *Gateway
	incarnation int // of the gateway
	name        uint64
	startedAt   float64
	ended       bool
}

// AddCount adds amount to a count of the counter that expires after lifetime seconds.
func (g *Gateway) AddCount(name uint64, amount, lifetime float64) {
	call := &counterCall{gateway: g, incarnation: g.incarnation, name: name, startedAt: g.clock.Now()}
	g.clock.ScheduleAfter(g.scenario.Counter.Timeout.Float(), func() { call.end(policy.TimedOut, 0) })
	if !g.counter.AcceptsConnections() {
		g.clock.ScheduleAfter(2*g.network.Delay(g.Zone, g.counterZone), func() { call.end(policy.NoConnection, 0) })
		return
	}
	if g.network.Partitioned(g.Zone, g.counterZone) {
		return
	}
	g.afterDelayTo(g.counterZone, func() {
		g.counter.Add(g.SeesSplitCopy, name, amount, lifetime, call.reply)
	})
}

// reply delivers the counter's answer to the gateway, unless the network is partitioned. Replies of one partition keep their order.
func (c *counterCall) reply(outcome countermodel.Outcome, sum float64) {
	g := c.gateway
	if g.network.Partitioned(g.Zone, g.counterZone) {
		return
	}
	partition := int(c.name % uint64(g.scenario.Counter.Partitions.Int()))
	arrival := max(g.lastCounterReply[partition], g.clock.Now()+g.network.Delay(g.counterZone, g.Zone))
	if g.incarnation == c.incarnation {
		g.lastCounterReply[partition] = arrival
	}
	g.clock.Schedule(arrival, func() {
		switch outcome {
		case countermodel.Added:
			c.end(policy.Succeeded, sum)
		case countermodel.Rejected:
			c.end(policy.Rejected, 0)
		case countermodel.ConnectionRefused:
			c.end(policy.NoConnection, 0)
		}
	})
}

// end passes the outcome to the policy, unless the call has ended already.
func (c *counterCall) end(outcome policy.Outcome, sum float64) {
	g := c.gateway
	if c.ended || g.incarnation != c.incarnation {
		return
	}
	c.ended = true
	g.environment.CounterCalled(outcome != policy.Succeeded)
	g.handle(func(now float64) { g.Policy.CounterReplied(now, c.name, outcome, sum, now-c.startedAt) })
}
