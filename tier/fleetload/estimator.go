package fleetload

const (
	// TotalsTrust is how long sums are used after they came, in milliseconds: a host's load changes within a second.
	TotalsTrust = 700
	// rememberedReports is how many reports may be on their way; a home that counts an older one is not believed.
	rememberedReports = 8
)

// Estimator is what a gateway knows of the others. It has a single owner.
type Estimator struct {
	gateway uint64
	number  uint64
	sent    [rememberedReports]Report
}

// NewEstimator makes the state of a gateway with a number drawn for the present run of its process.
func NewEstimator(gateway uint64) *Estimator { return &Estimator{gateway: gateway} }

// Gateway is the number of the present run of the gateway's process.
func (e *Estimator) Gateway() uint64 { return e.gateway }

// NextReport is the report to send now.
func (e *Estimator) NextReport(inflight Loads, beginsPerSecond uint32, placed uint64) Report {
	e.number++
	report := Report{Gateway: e.gateway, Number: e.number, BeginsPerSecond: beginsPerSecond, Placed: placed, Inflight: inflight}
	e.sent[e.number%rememberedReports] = report
	return report
}

// Others is what the other gateways have in flight by the totals of a home. It is not known if the totals are not complete, or
// count a report that is not remembered.
func (e *Estimator) Others(totals Totals) (others Loads, known bool) {
	counted := e.sent[totals.Number%rememberedReports]
	if !totals.Complete || counted.Number != totals.Number || totals.Number == 0 {
		return nil, false
	}
	others = Loads{}
	others.add(totals.Inflight)
	others.subtract(counted.Inflight)
	return others, true
}
