package model

import "otterseam/sim/scenario"

// QuotaUse is a class of customers by how much of their quota they use.
type QuotaUse int

// The classes of use, in the order of QuotaUseNames.
const (
	FarBelowQuota QuotaUse = iota // far less than the quota
	NearQuota                     // nearly all of the quota
	OverQuota                     // more than the quota
)

// QuotaUseNames are the names of the classes of use in results and reports.
var QuotaUseNames = []string{"far", "near", "over"}

// Customer is one customer of a plan.
type Customer struct {
	Number     int
	Key        string // 16 hex digits
	Plan       *scenario.Plan
	PlanNumber int
	QuotaUse   QuotaUse

	// InvocationRate is the rate of first invocations a second. RateFactor multiplies it during a burst.
	InvocationRate float64
	RateFactor     float64

	// The customer uses GatewayCount consecutive api gateways, beginning with FirstGateway. Preferred is the index among them of the
	// gateway that it prefers until PreferredUntil. Concentrated sends all its invocations to that one.
	FirstGateway   int
	GatewayCount   int
	Preferred      int
	PreferredUntil float64
	Concentrated   bool

	// HonoursRetryAfter means that its clients wait for the retry-after of a throttled invocation. ImmediateRetries is the number of
	// additional, immediate retries during a fault.
	HonoursRetryAfter bool
	ImmediateRetries  int
	// PatienceFactor multiplies how long its clients wait for an answer.
	PatienceFactor float64
}
