package policy

import (
	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
)

// toAll is every other api gateway.
const toAll = membership.All

// Effect says whether an operation may run again.
type Effect int

const (
	Idempotent    Effect = iota // may run again
	Tokened                     // carries a mark by which a repeat is known
	NonIdempotent               // must never run twice
)

// Outcome is how a delivery, a probe or a counter call ended.
type Outcome byte

const (
	Succeeded    Outcome = 'S'
	Failed       Outcome = 'E' // answered with an error
	TurnedAway   Outcome = 'F' // never ran
	TimedOut     Outcome = 'T'
	NoConnection Outcome = 'C' // never ran
	Reset        Outcome = 'R'
	Withdrawn    Outcome = 'X'
	NotSent      Outcome = 'N' // never ran
)

// Operation is a kind of invocation.
type Operation struct {
	Name      string
	Objective float64 // latency objective: the answer is wanted within this
	Value     float64 // billed value
	Late      float64 // part of it that an answer after the objective is worth
	Effect    Effect
	Group     string  // tokened: who drops repeats: "all", "zone" or "cell"
	TokenTime float64 // tokened: for how long
}

// Plan holds what is promised to each of its customers.
type Plan struct {
	Name         string
	Rate, Burst  float64 // units a second, units at once; rate 0: no such quota
	MaxOut       int     // deliveries out at once; 0: no such quota
	CeilingRate  float64 // hard ceiling; 0: none
	CeilingBurst float64
}

// Standing is this instance's place among the api gateways.
type Standing struct {
	Gateways int
	Zone     string
	Seed     uint64            // for its chances
	Peers    *membership.Group // who of the api gateways is there; nil: the list alone says it
	Damp     *overload.Fleet   // its part in what all do while hosts don't answer; nil: nothing is bounded
}

// Allowed is what the deployment lets an api gateway do.
type Allowed struct {
	Deliveries int // for one invocation
	Cancel     bool
	Peers      bool
	Mail       float64 // messages a second that a peer takes in
}

// Counter describes the counter service.
type Counter struct {
	Present bool
	Limit   float64 // a call is given up after this
	Settles bool    // the true units come with the answer
	Most    float64 // most units of one invocation
}

// Cold describes hosts that have just started.
type Cold struct {
	Share, Warm, Factor float64
}

// Listed is one line of the list of hosts.
type Listed struct {
	Addr, Zone string
	Cell       int
	State      string  // "active", "leaving" or "left"
	Since      float64 // clock time of its last start; 0: long ago
	Weight     float64 // its size beside the others'; 0: not told
}

// Asked is an invocation as it came in.
type Asked struct {
	Ref, Operation, Customer, Plan string
	Units, GiveUp                  float64 // GiveUp: clock time at which its client gives up
	First, Width                   int     // api gateways this customer comes in through: the first, how many
	Repeat                         bool    // marked by its client as a repeat
}

// Ended is how a delivery ended.
type Ended struct {
	How   Outcome
	Over  bool    // the invocation is over by this outcome or before it
	Took  float64 // seconds since it was sent
	Units float64 // true units, where they are settled
}

// Do is what an answer asks for.
type Do int

const (
	NotYet   Do = iota
	Send        // to Host
	Throttle    // final; trying again is harmless, after RetryAfter
	GiveUp      // final; errored, no promise
)

// Answer is what the deciding calls return.
type Answer struct {
	Do         Do
	Host       *Host
	RetryAfter float64
	Within     float64 // Send: the delivery is given up after this; 0: when the client gives up
}

// Out is the narrow way out for what belongs to no single invocation.
type Out interface {
	Count(name uint64, amount, life float64)
	Cancel(d *Delivery)
	Tell(to int, text string) // to an api gateway by its number, or to every other one: member.All
	Log(text string)
}
