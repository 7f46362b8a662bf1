package hostmodel

import (
	"math"
	"testing"

	"otterseam/sim/eventqueue"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

func fixed(x float64) scenario.Span { return scenario.Span{Lo: x, Hi: x} }

func newHost(q *eventqueue.Queue, cores int, queue float64) *Host {
	kind := &scenario.HostKind{Cores: fixed(float64(cores)), Speed: fixed(1), Queue: fixed(queue), Connections: fixed(3)}
	cold := &scenario.ColdStart{Share: fixed(0.2), Warm: fixed(10), Factor: fixed(3), Window: fixed(2)}
	return New(q, 0, "h", kind, cold, 1)
}

// meanWait simulates Poisson arrivals with exponential work. It returns the mean wait in the queue and its standard error, estimated
// from batches.
func meanWait(t *testing.T, cores int, load float64) (mean, err float64) {
	t.Helper()
	q := &eventqueue.Queue{}
	h, d := newHost(q, cores, 1e6), randstream.New(7, "textbook", cores)
	const work, n, batches = 0.01, 400_000, 40
	var sums [batches]float64
	var arrive func(i int)
	arrive = func(i int) {
		if i == n {
			return
		}
		at := q.Now()
		h.Submit(&Job{Work: d.Exponential(work), OnStart: func() { sums[i*batches/n] += q.Now() - at }, OnAnswer: func(Answer) {}})
		q.ScheduleAfter(d.Exponential(work/load/float64(cores)), func() { arrive(i + 1) })
	}
	arrive(0)
	q.Run(math.MaxFloat64)
	squares := 0.0
	for _, s := range sums {
		mean += s / n
	}
	for _, s := range sums {
		deviation := s/(n/batches) - mean
		squares += deviation * deviation
	}
	return mean, math.Sqrt(squares/(batches-1)) / math.Sqrt(batches)
}

// erlangC returns the mean wait in an M/M/c queue by the Erlang C formula.
func erlangC(c int, load, work float64) float64 {
	a, sum, term := load*float64(c), 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	last := term * a / float64(c) / (1 - load)
	return last / (sum + last) * work / (float64(c) * (1 - load))
}

func TestWaitsMatchTheErlangCFormula(t *testing.T) {
	if one := erlangC(1, 0.7, 0.01); math.Abs(one-0.7/0.3*0.01) > 1e-12 { // for M/M/1 the wait is load/(1-load) times the work
		t.Fatalf("the formula for one core gives %.6f", one)
	}
	for _, x := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {1, 0.7}, {4, 0.8}, {16, 0.9}} {
		mean, err := meanWait(t, x.cores, x.load)
		if want := erlangC(x.cores, x.load, 0.01); math.Abs(mean-want) > 4*err {
			t.Errorf("%d cores, load %.1f: mean wait %.6f s ± %.6f, want %.6f by the formula", x.cores, x.load, mean, err, want)
		}
	}
}

// A cold host stays up under work within its capacity. Under a multiple of that it goes down and reports the arrivals.
func TestAColdHostGoesDownUnderOverload(t *testing.T) {
	for _, x := range []struct {
		rate float64 // core seconds a second, on one core that starts at a fifth of its speed
		down bool
	}{{0.3, false}, {3, true}} {
		q := &eventqueue.Queue{}
		h := newHost(q, 1, 100)
		q.Run(5)
		h.Start()
		reported := 0
		h.OnOverload = func(sent []Arrival) { reported = len(sent) }
		var send func()
		send = func() {
			h.Submit(&Job{Work: 0.01, OnStart: func() {}, OnAnswer: func(Answer) {}})
			if q.Now() < 12 {
				q.ScheduleAfter(0.01/x.rate, send)
			}
		}
		send()
		q.Run(20)
		if (reported > 0) != x.down || (h.State == Down) != x.down {
			t.Errorf("rate %.1f: %d arrivals reported at overload, want the host down: %v", x.rate, reported, x.down)
		}
	}
}

func TestJobsHeldWhenAHostStopsAreReset(t *testing.T) {
	q := &eventqueue.Queue{}
	h := newHost(q, 1, 1)
	var got []Answer
	job := func() *Job {
		return &Job{Work: 1, OnStart: func() {}, OnAnswer: func(a Answer) { got = append(got, a) }}
	}
	queued := job()
	h.Submit(job())
	h.Submit(queued)
	if h.Submit(job()); len(got) != 1 || got[0] != Rejected {
		t.Fatalf("a third job on one core with one place in the queue: %v, want it rejected", got)
	}
	h.Cancel(queued)
	h.Stop()
	if q.Run(10); len(got) != 2 || got[1] != Reset {
		t.Fatalf("answers %v, want the running job reset and no answer to the cancelled job", got)
	}
	if h.OpenConnection() {
		t.Fatal("a host that is down accepted a connection")
	}
}
