package policy

import (
	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
)

// allPeers addresses every other API gateway.
const allPeers = membership.Broadcast

// Scopes within which hosts recognise a repeat of a deduplicated operation.
const (
	scopeAll  = "all"
	scopeZone = "zone"
	scopeCell = "cell"
)

// stateActive is the state of a listed host that may be sent new work.
const stateActive = "active"

// Effect says whether an operation may run again.
type Effect int

// Effects of operations.
const (
	Idempotent    Effect = iota // may run any number of times
	Deduplicated                // carries a token by which a repeat is recognised
	NonIdempotent               // must never run twice
)

// Outcome is how an attempt, a health probe or a call to the counter ended, as the line protocol writes it.
type Outcome byte

// Outcomes.
const (
	Succeeded    Outcome = 'S'
	Failed       Outcome = 'E' // answered with an error
	Rejected     Outcome = 'F' // turned away by the host; never ran
	TimedOut     Outcome = 'T'
	NoConnection Outcome = 'C' // never ran
	Reset        Outcome = 'R'
	Cancelled    Outcome = 'X'
	NotSent      Outcome = 'N' // never ran
)

// neverRan says whether an outcome proves that the attempt did not run.
func (o Outcome) neverRan() bool { return o == Rejected || o == NoConnection || o == NotSent }

// Operation is a kind of invocation.
type Operation struct {
	Name          string
	LatencyTarget float64 // s; the answer is wanted within this
	Value         float64 // billed value
	LateValue     float64 // part of it that an answer after the target is worth
	Effect        Effect
	DedupScope    string  // Deduplicated: which hosts drop repeats: "all", or those of one "zone" or "cell"
	DedupWindow   float64 // s; Deduplicated: for how long
}

// Plan holds what is promised to each of its customers.
type Plan struct {
	Name          string
	Rate          float64 // units/s; 0: no quota on the rate
	Burst         float64 // units at once
	MaxConcurrent int     // invocations in flight; 0: no quota on them
	CeilingRate   float64 // units/s that are never passed; 0: no hard ceiling
	CeilingBurst  float64 // units
}

// Instance is this API gateway's place among all of them.
type Instance struct {
	Gateways int                  // configured API gateways
	Zone     string               // where this one stands
	Seed     uint64               // of its random choices
	Peers    *membership.Detector // which of the API gateways are there; nil: the configured ones
	Overload *overload.Controller // bounds what all do while hosts don't answer; nil: nothing is bounded
}

// Config is all that a Gateway is made of.
type Config struct {
	Instance   Instance
	Operations []Operation
	Plans      []Plan
	Counter    CounterConfig
	SlowStart  SlowStart
	Limits     Limits
}

// Limits is what the deployment allows an API gateway.
type Limits struct {
	MaxAttempts     int  // for one invocation
	CanCancel       bool // attempts in flight may be cancelled
	PeerMessages    bool
	PeerMessageRate float64 // messages/s that a peer takes in
}

// CounterConfig describes the counter service.
type CounterConfig struct {
	Present      bool
	Timeout      float64 // s until a call is given up
	SettlesUnits bool    // the true units come with an answer
	MaxUnits     float64 // most units of one invocation
}

// SlowStart describes hosts that have just started.
type SlowStart struct {
	InitialCapacity float64 // part of its capacity that a host has as it starts
	Duration        float64 // s until it has all of it
	OverloadFactor  float64 // how many times its capacity a starting host stands
}

// HostEntry is one line of the list of hosts.
type HostEntry struct {
	Addr      string
	Zone      string
	Cell      int
	State     string  // "active", "leaving" or "left"
	StartedAt float64 // clock time of its last start; 0: long ago
	Weight    float64 // its size beside the others'; 0: unknown
}

// Request is an invocation as it came in.
type Request struct {
	Ref          string
	Operation    string
	Customer     string
	Plan         string
	Units        float64 // estimated
	Deadline     float64 // clock time at which its client gives up
	FirstGateway int     // the first of the API gateways through which this customer comes in
	GatewayCount int     // how many they are
	ClientRetry  bool    // marked by its client as a repeat
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome     Outcome
	Final       bool    // the invocation is over by this outcome or before it
	Duration    float64 // s since it was sent
	ActualUnits float64 // true units, where they are settled
}

// Action is what a Decision asks for.
type Action int

// Actions. Throttle and Fail are final answers.
const (
	Pending  Action = iota // nothing now
	Send                   // to Host
	Throttle               // trying again is harmless, after RetryAfter
	Fail                   // errored; whether it ran is not known
)

// Decision is what is to be done with an invocation.
type Decision struct {
	Action     Action
	Host       *Host   // Send
	RetryAfter float64 // s; Throttle
	Timeout    float64 // s; Send: the attempt is given up after this; 0: when the client gives up
}

// Output carries out what belongs to no single invocation.
type Output interface {
	// AddCount adds amount to a count of the counter service that lives for life seconds.
	AddCount(name uint64, amount, life float64)
	CancelAttempt(attempt *Attempt)
	// SendPeer sends to the API gateway of that number, or to every other one: membership.Broadcast.
	SendPeer(to int, text string)
	Log(text string)
}
