package model

import "otterseam/sim/scenario"

// Operation is one of the scenario's operations, whose values have been drawn.
type Operation struct {
	*scenario.Operation
	Number int
}

// Request is a unit of work that a client requests. The client sends one invocation after another until one is served or it gives up.
type Request struct {
	Customer    *Customer
	Operation   Operation
	Units       float64 // as declared by the client
	ActualUnits float64 // as charged to the quota after settlement
	Work        float64 // seconds on a core of speed 1
	CreatedAt   float64
	Deadline    float64 // the client does not wait longer

	InvocationCount int
	WithinQuota     bool // its units were within the quota when it was created
	Closed          bool
	LastOutcome     Outcome
	BeyondQuota     bool // its last invocation that reached a host was beyond the quota
	QuotaHadRoom    bool // its last invocation was throttled although the quota had room
}

// Value returns the value of serving the request in time.
func (r *Request) Value() float64 {
	return r.Operation.Value.Float() * r.Customer.Plan.Price.Float() * r.Units
}

// Outcome is how an invocation ended for its client.
type Outcome int

// The outcomes, in the order of OutcomeNames.
const (
	Pending Outcome = iota
	Served
	Throttled
	Errored
	Unanswered  // its client gave up
	Broken      // its connection ended without an answer
	Unreachable // no api gateway accepted it
)

// OutcomeNames are the names of the outcomes in results and reports.
var OutcomeNames = []string{"open", "served", "throttled", "errored", "unanswered", "broken", "unreachable"}
