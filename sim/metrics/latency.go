package metrics

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
)

// allAnswers is the name under which all answers are timed.
const allAnswers = "all"

const (
	microsecondsPerSecond = 1e6
	maxMicroseconds       = 600_000_000 // the longest time that a histogram takes
	significantDigits     = 3
)

// Latency is how long answers took, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// latencies times answers, by name and by second. The zero latencies has none.
type latencies struct {
	histograms map[string]*hdrhistogram.Histogram
	bySecond   [][]float64 // seconds that the answers given in each second took
}

// record times an answer that took so many seconds and was given in a second.
func (l *latencies) record(second int, seconds float64, names ...string) {
	for len(l.bySecond) <= second {
		l.bySecond = append(l.bySecond, nil)
	}
	l.bySecond[second] = append(l.bySecond[second], seconds)
	for _, name := range names {
		l.recordName(name, seconds)
	}
}

func (l *latencies) recordName(name string, seconds float64) {
	if l.histograms == nil {
		l.histograms = map[string]*hdrhistogram.Histogram{}
	}
	histogram := l.histograms[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxMicroseconds, significantDigits)
		l.histograms[name] = histogram
	}
	_ = histogram.RecordValue(max(1, int64(seconds*microsecondsPerSecond))) // no answer takes ten minutes
}

// summary is the quantiles of a histogram.
func summary(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(),
		P50:   milliseconds(histogram.ValueAtQuantile(50)),
		P90:   milliseconds(histogram.ValueAtQuantile(90)),
		P99:   milliseconds(histogram.ValueAtQuantile(99)),
		Max:   milliseconds(histogram.Max()),
	}
}

// quantileMilliseconds is a quantile of sorted times in seconds.
func quantileMilliseconds(sorted []float64, quantile float64) float64 {
	return milliseconds(int64(microsecondsPerSecond * stat.Quantile(quantile, stat.Empirical, sorted, nil)))
}

func milliseconds(microseconds int64) float64 { return math.Round(float64(microseconds)) / 1000 }

// Quantile is a quantile, from 0 to 1, of the answers' times in seconds under a name of LatencyNames.
func (r *Results) Quantile(name string, quantile float64) float64 {
	histogram := r.latencies.histograms[name]
	if histogram == nil {
		return 0
	}
	return float64(histogram.ValueAtQuantile(100*quantile)) / microsecondsPerSecond
}

// LatencyNames are the names under which answers were timed: "all" first, the others in order.
func (r *Results) LatencyNames() []string {
	names := []string{allAnswers}
	for name := range r.Latency {
		if name != allAnswers {
			names = append(names, name)
		}
	}
	slices.Sort(names[1:])
	return names
}

// finishLatencies enters the quantiles by name and by second.
func (r *Results) finishLatencies() {
	for name, histogram := range r.latencies.histograms {
		r.Latency[name] = summary(histogram)
	}
	for i, times := range r.latencies.bySecond {
		if i >= len(r.Seconds) || len(times) == 0 {
			continue
		}
		slices.Sort(times)
		r.Seconds[i].P50 = quantileMilliseconds(times, 0.5)
		r.Seconds[i].P99 = quantileMilliseconds(times, 0.99)
	}
}
