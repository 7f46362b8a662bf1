package hangdetect

import "time"

const (
	// meanGain and deviationGain are the weights of the newest latency in the mean and the mean deviation.
	meanGain      = 1.0 / 16
	deviationGain = 1.0 / 8
	// deviationFactor is how many mean deviations above the mean a latency may lie before it is an outlier.
	deviationFactor = 10
	// minMargin is the least that an outlier lies above the mean: for as long the process itself may have been held up, by its
	// scheduler or its share of a processor. It is what RFC 6298 calls the granularity of the clock.
	minMargin = 150 * time.Millisecond
	// minSamples is how many latencies have to be known before anything is an outlier.
	minSamples = 16
	// maxTimeoutShare is the part of the remaining time up to which a timeout is worth while: after it no retry would fit.
	maxTimeoutShare = 0.5
	// budgetPerResponse is how many requests may time out for each that is answered. Where more would, everything is slow, and
	// retries would only add load.
	budgetPerResponse = 0.1
	// maxBudget bounds how many requests may time out in a row.
	maxBudget = 4
)

// Estimator knows the usual latencies of one kind of request. The zero value knows none. It is not safe for concurrent use.
type Estimator struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
	budget    float64 // requests that may time out
}

// ObserveResponse takes the latency of a request: how long it waited for the first byte of its response.
func (e *Estimator) ObserveResponse(latency time.Duration) {
	e.learn(latency)
	e.budget = min(e.budget+budgetPerResponse, maxBudget)
}

// ObserveTimeout takes how long a request waited that was then taken for hung. It would have taken longer, so that a service that
// is slow everywhere soon counts as usual.
func (e *Estimator) ObserveTimeout(waited time.Duration) {
	e.learn(waited)
	e.budget = max(e.budget-1, 0)
}

func (e *Estimator) learn(latency time.Duration) {
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

// OutlierThreshold is the latency beyond which a request is an outlier, or false while too few are known.
func (e *Estimator) OutlierThreshold() (time.Duration, bool) {
	return e.mean + max(deviationFactor*e.deviation, minMargin), e.samples >= minSamples
}

// Timeout is how long a request that has some time remaining may wait for its response, or false if it is not to time out. A
// request within its latency target never does.
func (e *Estimator) Timeout(target, remaining time.Duration) (time.Duration, bool) {
	threshold, known := e.OutlierThreshold()
	if !known || e.budget < 1 {
		return 0, false
	}
	timeout := max(threshold, target)
	return timeout, float64(timeout) <= maxTimeoutShare*float64(remaining)
}
