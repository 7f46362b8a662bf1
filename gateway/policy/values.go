package policy

import (
	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
)

// toAll is every other api gateway.
const allPeers = membership.Broadcast

// Effect says whether an operation may run again.
type Effect int

const (
	Idempotent    Effect = iota // may run again
	Deduplicated                // carries a mark by which a repeat is known
	NonIdempotent               // must never run twice
)

// Outcome is how a delivery, a probe or a counter call ended.
type Outcome byte

const (
	Succeeded    Outcome = 'S'
	Failed       Outcome = 'E' // answered with an error
	Rejected     Outcome = 'F' // never ran
	TimedOut     Outcome = 'T'
	NoConnection Outcome = 'C' // never ran
	Reset        Outcome = 'R'
	Cancelled    Outcome = 'X'
	NotSent      Outcome = 'N' // never ran
)

// Operation is a kind of invocation.
type Operation struct {
	Name          string
	LatencyTarget float64 // latency objective: the answer is wanted within this
	Value         float64 // billed value
	LateValue     float64 // part of it that an answer after the objective is worth
	Effect        Effect
	DedupScope    string  // tokened: who drops repeats: "all", "zone" or "cell"
	DedupWindow   float64 // tokened: for how long
}

// Plan holds what is promised to each of its customers.
type Plan struct {
	Name          string
	Rate, Burst   float64 // units a second, units at once; rate 0: no such quota
	MaxConcurrent int     // deliveries out at once; 0: no such quota
	CeilingRate   float64 // hard ceiling; 0: none
	CeilingBurst  float64
}

// Standing is this instance's place among the api gateways.
type Instance struct {
	Gateways int
	Zone     string
	Seed     uint64               // for its chances
	Peers    *membership.Detector // who of the api gateways is there; nil: the list alone says it
	Overload *overload.Controller // its part in what all do while hosts don't answer; nil: nothing is bounded
}

// Allowed is what the deployment lets an api gateway do.
type Limits struct {
	MaxAttempts     int // for one invocation
	CanCancel       bool
	PeerMessages    bool
	PeerMessageRate float64 // messages a second that a peer takes in
}

// Counter describes the counter service.
type CounterConfig struct {
	Present      bool
	Timeout      float64 // a call is given up after this
	SettlesUnits bool    // the true units come with the answer
	MaxUnits     float64 // most units of one invocation
}

// Cold describes hosts that have just started.
type SlowStart struct {
	InitialCapacity, Duration, OverloadFactor float64
}

// Listed is one line of the list of hosts.
type HostEntry struct {
	Addr, Zone string
	Cell       int
	State      string  // "active", "leaving" or "left"
	StartedAt  float64 // clock time of its last start; 0: long ago
	Weight     float64 // its size beside the others'; 0: not told
}

// Asked is an invocation as it came in.
type Request struct {
	Ref, Operation, Customer, Plan string
	Units, Deadline                float64 // GiveUp: clock time at which its client gives up
	FirstGateway, GatewayCount     int     // api gateways this customer comes in through: the first, how many
	ClientRetry                    bool    // marked by its client as a repeat
}

// Ended is how a delivery ended.
type AttemptResult struct {
	Outcome     Outcome
	Final       bool    // the invocation is over by this outcome or before it
	Duration    float64 // seconds since it was sent
	ActualUnits float64 // true units, where they are settled
}

// Do is what an answer asks for.
type Action int

const (
	Pending  Action = iota
	Send            // to Host
	Throttle        // final; trying again is harmless, after RetryAfter
	Fail            // final; errored, no promise
)

// Answer is what the deciding calls return.
type Decision struct {
	Action     Action
	Host       *Host
	RetryAfter float64
	Timeout    float64 // Send: the delivery is given up after this; 0: when the client gives up
}

// Out is the narrow way out for what belongs to no single invocation.
type Output interface {
	AddCount(name uint64, amount, life float64)
	CancelAttempt(d *Attempt)
	SendPeer(to int, text string) // to an api gateway by its number, or to every other one: member.All
	Log(text string)
}
