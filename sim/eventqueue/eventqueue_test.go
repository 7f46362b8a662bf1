package eventqueue

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestEventsRunByTimeThenByTheOrderOfScheduling(t *testing.T) {
	var queue Queue
	random := rand.New(rand.NewPCG(1, 2))
	type planned struct {
		time   float64
		number int
	}
	var want, got []planned
	for number := range 2000 {
		each := planned{time: float64(random.IntN(50)), number: number}
		want = append(want, each)
		queue.Schedule(each.time, func() { got = append(got, planned{queue.Now(), each.number}) })
	}
	slices.SortStableFunc(want, func(a, b planned) int { return int(a.time - b.time) })
	queue.Run(100)
	if !slices.Equal(got, want) {
		t.Error("events did not run in the order of time and scheduling")
	}
	if queue.Now() != 100 || queue.Len() != 0 || queue.Fired != 2000 {
		t.Errorf("clock at %v, %d left, %d fired", queue.Now(), queue.Len(), queue.Fired)
	}
}

func TestATimeThatHasPassedCountsAsNow(t *testing.T) {
	for name, at := range map[string]float64{"earlier": 1, "not a number": math.NaN()} {
		var queue Queue
		queue.Run(5)
		queue.Schedule(at, func() {})
		if next, ok := queue.NextTime(); !ok || next != 5 {
			t.Errorf("%s: next event at %v, %v", name, next, ok)
		}
	}
}

func TestStopEndsRunAfterTheEventThatIsRunning(t *testing.T) {
	var queue Queue
	ran := 0
	for range 3 {
		queue.ScheduleAfter(1, func() {
			ran++
			queue.Stop()
		})
	}
	queue.Run(10)
	if ran != 1 || !queue.Stopped() || queue.Now() != 1 {
		t.Errorf("%d events ran, stopped %v, clock at %v", ran, queue.Stopped(), queue.Now())
	}
}
