package retryafter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// outageOf records an outage of the given duration, in which requests fail at the interval every.
func outageOf(o *OutageEstimator, key string, from time.Time, lasted, every time.Duration) {
	for at := time.Duration(0); at < lasted; at += every {
		o.RecordFailure(key, from.Add(at))
	}
	o.RecordSuccess(key, from.Add(lasted))
}

func TestDelayStaysWithinTheTimeClientsHonor(t *testing.T) {
	for _, left := range []time.Duration{0, 30 * ms, 200 * ms, time.Second, 5 * time.Second} {
		for _, expected := range []time.Duration{0, 100 * ms, time.Second, time.Hour} {
			for _, random := range []float64{0, 0.5, 0.999} {
				got := Delay(left, expected, random)
				if got < 0 || got > left/3 {
					t.Errorf("%v left, %v expected, random %v: delay %v", left, expected, random, got)
				}
			}
		}
	}
}

func TestDelayReachesTheExpectedEndOfTheOutage(t *testing.T) {
	for _, step := range []struct{ left, expected, lowest, highest time.Duration }{
		{5 * time.Second, 600 * ms, 600 * ms, 780 * ms},
		{5 * time.Second, 0, minDelay, minDelay},
		{5 * time.Second, time.Minute, 1100 * ms, 1584 * ms}, // longer than clients honor: jitter below the bound
		{150 * ms, 0, 47 * ms, 48 * ms},
	} {
		low, high := Delay(step.left, step.expected, 0), Delay(step.left, step.expected, 1)
		if low > high {
			low, high = high, low
		}
		if low < step.lowest || high > step.highest {
			t.Errorf("%v left, %v expected: delay of %v to %v", step.left, step.expected, low, high)
		}
	}
}

func TestOutageDurationsAreEstimated(t *testing.T) {
	o := NewOutageEstimator(time.Second)
	if got := o.Remaining("a", start); got != time.Second {
		t.Fatalf("before any outage: expected duration %v", got)
	}
	for i := range 20 {
		outageOf(o, "a", start.Add(time.Duration(i)*time.Minute), 3*time.Second, 100*ms)
	}
	later := start.Add(time.Hour)
	o.RecordFailure("b", later)
	if got := o.Remaining("b", later); got < 2900*ms || got > 3300*ms {
		t.Fatalf("after 20 outages of 3 s the expected duration is %v", got)
	}
	if got := o.Remaining("b", later.Add(2*time.Second)); got < time.Second || got > 1300*ms {
		t.Fatalf("2 s later: remaining %v", got)
	}
	if got := o.Remaining("b", later.Add(20*time.Second)); got != 10*time.Second {
		t.Fatalf("an outage longer than expected: remaining %v", got)
	}
}

// A dependency that is used rarely may have recovered long before its next use, so the duration of such an outage is not used.
func TestOutageWithoutAKnownEndIsIgnored(t *testing.T) {
	o := NewOutageEstimator(time.Second)
	o.RecordFailure("a", start)
	o.RecordSuccess("a", start.Add(time.Hour))
	if got := o.Remaining("a", start.Add(time.Hour)); got != time.Second {
		t.Fatal(got)
	}
}

// client is a client as the operators specify it: it sends a turn up to tries times before its deadline, honors Retry-After up to a
// third of the remaining time, and starts the turn at most turns times.
type client struct{ tries, turns int }

// survives reports whether a turn that begins when an outage has the given age is served.
func (c client) survives(age, lasts time.Duration, retryAfter func(left, age time.Duration) time.Duration, stream *rand.Rand) bool {
	const deadline = 5 * time.Second
	now := age
	for range c.turns {
		end := now + deadline
		for range c.tries {
			if now >= lasts {
				return true
			}
			now += retryAfter(end-now, now)
		}
		now += 100*ms + time.Duration(stream.Int64N(int64(300*ms)))
	}
	return false
}

// saved returns the share of turns that survive outages of 0.4 to 2.4 s, for clients with few tries.
func saved(retryAfter func(left, age time.Duration) time.Duration) float64 {
	const clients = 4000
	stream := rand.New(rand.NewPCG(1, 2))
	survivors := 0
	for range clients {
		lasts := 400*ms + time.Duration(stream.Int64N(int64(2*time.Second)))
		age := time.Duration(stream.Int64N(int64(lasts)))
		if (client{tries: 2, turns: 3}).survives(age, lasts, retryAfter, stream) {
			survivors++
		}
	}
	return float64(survivors) / clients
}

// Estimated delays save at least as many turns as either of the two constant delays that were in use or tried before.
func TestEstimatedDelaysSaveMoreThanConstants(t *testing.T) {
	stream := rand.New(rand.NewPCG(3, 4))
	estimator := NewOutageEstimator(750 * ms)
	estimated := saved(func(left, age time.Duration) time.Duration {
		estimator.ongoing["a"] = outage{since: start}
		return Delay(left, estimator.Remaining("a", start.Add(age)), stream.Float64())
	})
	for _, constant := range []time.Duration{200 * ms, time.Second} {
		if got := saved(func(time.Duration, time.Duration) time.Duration { return constant }); estimated < got {
			t.Errorf("estimated delays save %.3f, a constant delay of %v saves %.3f", estimated, constant, got)
		}
	}
	if estimated < 0.95 {
		t.Errorf("estimated delays save %.3f", estimated)
	}
}

func ExampleDelay() {
	failovers := NewOutageEstimator(750 * time.Millisecond)
	failovers.RecordFailure("shard 3", start)
	expected := failovers.Remaining("shard 3", start.Add(250*time.Millisecond))
	fmt.Println(Delay(5*time.Second, expected, 0))
	// Output: 500ms
}
