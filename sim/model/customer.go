package model

import "otterseam/sim/scenario"

// QuotaUse is how much of its quota a customer asks for.
type QuotaUse int

// The classes of use, in the order of QuotaUseNames.
const (
	FarBelowQuota QuotaUse = iota // well under it
	NearQuota                     // nearly all of it
	OverQuota                     // more than it
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

	// InvocationRate is the rate of first invocations a second; RateFactor multiplies it while a burst lasts.
	InvocationRate float64
	RateFactor     float64

	// The customer comes in through GatewayCount api gateways, from FirstGateway on. Preferred is the one of them that it prefers
	// until PreferredUntil; Concentrated sends all its invocations there.
	FirstGateway   int
	GatewayCount   int
	Preferred      int
	PreferredUntil float64
	Concentrated   bool

	// HonoursRetryAfter says that its clients wait as long as a throttling asks. ImmediateRetries is how many times more they retry
	// at once instead, while a fault makes them.
	HonoursRetryAfter bool
	ImmediateRetries  int
	// PatienceFactor is the part of their patience that its clients have at present.
	PatienceFactor float64
}
