// Package model owns the plain things that the laboratory's parts hand to each other: customers, what they want done,
// the invocations by which they ask for it, and deliveries. It knows no clock, no rule and no queue.
package model

import "otterseam/sim/scenario"

// QuotaUse says how a customer's use lies to its quota.
type QuotaUse int

const (
	FarBelowQuota QuotaUse = iota // well under it
	NearQuota                     // nearly all of it
	OverQuota                     // more than it
)

// QuotaUseNames are their names, in order.
var QuotaUseNames = []string{"far", "near", "over"}

// Operation is one of the day's operations with its figures drawn.
type Operation struct {
	*scenario.Operation
	Number int
}

// Customer is one customer of a plan.
type Customer struct {
	Number            int
	Key               string // 16 hex digits
	Plan              *scenario.Plan
	PlanNumber        int
	QuotaUse          QuotaUse
	InvocationRate    float64 // first tries a second
	FirstGateway      int     // of the api gateways it comes in through
	GatewayCount      int
	Preferred         int // of them, at present
	PreferredUntil    float64
	HonoursRetryAfter bool // keeps to the time to come back
	ImmediateRetries  int  // further tries at once, in spite of it
	RateFactor        float64
	PatienceFactor    float64 // part of its patience it has at present
	Concentrated      bool
}

// Request is what a client wants done. Its tries belong to it.
type Request struct {
	Customer        *Customer
	Operation       Operation
	Units           float64 // as it says
	ActualUnits     float64 // as the quota counts it, where it is settled
	Work            float64 // seconds on a core of speed 1
	CreatedAt       float64
	Deadline        float64 // its client waits no longer
	InvocationCount int
	WithinQuota     bool // its units were inside the quota when it was first asked for
	Closed          bool
	LastOutcome     Outcome
	BeyondQuota     bool // its last try that was sent on was beyond the quota
	QuotaHadRoom    bool // of the last try, if it was throttled: there was room
}

// Value is what it is worth in time.
func (n *Request) Value() float64 { return n.Operation.Value.V() * n.Customer.Plan.Price.V() * n.Units }

// Outcome is how a try ended for its client.
type Outcome int

const (
	Pending Outcome = iota
	Served
	Throttled
	Errored
	Unanswered  // its client gave up
	Broken      // its connection ended without an answer
	Unreachable // no api gateway took it
)

// OutcomeNames are their names, in order.
var OutcomeNames = []string{"open", "served", "throttled", "errored", "unanswered", "broken", "unreachable"}

// Invocation is one try, as an api gateway has it.
type Invocation struct {
	Ref         string
	Number      uint64
	Request     *Request
	Gateway     int
	SentAt      float64 // sent by its client
	GiveUpAt    float64
	ClientRetry bool
	Accepted    bool // the api gateway's machine has it whole
	Outcome     Outcome
	Attempts    []*Attempt
	Charged     bool // its units were taken from the customer's quota
}

// Attempt is one sending of an invocation to a host.
type Attempt struct {
	Invocation         *Invocation
	Number             int
	Host               int
	SentAt             float64
	Ended              bool // the api gateway has its outcome, or is gone
	ReachedHost        bool // whole at the host
	Written            bool // its last byte has left the api gateway
	ProvenNotRun       bool // its outcome proves that it never ran
	Started            bool // it has begun to run
	CountsAgainstQuota bool // counts as out in the customer's quota
}
