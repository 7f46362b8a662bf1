package policy

import (
	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
)

// allPeers addresses every other API gateway.
const allPeers = membership.Broadcast

// Scopes within which hosts recognize a repeat of a deduplicated operation.
const (
	scopeAll  = "all"
	scopeZone = "zone"
	scopeCell = "cell"
)

// stateActive is the state of a listed host that may get new attempts.
const stateActive = "active"

// Effect determines whether an operation may run again.
type Effect int

// Effects of operations.
const (
	Idempotent    Effect = iota // may run any number of times
	Deduplicated                // carries a token by which hosts recognize a repeat
	NonIdempotent               // must never run twice
)

// Outcome is the outcome of an attempt, a health probe or a call to the counter. Its values are those of the line protocol.
type Outcome byte

// Outcomes.
const (
	Succeeded    Outcome = 'S'
	Failed       Outcome = 'E' // answered with an error
	Rejected     Outcome = 'F' // refused by the host; never ran
	TimedOut     Outcome = 'T'
	NoConnection Outcome = 'C' // never ran
	Reset        Outcome = 'R'
	Cancelled    Outcome = 'X'
	NotSent      Outcome = 'N' // never ran
)

// neverRan reports whether an outcome proves that the attempt did not run.
func (o Outcome) neverRan() bool { return o == Rejected || o == NoConnection || o == NotSent }

// Operation is a kind of invocation.
type Operation struct {
	Name          string
	LatencyTarget float64 // s
	Value         float64 // billed value
	LateValue     float64 // value of an answer after the target, as a fraction of Value
	Effect        Effect
	DedupScope    string  // Deduplicated: which hosts drop repeats: "all", or those of one "zone" or "cell"
	DedupWindow   float64 // s; Deduplicated: how long hosts recognize a repeat
}

// Plan defines the quotas of each of its customers.
type Plan struct {
	Name          string
	Rate          float64 // units/s; 0: no quota on the rate
	Burst         float64 // units at once
	MaxConcurrent int     // invocations in flight; 0: no concurrency quota
	CeilingRate   float64 // units/s that are never exceeded; 0: no hard ceiling
	CeilingBurst  float64 // units
}

// Instance describes this API gateway and its relation to the others.
type Instance struct {
	Gateways int                  // number of configured API gateways
	Zone     string               // zone of this API gateway
	Seed     uint64               // seed of its random numbers
	Peers    *membership.Detector // determines the live API gateways; nil: all configured ones
	Overload *overload.Controller // bounds the load of all API gateways while hosts don't answer; nil: no bound
}

// Config is the configuration of a Gateway.
type Config struct {
	Instance   Instance
	Operations []Operation
	Plans      []Plan
	Counter    CounterConfig
	SlowStart  SlowStart
	Limits     Limits
}

// Limits holds the limits that the deployment sets to an API gateway.
type Limits struct {
	MaxAttempts     int  // per invocation
	CanCancel       bool // attempts in flight may be cancelled
	PeerMessages    bool
	PeerMessageRate float64 // messages/s that a peer accepts
}

// CounterConfig describes the counter service.
type CounterConfig struct {
	Present      bool
	Timeout      float64 // s until a call times out
	SettlesUnits bool    // answers carry the actual units, which replace the estimate
	MaxUnits     float64 // maximum units of one invocation
}

// SlowStart describes the warm-up of hosts after their start.
type SlowStart struct {
	InitialCapacity float64 // fraction of its full capacity that a host has at its start
	Duration        float64 // s until a host has its full capacity
	OverloadFactor  float64 // load that a starting host withstands, as a multiple of its capacity
}

// HostEntry is one entry of the list of hosts.
type HostEntry struct {
	Addr      string
	Zone      string
	Cell      int
	State     string  // "active", "leaving" or "left"
	StartedAt float64 // clock time of its last start; 0: long ago
	Weight    float64 // its capacity relative to the others'; 0: unknown
}

// Request is an invocation as it was received.
type Request struct {
	Ref          string
	Operation    string
	Customer     string
	Plan         string
	Units        float64 // estimated
	Deadline     float64 // clock time at which its client gives up
	FirstGateway int     // number of the first API gateway that receives this customer's requests
	GatewayCount int     // number of API gateways that receive this customer's requests
	ClientRetry  bool    // marked by its client as a retry
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Outcome     Outcome
	Final       bool    // the invocation ended with this outcome or before it
	Duration    float64 // s since it was sent
	ActualUnits float64 // actual units, if they are settled
}

// Action is the action that a Decision asks for.
type Action int

// Actions. Throttle and Fail are final answers.
const (
	Pending  Action = iota // nothing to do now
	Send                   // send an attempt to Host
	Throttle               // the client may safely retry after RetryAfter
	Fail                   // the invocation failed; it is not known whether it ran
)

// Decision is what to do with an invocation.
type Decision struct {
	Action     Action
	Host       *Host   // Send
	RetryAfter float64 // s; Throttle
	Timeout    float64 // Send: s until the attempt times out; 0: at the client's deadline
}

// Output carries out actions that belong to no single invocation.
type Output interface {
	// AddCount adds amount to a count of the counter service that is kept for life seconds.
	AddCount(name uint64, amount, life float64)
	CancelAttempt(attempt *Attempt)
	// SendPeer sends a message to the API gateway with the given number, or to all others if to is membership.Broadcast.
	SendPeer(to int, text string)
	Log(text string)
}
