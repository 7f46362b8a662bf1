package gatewaymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/hostmodel"
)

// idleMargin is the fraction of the hosts' idle timeout after which an api gateway closes a connection itself.
const idleMargin = 0.8

// connection is an idle connection.
type connection struct {
	incarnation int // of the host, when the connection was established
	idleSince   float64
}

// takeIdle removes and returns the most recently used idle connection to a host. It closes those that are close to the host's idle
// timeout.
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

// putIdle keeps the connection of an answered attempt as idle, unless the host has been down since.
func (g *Gateway) putIdle(f *flight) {
	if f.onSameHost() {
		g.idleConnections[f.host] = append(g.idleConnections[f.host], connection{f.incarnation, g.clock.Now()})
	}
}

// dial opens a connection for an attempt. The attempt ends if the dial times out.
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
		return // the connection is never established
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

// dialEnded handles the host's acceptance or refusal of a connection. wanted reports whether the gateway still needs the connection.
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
	case !f.host.IsSilent(): // a silent host lets the dial time out
		g.endAttempt(f.attempt, policy.NoConnection)
	}
}

// closeConnection closes the connection of an attempt. The host is notified after the network delay and drops the job if it is queued.
func (g *Gateway) closeConnection(f *flight) {
	if !f.onSameHost() {
		g.environment.AttemptReleased(f.attempt)
		return
	}
	if g.network.Partitioned(g.Zone, f.host.Zone) { // the host is never notified, and closes the connection at its idle timeout
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
