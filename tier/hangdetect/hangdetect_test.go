package hangdetect

import (
	"math/rand/v2"
	"testing"
	"time"
)

// usual draws times around a mean as hosts with a queue show them.
func usual(stream *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration((0.4 + 0.6*stream.ExpFloat64()) * float64(mean))
}

// The same decisions come out when all times are three times as long, or a third: nothing depends on a service's figures.
func TestLimitsScaleWithTheService(t *testing.T) {
	limits := map[float64]time.Duration{}
	for _, scale := range []float64{1.0 / 3, 1, 3} {
		stream := rand.New(rand.NewPCG(1, 1))
		mean := time.Duration(scale * float64(300*time.Millisecond))
		var e Estimator
		for range 400 {
			e.Answered(usual(stream, mean))
		}
		limit, wanted := e.Limit(mean, 60*mean)
		if !wanted || limit < 3*mean || limit > 12*mean {
			t.Fatalf("mean %v: limit %v, %v", mean, limit, wanted)
		}
		limits[scale] = time.Duration(float64(limit) / scale)
		if _, wanted := e.Limit(mean, 4*mean); wanted {
			t.Errorf("mean %v: a request is given up that has no time for another try", mean)
		}
	}
	for scale, limit := range limits {
		if off := (limit - limits[1]).Abs(); off > limits[1]/1000 {
			t.Errorf("at scale %v the limit is %v, and %v at 1", scale, limit, limits[1])
		}
	}
}

func TestNothingIsGivenUpBeforeTheUsualIsKnown(t *testing.T) {
	var e Estimator
	for range leastSeen - 1 {
		e.Answered(50 * time.Millisecond)
		if _, wanted := e.Limit(0, time.Minute); wanted {
			t.Fatal("given up too soon")
		}
	}
}

func TestARequestWithinItsTargetIsNotGivenUp(t *testing.T) {
	var e Estimator
	for range 100 {
		e.Answered(10 * time.Millisecond)
	}
	if limit, _ := e.Limit(400*time.Millisecond, 5*time.Second); limit != 400*time.Millisecond {
		t.Fatal(limit)
	}
}

// run plays requests of which a share hangs, or which are all slowed down, and counts those given up.
func run(e *Estimator, stream *rand.Rand, requests int, hung float64, slowed float64) (givenUp, needlessly int) {
	const mean, left = 90 * time.Millisecond, 5 * time.Second
	for range requests {
		takes := time.Duration(slowed * float64(usual(stream, mean)))
		hangs := stream.Float64() < hung
		limit, wanted := e.Limit(250*time.Millisecond, left)
		switch {
		case wanted && (hangs || takes > limit):
			e.GivenUp(limit)
			givenUp++
			if !hangs {
				needlessly++
			}
		case !hangs:
			e.Answered(takes)
		}
	}
	return givenUp, needlessly
}

func TestHungRequestsAreGivenUpAndOthersAreNot(t *testing.T) {
	stream := rand.New(rand.NewPCG(2, 2))
	var e Estimator
	run(&e, stream, 300, 0, 1)
	givenUp, needlessly := run(&e, stream, 2000, 0.05, 1)
	if givenUp < 80 || needlessly > 10 {
		t.Fatalf("%d given up, %d of them needlessly, and about 100 hang", givenUp, needlessly)
	}
	if _, needlessly := run(&e, stream, 20000, 0, 1); needlessly > 40 {
		t.Fatalf("%d of 20000 are given up on a quiet day", needlessly)
	}
}

// When everything is five times as slow at once, that is soon usual, and few are given up meanwhile.
func TestASlowFleetIsSoonUsual(t *testing.T) {
	stream := rand.New(rand.NewPCG(3, 3))
	var e Estimator
	run(&e, stream, 300, 0, 1)
	givenUp, _ := run(&e, stream, 1000, 0, 5)
	if givenUp > 20 {
		t.Fatalf("%d of 1000 are given up in a burst", givenUp)
	}
}

func TestClientsAbandonSilentStreams(t *testing.T) {
	for _, step := range []struct{ target, pause, left, want time.Duration }{
		{250 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second, 4 * time.Second},
		{800 * time.Millisecond, 100 * time.Millisecond, 5 * time.Second, 3200 * time.Millisecond},
		{0, 0, 5 * time.Second, 2 * time.Second},
		{0, 0, time.Second, time.Second},
	} {
		if got := UntilAbandoned(step.target, step.pause, step.left); got != step.want {
			t.Errorf("%+v: %v", step, got)
		}
	}
}
