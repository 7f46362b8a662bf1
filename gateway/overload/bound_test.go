package overload

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain has rapid draw the same cases each time; by hand with another -rapid.seed and more -rapid.checks.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// outageCase is what rapid draws of an outage: any number of gateways, of hosts and of attempts wished for, messages that are
// lost, wrong or come from one that lies, attempts that end in any way or not at all, gateways that restart at any moment.
type outageCase struct {
	gateways     int
	hosts        int
	messageRate  float64
	demand       float64 // attempts a second of each
	loss         float64 // part of the messages
	liars        int     // gateways that report an answer without one
	restarts     float64 // a second of each
	endings      float64 // part of the attempts that end
	randomState  uint64
	now          float64
	controllers  []*Controller
	incarnations int
	sent         int
	inFlight     []outageAttempt
}

type outageAttempt struct {
	controller *Controller
	host       string
	startedAt  float64
}

func drawOutage(t *rapid.T) *outageCase {
	return &outageCase{
		gateways:    rapid.SampledFrom([]int{1, 2, 3, 12, 30, 100, 300, 1000}).Draw(t, "gateways"),
		hosts:       rapid.IntRange(1, 200).Draw(t, "hosts"),
		messageRate: rapid.SampledFrom([]float64{0, 60}).Draw(t, "messages a second"),
		demand:      rapid.Float64Range(0.5, 60).Draw(t, "attempts a second of each"),
		loss:        rapid.Float64Range(0, 1).Draw(t, "messages lost"),
		liars:       rapid.IntRange(0, 3).Draw(t, "who report an answer without one"),
		restarts:    rapid.Float64Range(0, 0.2).Draw(t, "restarts a second of each"),
		endings:     rapid.Float64Range(0, 1).Draw(t, "attempts that end"),
		randomState: rapid.Uint64().Draw(t, "seed"),
		now:         500,
	}
}

// random is drawn beside rapid: a case has up to a million chances.
func (o *outageCase) random() float64 {
	o.randomState = o.randomState*6364136223846793005 + 1442695040888963407
	return float64(o.randomState>>33) / (1 << 31)
}

func (o *outageCase) start(i int) {
	o.controllers[i] = New(Config{Gateways: o.gateways, MessageRate: o.messageRate, Seed: o.randomState + uint64(i)})
	o.controllers[i].SetFleet(float64(o.gateways), o.hosts)
	o.incarnations++
}

func (o *outageCase) run(seconds float64) {
	const step = 0.02
	o.controllers = make([]*Controller, o.gateways)
	for i := range o.controllers {
		o.start(i)
	}
	for until := o.now + seconds; o.now < until; o.now += step {
		for i := range o.controllers {
			o.stepGateway(i, step)
		}
		o.lie()
		o.endAttempts()
	}
}

func (o *outageCase) stepGateway(i int, step float64) {
	if o.random() < o.restarts*step {
		o.start(i)
	}
	c := o.controllers[i]
	for k := 0; k < 3 && o.random() < o.demand*step/3; k++ {
		if c.AllowsAttempt(o.now) {
			a := outageAttempt{controller: c, host: fmt.Sprint(int(o.random() * float64(o.hosts))), startedAt: o.now}
			c.AttemptStarted(o.now, a.host, false)
			o.sent++
			o.inFlight = append(o.inFlight, a)
		}
	}
	if o.random() < 0.1 {
		return // it evaluates a little later
	}
	c.Evaluate(o.now)
	c.Flush(o.now, func(_ int, text string) {
		for to := range o.controllers {
			if to != i && o.random() >= o.loss {
				o.controllers[to].Receive(o.now, i, text)
			}
		}
	}, func(string) {})
}

func (o *outageCase) lie() {
	if o.messageRate > 0 && o.gateways > 3 && o.liars > 0 && o.random() < 0.2 {
		for to := o.liars; to < o.gateways; to++ {
			o.controllers[to].Receive(o.now, int(o.random()*float64(o.liars)), "~l")
		}
	}
}

func (o *outageCase) endAttempts() {
	results := []AttemptResult{Unanswered, ConnectFailed, Inconclusive}
	kept := o.inFlight[:0]
	for _, a := range o.inFlight {
		if o.now-a.startedAt > 0.1 && o.random() < 0.2*o.endings {
			a.controller.AttemptEnded(o.now, a.host, a.startedAt, results[int(o.random()*3)])
			continue
		}
		kept = append(kept, a)
	}
	o.inFlight = kept
}

// No host answers anything, and everything else is as it may be. What all send stays within the bound of docs/storms.md: for
// each incarnation what it takes to find out, and the probes.
func TestFleetBoundHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seconds = 4.0
		o := drawOutage(t)
		o.run(seconds)
		fleetRate := fleetProbeRate
		if o.messageRate == 0 {
			fleetRate = fleetProbeRateNoMessages
		}
		// What ended in a way that tells nothing, or half of it, is not held against the hosts; so it may take longer.
		untilOpen := 2*openAlone/max(0.2, 1-0.7*o.endings) + o.demand*0.4
		probeRate := min(float64(o.gateways)*maxProbeRate, fleetRate)
		limit := float64(o.incarnations)*(untilOpen+float64(1+o.liars)) + 2*probeRate*seconds + 40
		if float64(o.sent) > limit {
			t.Fatalf("%d sent by %d incarnations of %d, at most %.0f", o.sent, o.incarnations, o.gateways, limit)
		}
		half := float64(o.incarnations) * o.demand * seconds / 2
		if o.gateways >= 30 && o.demand > 30 && float64(o.sent) > half {
			t.Fatalf("%d sent of %.0f wished for: nothing was bounded", o.sent, 2*half)
		}
	})
}
