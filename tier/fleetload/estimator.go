package fleetload

const (
	// TotalsTrust is how long a gateway uses totals after it received them, in milliseconds: a host's load changes within a second.
	TotalsTrust = 700
	// keptReports is how many of the newest reports are kept. Totals that count an older report are not used.
	keptReports = 8
)

// Estimator derives the load of the other gateways from the totals of a home. It is not safe for concurrent use.
type Estimator struct {
	gateway uint64
	number  uint64
	sent    [keptReports]Report
}

// NewEstimator returns the estimator of a gateway. The number gateway identifies the current run of the gateway's process.
func NewEstimator(gateway uint64) *Estimator { return &Estimator{gateway: gateway} }

// Gateway returns the number that identifies the current run of the gateway's process.
func (e *Estimator) Gateway() uint64 { return e.gateway }

// NextReport returns the next report to send and keeps it, so that totals that count it can be used.
func (e *Estimator) NextReport(inflight Loads, beginsPerSecond uint32, placed uint64) Report {
	e.number++
	report := Report{Gateway: e.gateway, Number: e.number, BeginsPerSecond: beginsPerSecond, Placed: placed, Inflight: inflight}
	e.sent[e.number%keptReports] = report
	return report
}

// Others returns what the other gateways have in flight according to the totals of a home. It is unknown if the totals are
// incomplete or count a report that is no longer kept.
func (e *Estimator) Others(totals Totals) (others Loads, known bool) {
	counted := e.sent[totals.Number%keptReports]
	if !totals.Complete || counted.Number != totals.Number || totals.Number == 0 {
		return nil, false
	}
	others = Loads{}
	others.add(totals.Inflight)
	others.subtract(counted.Inflight)
	return others, true
}
