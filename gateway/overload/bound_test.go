package overload

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain makes rapid draw the same cases in each run. Flags -rapid.seed and -rapid.checks override the defaults.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// outageCase is a simulated outage with parameters drawn by rapid. Messages may be lost, gateways may report answers that they
// did not get or restart at any moment, and attempts may end in any way or not at all.
type outageCase struct {
	gateways       int
	hosts          int
	messageRate    float64
	demand         float64 // attempts per second wanted by each gateway
	loss           float64 // fraction of the messages
	falseReporters int     // number of gateways that report answers without having one
	restarts       float64 // per second, of each gateway
	endedShare     float64 // fraction of the attempts that end
	randomState    uint64
	now            float64
	controllers    []*Controller
	incarnations   int
	sent           int
	inFlight       []outageAttempt
}

type outageAttempt struct {
	controller *Controller
	host       string
	startedAt  float64
}

func drawOutage(t *rapid.T) *outageCase {
	return &outageCase{
		gateways:       rapid.SampledFrom([]int{1, 2, 3, 12, 30, 100, 300, 1000}).Draw(t, "gateways"),
		hosts:          rapid.IntRange(1, 200).Draw(t, "hosts"),
		messageRate:    rapid.SampledFrom([]float64{0, 60}).Draw(t, "messages per second"),
		demand:         rapid.Float64Range(0.5, 60).Draw(t, "attempts per second of each gateway"),
		loss:           rapid.Float64Range(0, 1).Draw(t, "fraction of messages lost"),
		falseReporters: rapid.IntRange(0, 3).Draw(t, "gateways that falsely report answers"),
		restarts:       rapid.Float64Range(0, 0.2).Draw(t, "restarts per second of each gateway"),
		endedShare:     rapid.Float64Range(0, 1).Draw(t, "fraction of attempts that end"),
		randomState:    rapid.Uint64().Draw(t, "seed"),
		now:            500,
	}
}

// random returns a random number from 0 to below 1. It does not use rapid's draws because a case needs up to a million numbers.
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
		o.sendFalseReports()
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
		return // simulates a delayed evaluation
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

func (o *outageCase) sendFalseReports() {
	if o.messageRate > 0 && o.gateways > 3 && o.falseReporters > 0 && o.random() < 0.2 {
		for to := o.falseReporters; to < o.gateways; to++ {
			o.controllers[to].Receive(o.now, int(o.random()*float64(o.falseReporters)), "~l")
		}
	}
}

func (o *outageCase) endAttempts() {
	results := []AttemptResult{Unanswered, ConnectFailed, Inconclusive}
	kept := o.inFlight[:0]
	for _, a := range o.inFlight {
		if o.now-a.startedAt > 0.1 && o.random() < 0.2*o.endedShare {
			a.controller.AttemptEnded(o.now, a.host, a.startedAt, results[int(o.random()*3)])
			continue
		}
		kept = append(kept, a)
	}
	o.inFlight = kept
}

// No host answers, and all else varies. The attempts of the whole fleet must stay within the bound of docs/storms.md: the
// attempts by which each incarnation detects the outage, and the probes.
func TestFleetAttemptsAreBoundedInRandomOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seconds = 4.0
		o := drawOutage(t)
		o.run(seconds)
		fleetRate := fleetProbeRate
		if o.messageRate == 0 {
			fleetRate = fleetProbeRateNoMessages
		}
		// Inconclusive attempts do not count towards opening the breaker, and failed connections count half.
		untilOpen := 2*openWeightAlone/max(0.2, 1-0.7*o.endedShare) + o.demand*0.4
		probeRate := min(float64(o.gateways)*maxProbeRate, fleetRate)
		limit := float64(o.incarnations)*(untilOpen+float64(1+o.falseReporters)) + 2*probeRate*seconds + 40
		if float64(o.sent) > limit {
			t.Fatalf("%d attempts by %d incarnations of %d gateways, want at most %.0f", o.sent, o.incarnations, o.gateways, limit)
		}
		half := float64(o.incarnations) * o.demand * seconds / 2
		if o.gateways >= 30 && o.demand > 30 && float64(o.sent) > half {
			t.Fatalf("%d attempts of %.0f wanted by clients: nothing was bounded", o.sent, 2*half)
		}
	})
}
