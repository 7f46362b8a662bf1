package counterload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load configures the load on the counter servers.
type Load struct {
	Addresses  []string // server addresses
	Rate       float64  // calls per second over all connections
	Duration   time.Duration
	Conns      int // connections per server
	Keys       int
	RoundRobin bool   // use the keys in turn instead of at random
	HotKey     bool   // send about a third of all calls to one key
	Prefix     string // prefix of the keys, followed by a number
}

// Result holds the outcome of a Load. Broken counts calls that could not be sent and calls without a response.
type Result struct {
	Answered, Rejected, Broken int64
	P50, P99, Max              float64 // latencies of the answered calls, in seconds
	Rate                       float64 // answered calls per second
	// Acknowledged is the amount that servers confirmed as added, by key. Uncertain is the amount of calls that were sent
	// but got no response, which may have been added.
	Acknowledged, Uncertain map[string]float64
}

// Range of the latency histogram in microseconds, and its significant digits.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
	// longestLatency is the value recorded for longer latencies. It stays within the histogram's range after rounding.
	longestLatency  = 59_000_000
	microsPerSecond = 1e6
)

// recorder accumulates the result while the load runs.
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

// recordSkipped counts a call that was not sent because the server could not be reached.
func (r *recorder) recordSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Broken++
}

// recordBroken counts a call without a response, which the server may have executed.
func (r *recorder) recordBroken(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Broken++
	r.result.Uncertain[c.key] += c.amount
}

// recordResponse counts a call by the status of its response and records the latency if the status is statusAdded.
func (r *recorder) recordResponse(c call, status int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if status != statusAdded {
		r.result.Rejected++
		return
	}
	r.result.Answered++
	r.result.Acknowledged[c.key] += c.amount
	_ = r.latency.RecordValue(min(longestLatency, max(minLatency, now.Sub(c.due).Microseconds()))) // clamped, so can't fail
}

// Run generates the load, waits for the responses and returns the result.
func (l *Load) Run(ctx context.Context) *Result {
	r := newRecorder()
	var wg sync.WaitGroup
	count := l.Conns * len(l.Addresses)
	begin := time.Now()
	for i := range count {
		c := &caller{
			load: l, recorder: r, address: l.Addresses[i%len(l.Addresses)], index: i, callers: count,
			interval: time.Duration(float64(count) / l.Rate * float64(time.Second)),
			begin:    begin.Add(time.Duration(float64(i) / l.Rate * float64(time.Second))),
			random:   rand.New(rand.NewPCG(uint64(i), 7)),
		}
		wg.Go(func() { c.run(ctx) })
	}
	wg.Wait()
	result := r.result
	result.P50 = float64(r.latency.ValueAtQuantile(50)) / microsPerSecond
	result.P99 = float64(r.latency.ValueAtQuantile(99)) / microsPerSecond
	result.Max = float64(r.latency.Max()) / microsPerSecond
	result.Rate = float64(result.Answered) / l.Duration.Seconds()
	return result
}
