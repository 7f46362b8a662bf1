package counterload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load is what is asked of counters.
type Load struct {
	Addresses  []string // of the servers
	Rate       float64  // calls a second in all
	Duration   time.Duration
	Conns      int // connections to each server
	Keys       int
	RoundRobin bool   // keys come in turn, else they are drawn
	HotKey     bool   // one key gets a third of all calls
	Prefix     string // of the keys, which are numbers
}

// Result is what became of a Load.
type Result struct {
	Answered, Rejected, Broken int64
	P50, P99, Max              float64 // of the answered, in seconds
	Rate                       float64 // answered a second
	// Acknowledged is what was answered as added, by key; Uncertain what may have been.
	Acknowledged, Uncertain map[string]float64
}

// What the histogram of latencies tells apart, in microseconds and significant digits.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
	// longestLatency is what longer ones are noted as: within the histogram, whatever it rounds to.
	longestLatency  = 59_000_000
	microsPerSecond = 1e6
)

// recorder is the result as it comes about.
type recorder struct {
	mu      sync.Mutex
	result  *Result
	latency *hdrhistogram.Histogram // microseconds
}

func newRecorder() *recorder {
	return &recorder{
		result:  &Result{Acknowledged: map[string]float64{}, Uncertain: map[string]float64{}},
		latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

// skipped counts a call that could not be made.
func (r *recorder) skipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Broken++
}

// broken counts a call that may have been executed.
func (r *recorder) broken(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Broken++
	r.result.Uncertain[c.key] += c.amount
}

// answered counts a call by the status of its answer.
func (r *recorder) answered(c call, status int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status != statusAdded {
		r.result.Rejected++
		return
	}
	r.result.Answered++
	r.result.Acknowledged[c.key] += c.amount
	_ = r.latency.RecordValue(min(longestLatency, max(minLatency, now.Sub(c.due).Microseconds()))) // within the bounds
}

// Run asks, and waits for the answers.
func (l *Load) Run(ctx context.Context) *Result {
	r := newRecorder()
	var all sync.WaitGroup
	count := l.Conns * len(l.Addresses)
	begin := time.Now()
	for i := range count {
		c := &caller{
			load: l, recorder: r, address: l.Addresses[i%len(l.Addresses)], number: i, count: count,
			interval: time.Duration(float64(count) / l.Rate * float64(time.Second)),
			begin:    begin.Add(time.Duration(float64(i) / l.Rate * float64(time.Second))),
			random:   rand.New(rand.NewPCG(uint64(i), 7)),
		}
		all.Go(func() { c.run(ctx) })
	}
	all.Wait()
	result := r.result
	result.P50 = float64(r.latency.ValueAtQuantile(50)) / microsPerSecond
	result.P99 = float64(r.latency.ValueAtQuantile(99)) / microsPerSecond
	result.Max = float64(r.latency.Max()) / microsPerSecond
	result.Rate = float64(result.Answered) / l.Duration.Seconds()
	return result
}
