package gatewaymodel

import (
	"otterseam/gateway/policy"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
)

// Policy decides for one api gateway. Its decisions leave through the policydriver.Output that it was made with; after each call,
// or several at one moment, SetTimers is called. All times are clock times in seconds.
type Policy interface {
	// UpdateHosts brings the list of hosts, or, unless complete, changes of it.
	UpdateHosts(now float64, list []policy.HostEntry, complete bool)
	// Accept brings an invocation.
	Accept(now float64, request policy.Request)
	// AttemptEnded brings the result of an attempt by its number.
	AttemptEnded(now float64, ref string, number int, result policy.AttemptResult)
	// Abandon tells that the client of an invocation has given up.
	Abandon(now float64, ref string)
	// TimerFired tells that a timer is due.
	TimerFired(now float64, nonce uint64)
	// PeerMessage brings a message of another api gateway.
	PeerMessage(now float64, from int, text string)
	// CounterReplied brings the outcome of a call to the counter, which took so many seconds.
	CounterReplied(now float64, name uint64, outcome policy.Outcome, sum, seconds float64)
	// SetTimers has the policy set the timers that it needs after what it was told.
	SetTimers(now float64)
}

// Environment is what an api gateway meets, and who is told of what it does.
type Environment interface {
	// Host is the host at an address, nil where there is none.
	Host(addr string) *hostmodel.Host

	// AttemptSent tells that an attempt begins.
	AttemptSent(attempt *model.Attempt)
	// AttemptReached tells that all of an attempt is at its host.
	AttemptReached(attempt *model.Attempt)
	// AttemptStarted tells that the host has begun to run it.
	AttemptStarted(attempt *model.Attempt)
	// AttemptReleased tells that an attempt no longer counts as in flight: it is answered, or its connection is closed.
	AttemptReleased(attempt *model.Attempt)
	// InvocationAnswered tells of a final answer and says whether the quota had room, if it is a throttling.
	InvocationAnswered(invocation *model.Invocation, outcome model.Outcome) (hadRoom bool)
	// DeliverAnswer brings an answer to its client.
	DeliverAnswer(invocation *model.Invocation, outcome model.Outcome, retryAfter float64, hadRoom bool)

	// SendPeerMessage sends a message to an api gateway, or to all others: membership.Broadcast.
	SendPeerMessage(from, to int, text string)
	// Trace takes a line about an invocation, or, without a ref, of a gateway's log.
	Trace(from int, ref, text string)
	// CounterCalled tells of a call to the counter, and whether it failed.
	CounterCalled(failed bool)
	// ConnectionDialled tells of a new connection to a host.
	ConnectionDialled()
}
