package gatewaymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
)

// Policy makes the decisions of one api gateway. It outputs them through the policydriver.Output that it was created with. After each
// call, or after several calls at one moment, SetTimers is called. All times are clock times in seconds.
type Policy interface {
	// UpdateHosts passes the complete list of hosts or, unless complete is set, changes to it.
	UpdateHosts(now float64, list []policy.HostEntry, complete bool)
	// Accept passes a new invocation.
	Accept(now float64, request policy.Request)
	// AttemptEnded passes the result of an attempt, which is identified by its number.
	AttemptEnded(now float64, ref string, number int, result policy.AttemptResult)
	// Abandon reports that the client of an invocation has given up.
	Abandon(now float64, ref string)
	// TimerFired reports that a timer is due.
	TimerFired(now float64, nonce uint64)
	// PeerMessage passes a message from another api gateway.
	PeerMessage(now float64, from int, text string)
	// CounterReplied passes the outcome of a call to the counter. seconds is the duration of the call.
	CounterReplied(now float64, name uint64, outcome policy.Outcome, sum, seconds float64)
	// SetTimers has the policy set the timers that it needs after the preceding calls.
	SetTimers(now float64)
}

// Environment gives an api gateway access to the rest of the simulation and is notified of its actions.
type Environment interface {
	// Host returns the host at an address, or nil if there is none.
	Host(addr string) *hostmodel.Host

	// AttemptSent reports that an attempt begins.
	AttemptSent(attempt *model.Attempt)
	// AttemptReached reports that an attempt has arrived at its host in full.
	AttemptReached(attempt *model.Attempt)
	// AttemptStarted reports that the host has begun to run an attempt.
	AttemptStarted(attempt *model.Attempt)
	// AttemptReleased reports that an attempt no longer counts as in flight, because it is answered or its connection is closed.
	AttemptReleased(attempt *model.Attempt)
	// InvocationAnswered reports a final answer. For a throttled invocation it returns whether the quota had room.
	InvocationAnswered(invocation *model.Invocation, outcome model.Outcome) (hadRoom bool)
	// DeliverAnswer delivers an answer to its client.
	DeliverAnswer(invocation *model.Invocation, outcome model.Outcome, retryAfter float64, hadRoom bool)

	// SendPeerMessage sends a message to an api gateway, or to all others if to is membership.Broadcast.
	SendPeerMessage(from, to int, text string)
	// Trace records a line about an invocation or, if ref is empty, a line of the gateway's log.
	Trace(from int, ref, text string)
	// CounterCalled reports a call to the counter and whether it failed.
	CounterCalled(failed bool)
	// ConnectionDialled reports a new connection to a host.
	ConnectionDialled()
}
