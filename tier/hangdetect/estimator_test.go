package hangdetect

import (
	"math/rand/v2"
	"testing"
	"time"
)

// latency draws a random latency with the given mean, distributed as for a host with a queue.
func latency(stream *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration((0.4 + 0.6*stream.ExpFloat64()) * float64(mean))
}

// The timeouts scale with the latencies: if all times are three times as long, or a third as long, so are the timeouts. No parameter
// is specific to a service.
func TestTimeoutsScaleWithTheLatencies(t *testing.T) {
	timeouts := map[float64]time.Duration{}
	for _, scale := range []float64{1.0 / 3, 1, 3} {
		stream := rand.New(rand.NewPCG(1, 1))
		mean := time.Duration(scale * float64(300*time.Millisecond))
		var e Estimator
		for range 400 {
			e.ObserveResponse(latency(stream, mean))
		}
		timeout, enabled := e.Timeout(mean, 60*mean)
		if !enabled || timeout < 3*mean || timeout > 12*mean {
			t.Fatalf("mean %v: timeout %v, %v", mean, timeout, enabled)
		}
		timeouts[scale] = time.Duration(float64(timeout) / scale)
		if _, enabled := e.Timeout(mean, 4*mean); enabled {
			t.Errorf("mean %v: a request without time for a retry times out", mean)
		}
	}
	for scale, timeout := range timeouts {
		if off := (timeout - timeouts[1]).Abs(); off > timeouts[1]/1000 {
			t.Errorf("at scale %v the timeout divided by the scale is %v, and %v at scale 1", scale, timeout, timeouts[1])
		}
	}
}

func TestNothingTimesOutBeforeTheUsualLatencyIsKnown(t *testing.T) {
	var e Estimator
	for range minSamples - 1 {
		e.ObserveResponse(50 * time.Millisecond)
		if _, enabled := e.Timeout(0, time.Minute); enabled {
			t.Fatal("a request may time out before minSamples latencies are known")
		}
	}
}

func TestRequestWithinItsTargetDoesNotTimeOut(t *testing.T) {
	var e Estimator
	for range 100 {
		e.ObserveResponse(10 * time.Millisecond)
	}
	if timeout, _ := e.Timeout(400*time.Millisecond, 5*time.Second); timeout != 400*time.Millisecond {
		t.Fatal(timeout)
	}
}

// run simulates requests and counts those that time out. The share hung of them never gets a response; the latencies of the others
// are multiplied by slowed.
func run(e *Estimator, stream *rand.Rand, requests int, hung float64, slowed float64) (timedOut, needlessly int) {
	const mean, remaining = 90 * time.Millisecond, 5 * time.Second
	for range requests {
		takes := time.Duration(slowed * float64(latency(stream, mean)))
		hangs := stream.Float64() < hung
		timeout, enabled := e.Timeout(250*time.Millisecond, remaining)
		switch {
		case enabled && (hangs || takes > timeout):
			e.ObserveTimeout(timeout)
			timedOut++
			if !hangs {
				needlessly++
			}
		case !hangs:
			e.ObserveResponse(takes)
		}
	}
	return timedOut, needlessly
}

func TestHungRequestsTimeOutAndOthersDoNot(t *testing.T) {
	stream := rand.New(rand.NewPCG(2, 2))
	var e Estimator
	run(&e, stream, 300, 0, 1)
	timedOut, needlessly := run(&e, stream, 2000, 0.05, 1)
	if timedOut < 80 || needlessly > 10 {
		t.Fatalf("%d timed out, %d of them needlessly, and about 100 hang", timedOut, needlessly)
	}
	if _, needlessly := run(&e, stream, 20000, 0, 1); needlessly > 40 {
		t.Fatalf("%d of 20000 requests time out although none hangs", needlessly)
	}
}

// If all requests suddenly take five times as long, the estimate soon adapts, and few requests time out in the meantime.
func TestEstimateAdaptsToASlowFleet(t *testing.T) {
	stream := rand.New(rand.NewPCG(3, 3))
	var e Estimator
	run(&e, stream, 300, 0, 1)
	timedOut, _ := run(&e, stream, 1000, 0, 5)
	if timedOut > 20 {
		t.Fatalf("%d of 1000 requests time out when all of them become slow", timedOut)
	}
}
