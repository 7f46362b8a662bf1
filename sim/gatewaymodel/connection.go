package gatewaymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/hostmodel"
)

// idleMargin is the part of the hosts' idle time-out after which an api gateway closes a connection itself.
const idleMargin = 0.8

// connection is one at rest.
type connection struct {
	incarnation int // of the host, when it came up
	idleSince   float64
}

// takeIdle takes the idle connection to a host that was used last. Those near the time at which the host closes them are closed here.
func (g *Gateway) takeIdle(host *hostmodel.Host) (taken connection, ok bool) {
	idle := g.idleConnections[host]
	now := g.clock.Now()
	for len(idle) > 0 && (idle[0].incarnation != host.Incarnation || now-idle[0].idleSince > idleMargin*g.scenario.Network.IdleTimeout.Float()) {
		if idle[0].incarnation == host.Incarnation {
			host.Connections--
		}
		idle = idle[1:]
	}
	if last := len(idle) - 1; last >= 0 {
		taken = idle[last]
		ok = true
		idle = idle[:last]
	}
	g.idleConnections[host] = idle
	return taken, ok
}

// putIdle keeps the connection of an attempt that was answered, unless the host has been down since.
func (g *Gateway) putIdle(f *flight) {
	if f.onSameHost() {
		g.idleConnections[f.host] = append(g.idleConnections[f.host], connection{f.incarnation, g.clock.Now()})
	}
}

// dial opens a connection for an attempt, which ends if that takes too long.
func (g *Gateway) dial(f *flight) {
	incarnation := g.incarnation
	f.dialled = true
	g.environment.ConnectionDialled()
	g.clock.ScheduleAfter(g.scenario.Network.DialTimeout.Float(), func() {
		if g.incarnation == incarnation && !f.connected {
			g.endAttempt(f.attempt, policy.NoConnection)
		}
	})
	if g.network.Partitioned(g.Zone, f.host.Zone) || f.host.IsSilent() {
		return // it never comes up
	}
	g.afterDelayTo(f.host.Zone, func() {
		accepted := !f.host.IsSilent() && f.host.OpenConnection()
		hostIncarnation := f.host.Incarnation
		g.clock.ScheduleAfter(g.network.Delay(f.host.Zone, g.Zone), func() {
			wanted := g.incarnation == incarnation && !f.attempt.Ended
			g.dialEnded(f, wanted, accepted, hostIncarnation)
		})
	})
}

// dialEnded goes on with an attempt whose host has accepted its connection or refused it, if the gateway still wants it.
func (g *Gateway) dialEnded(f *flight, wanted, accepted bool, hostIncarnation int) {
	switch {
	case !wanted:
		if accepted && hostIncarnation == f.host.Incarnation {
			f.host.Connections--
		}
	case accepted:
		f.connected = true
		f.incarnation = hostIncarnation
		g.write(f)
	case !f.host.IsSilent(): // a silent one lets the dial time out
		g.endAttempt(f.attempt, policy.NoConnection)
	}
}

// closeConnection closes the connection of an attempt; the host learns of it a delay later, and drops work that waits.
func (g *Gateway) closeConnection(f *flight) {
	if !f.onSameHost() {
		g.environment.AttemptReleased(f.attempt)
		return
	}
	if g.network.Partitioned(g.Zone, f.host.Zone) { // the host never learns of it, and closes the connection when it has idled
		g.clock.ScheduleAfter(g.scenario.Network.IdleTimeout.Float(), func() { g.hostClosed(f) })
		return
	}
	g.afterDelayTo(f.host.Zone, func() { g.hostClosed(f) })
}

func (g *Gateway) hostClosed(f *flight) {
	if f.incarnation == f.host.Incarnation {
		f.host.Connections--
		if f.job != nil {
			f.host.Cancel(f.job)
		}
	}
	g.environment.AttemptReleased(f.attempt)
}
