package metrics

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
)

// allAnswers is the name under which the latencies of all answers are recorded.
const allAnswers = "all"

const (
	microsecondsPerSecond = 1e6
	maxMicroseconds       = 600_000_000 // the longest latency that a histogram can record: ten minutes
	significantDigits     = 3
)

// Latency holds quantiles of the latency of answers, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// latencies records the latencies of answers by name and by second. Its zero value is empty and ready to use.
type latencies struct {
	histograms map[string]*hdrhistogram.Histogram
	bySecond   [][]float64 // latencies in seconds of the answers given in each second
}

// record records the latency, in seconds, of an answer that was given in a second of the run.
func (l *latencies) record(second int, latency float64, names ...string) {
	for len(l.bySecond) <= second {
		l.bySecond = append(l.bySecond, nil)
	}
	l.bySecond[second] = append(l.bySecond[second], latency)
	for _, name := range names {
		l.recordName(name, latency)
	}
}

func (l *latencies) recordName(name string, latency float64) {
	if l.histograms == nil {
		l.histograms = map[string]*hdrhistogram.Histogram{}
	}
	histogram := l.histograms[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxMicroseconds, significantDigits)
		l.histograms[name] = histogram
	}
	_ = histogram.RecordValue(max(1, int64(latency*microsecondsPerSecond))) // an error means over ten minutes, which no answer takes
}

// summary returns the count and the quantiles of a histogram.
func summary(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(),
		P50:   milliseconds(histogram.ValueAtQuantile(50)),
		P90:   milliseconds(histogram.ValueAtQuantile(90)),
		P99:   milliseconds(histogram.ValueAtQuantile(99)),
		Max:   milliseconds(histogram.Max()),
	}
}

// quantileMilliseconds returns a quantile, in milliseconds, of sorted times in seconds.
func quantileMilliseconds(sorted []float64, quantile float64) float64 {
	return milliseconds(int64(microsecondsPerSecond * stat.Quantile(quantile, stat.Empirical, sorted, nil)))
}

func milliseconds(microseconds int64) float64 { return math.Round(float64(microseconds)) / 1000 }

// Quantile returns a quantile, from 0 to 1, of the latencies recorded under one of LatencyNames, in seconds.
func (r *Results) Quantile(name string, quantile float64) float64 {
	histogram := r.latencies.histograms[name]
	if histogram == nil {
		return 0
	}
	return float64(histogram.ValueAtQuantile(100*quantile)) / microsecondsPerSecond
}

// LatencyNames returns the names under which latencies were recorded: "all" first, then the others sorted.
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

// finishLatencies computes the quantiles by name and by second.
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
