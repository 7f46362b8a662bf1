package hangdetect

import "time"

const (
	// meanGain and deviationGain are the weights of the newest latency in the mean and the mean deviation.
	meanGain      = 1.0 / 16
	deviationGain = 1.0 / 8
	// deviationFactor is the number of mean deviations by which the latency of an outlier exceeds the mean.
	deviationFactor = 10
	// minMargin is the smallest difference between the latency of an outlier and the mean. The process itself may have been delayed
	// for this long by its scheduler or its CPU quota. It corresponds to the clock granularity of RFC 6298.
	minMargin = 150 * time.Millisecond
	// minSamples is the number of observed latencies below which no request is an outlier.
	minSamples = 16
	// maxTimeoutShare is the maximum share of the remaining time that a timeout may take. With a longer timeout, a retry would not fit
	// into the remaining time.
	maxTimeoutShare = 0.5
	// budgetPerResponse is the number of requests that may time out per response received. If more would time out, all requests are
	// slow, and retries would only add load.
	budgetPerResponse = 0.1
	// maxBudget is the maximum number of consecutive requests that may time out.
	maxBudget = 4
)

// Estimator estimates the usual latency of one kind of request. The zero value has no observations. It is not safe for concurrent
// use.
type Estimator struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
	budget    float64 // number of requests that may time out
}

// ObserveResponse records the latency of a request: how long it waited for the first byte of its response.
func (e *Estimator) ObserveResponse(latency time.Duration) {
	e.update(latency)
	e.budget = min(e.budget+budgetPerResponse, maxBudget)
}

// ObserveTimeout records how long a request waited until it was considered hung. Its actual latency would have been even longer, so
// if all requests of a service become slow, the estimate soon adapts.
func (e *Estimator) ObserveTimeout(waited time.Duration) {
	e.update(waited)
	e.budget = max(e.budget-1, 0)
}

// update updates the mean and the mean deviation with a latency.
func (e *Estimator) update(latency time.Duration) {
	if e.samples == 0 {
		e.mean = latency
		e.deviation = latency / 2
	} else {
		difference := (latency - e.mean).Abs()
		e.deviation += time.Duration(deviationGain * float64(difference-e.deviation))
		e.mean += time.Duration(meanGain * float64(latency-e.mean))
	}
	e.samples++
}

// OutlierThreshold returns the latency above which a request is an outlier, or false while too few latencies have been observed.
func (e *Estimator) OutlierThreshold() (time.Duration, bool) {
	return e.mean + max(deviationFactor*e.deviation, minMargin), e.samples >= minSamples
}

// Timeout returns how long a request may wait for its response, or false if it must not time out. The parameter remaining is the time
// until the request's deadline. A request never times out within its latency target.
func (e *Estimator) Timeout(target, remaining time.Duration) (time.Duration, bool) {
	threshold, known := e.OutlierThreshold()
	if !known || e.budget < 1 {
		return 0, false
	}
	timeout := max(threshold, target)
	return timeout, float64(timeout) <= maxTimeoutShare*float64(remaining)
}
