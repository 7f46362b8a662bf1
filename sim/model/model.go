// Package model owns the plain things that the laboratory's parts hand to each other: customers, what they want done,
// the invocations by which they ask for it, and deliveries. It knows no clock, no rule and no queue.
package model

import "otterseam/sim/scenario"

// Class says how a customer's use lies to its quota.
type Class int

const (
	Far  Class = iota // well under it
	Near              // nearly all of it
	Over              // more than it
)

// Classes are their names, in order.
var Classes = []string{"far", "near", "over"}

// Operation is one of the day's operations with its figures drawn.
type Operation struct {
	*scenario.Operation
	Number int
}

// Customer is one customer of a plan.
type Customer struct {
	Number     int
	Key        string // 16 hex digits
	Plan       *scenario.Plan
	PlanNumber int
	Class      Class
	Rate       float64 // first tries a second
	First      int     // of the api gateways it comes in through
	Width      int
	Favourite  int // of them, at present
	Until      float64
	Follows    bool // keeps to the time to come back
	Again      int  // further tries at once, in spite of it
	Times      float64
	Short      float64 // part of its patience it has at present
	Gathered   bool
}

// Need is what a client wants done. Its tries belong to it.
type Need struct {
	Cust   *Customer
	Op     Operation
	Units  float64 // as it says
	True   float64 // as the quota counts it, where it is settled
	Work   float64 // seconds on a core of speed 1
	Born   float64
	Until  float64 // its client waits no longer
	Tries  int
	Inside bool // its units were inside the quota when it was first asked for
	Closed bool
	Last   Ending
	Beyond bool // its last try that was sent on was beyond the quota
	Room   bool // of the last try, if it was throttled: there was room
}

// Value is what it is worth in time.
func (n *Need) Value() float64 { return n.Op.Value.V() * n.Cust.Plan.Price.V() * n.Units }

// Ending is how a try ended for its client.
type Ending int

const (
	Open Ending = iota
	Served
	Throttled
	Errored
	Unanswered  // its client gave up
	Broken      // its connection ended without an answer
	Unreachable // no api gateway took it
)

// Endings are their names, in order.
var Endings = []string{"open", "served", "throttled", "errored", "unanswered", "broken", "unreachable"}

// Invocation is one try, as an api gateway has it.
type Invocation struct {
	Ref        string
	Number     uint64
	Need       *Need
	Gateway    int
	Born       float64 // sent by its client
	GiveUp     float64
	Repeat     bool
	Taken      bool // the api gateway's machine has it whole
	Final      Ending
	Deliveries []*Delivery
	Counted    bool // its units were taken from the customer's quota
}

// Delivery is one sending of an invocation to a host.
type Delivery struct {
	Inv     *Invocation
	Number  int
	Host    int
	Sent    float64
	Over    bool // the api gateway has its outcome, or is gone
	Reached bool // whole at the host
	Written bool // its last byte has left the api gateway
	Proved  bool // its outcome proves that it never ran
	Ran     bool // it has begun to run
	Out     bool // counts as out in the customer's quota
}
