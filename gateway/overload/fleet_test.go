package overload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const simulatedHosts = 40

// simulatedFleet simulates gateways on one clock. Hosts answer after a delay or not at all, and messages arrive immediately.
type simulatedFleet struct {
	now               float64
	gateways          []*Controller
	hosts             int
	hostAlive         func(gateway, host int) bool
	random            *rand.Rand
	loss              float64 // fraction of the messages
	demand            float64 // attempts per second wanted by all gateways together
	pending           []simulatedAttempt
	sent              int
	sentBy            []int
	served            int
	messagesPerSecond float64 // configured messages per second
}

type simulatedAttempt struct {
	endsAt    float64
	startedAt float64
	gateway   int
	host      int
	result    AttemptResult
}

func newSimulatedFleet(gateways int, messageRate float64) *simulatedFleet {
	f := &simulatedFleet{
		now: 1000, hosts: simulatedHosts, hostAlive: everyHostAnswers, messagesPerSecond: messageRate,
		random: rand.New(rand.NewPCG(uint64(gateways), 7)), demand: 3000, sentBy: make([]int, gateways),
	}
	for i := range gateways {
		f.gateways = append(f.gateways, f.newController(gateways, uint64(i)))
	}
	return f
}

func (f *simulatedFleet) newController(gateways int, seed uint64) *Controller {
	c := New(Config{Gateways: gateways, MessageRate: f.messagesPerSecond, Seed: seed})
	c.SetFleet(float64(gateways), f.hosts)
	return c
}

func everyHostAnswers(int, int) bool { return true }

func noHostAnswers(int, int) bool { return false }

func hostName(host int) string { return fmt.Sprint("h", host) }

// run advances the simulation in steps of 5 ms.
func (f *simulatedFleet) run(seconds float64) {
	const step = 0.005
	for until := f.now + seconds; f.now < until; f.now += step {
		f.endAttempts()
		for attempts := f.demand * step; attempts > 0; attempts-- {
			if attempts < 1 && f.random.Float64() > attempts {
				break
			}
			f.attempt(f.random.IntN(len(f.gateways)))
		}
		for i, c := range f.gateways {
			c.Evaluate(f.now)
			c.Flush(f.now, func(_ int, text string) { f.deliver(i, text) }, func(string) {})
		}
	}
}

func (f *simulatedFleet) endAttempts() {
	slices.SortStableFunc(f.pending, func(a, b simulatedAttempt) int { return cmp.Compare(a.endsAt, b.endsAt) })
	for len(f.pending) > 0 && f.pending[0].endsAt <= f.now {
		a := f.pending[0]
		f.pending = f.pending[1:]
		f.gateways[a.gateway].AttemptEnded(f.now, hostName(a.host), a.startedAt, a.result)
		if a.result == Answered {
			f.served++
		}
	}
}

func (f *simulatedFleet) deliver(from int, text string) {
	for to, c := range f.gateways {
		if to != from && f.random.Float64() >= f.loss {
			c.Receive(f.now, from, text)
		}
	}
}

func (f *simulatedFleet) attempt(gateway int) {
	c := f.gateways[gateway]
	if !c.AllowsAttempt(f.now) {
		return
	}
	host := f.random.IntN(f.hosts)
	c.RequestArrived(f.now)
	c.AttemptStarted(f.now, hostName(host), false)
	f.sent++
	f.sentBy[gateway]++
	a := simulatedAttempt{
		endsAt: f.now + 0.03 + 0.02*f.random.Float64(), startedAt: f.now, gateway: gateway, host: host, result: Answered,
	}
	if !f.hostAlive(gateway, host) {
		a.endsAt = f.now + 0.3
		a.result = Unanswered
	}
	f.pending = append(f.pending, a)
}

// outage simulates an outage of all hosts. It returns the number of attempts during the outage, and for each tenth of a second
// after it the served requests as a fraction of those before it.
func (f *simulatedFleet) outage(seconds float64) (sent int, recovery []float64) {
	f.run(3)
	f.served = 0
	f.run(2)
	before := float64(f.served) / 20
	f.hostAlive = noHostAnswers
	f.sent = 0
	f.run(seconds)
	sent = f.sent
	f.hostAlive = everyHostAnswers
	for range 20 {
		f.served = 0
		f.run(0.1)
		recovery = append(recovery, float64(f.served)/before)
	}
	return sent, recovery
}

// recoveredAfter returns the index of the first tenth of a second in which more than nine in ten requests were served, or -1.
func recoveredAfter(recovery []float64) int {
	return slices.IndexFunc(recovery, func(part float64) bool { return part > 0.9 })
}

// openFleet returns a fleet whose hosts have been silent for the given seconds.
func openFleet(t *testing.T, gateways int, seconds float64) *simulatedFleet {
	t.Helper()
	f := newSimulatedFleet(gateways, 60)
	f.run(3)
	f.hostAlive = noHostAnswers
	f.run(seconds)
	f.sent = 0
	return f
}
