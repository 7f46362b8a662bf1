package overload

import (
	"fmt"
	"testing"
)

// All hosts are silent for 10 s. What all send does not grow with their number, and all are back within a second; without
// messages it is bounded by what each probes for itself.
func TestAttemptsOfTheFleetAreBoundedInAnOutage(t *testing.T) {
	for _, gateways := range []int{3, 30, 300, 1000} {
		for _, messageRate := range []float64{60, 0} {
			t.Run(fmt.Sprintf("%d gateways, %g messages a second", gateways, messageRate), func(t *testing.T) {
				sent, recovery := newSimulatedFleet(gateways, messageRate).outage(10)
				// Until it is found, a second's demand at most; then probes, half as many again for the chances.
				limit, late := 3000+10*fleetProbeRate*1.5, 10
				if messageRate == 0 {
					limit, late = 3000+10*min(fleetProbeRateNoMessages, maxProbeRate*float64(gateways))*1.5, 20
				}
				if float64(sent) > limit {
					t.Errorf("%d attempts into the outage, want at most %.0f", sent, limit)
				}
				if at := recoveredAfter(recovery); at < 0 || at >= late {
					t.Errorf("recovered after %d tenths of a second, want under %d: %.2f", at, late, recovery)
				}
			})
		}
	}
	var off *Controller
	if !off.AllowsAttempt(0) || !off.AllowsRetry() || off.ProbesOnly() {
		t.Error("a nil controller bounds something")
	}
}

// A third of the messages are lost: the same, a little later.
func TestOutageIsBoundedWithLostMessages(t *testing.T) {
	f := newSimulatedFleet(300, 60)
	f.loss = 0.3
	sent, recovery := f.outage(10)
	if at := recoveredAfter(recovery); sent > 4000 || at < 0 || at > 10 {
		t.Errorf("%d sent, recovered after %d tenths of a second: %.2f", sent, at, recovery)
	}
}

// The hosts come back for a tenth of a second and fall silent again: the recovery is aborted.
func TestRecoveryIsAbortedByASecondOutage(t *testing.T) {
	f := newSimulatedFleet(300, 60)
	f.outage(5)
	f.hostAlive = noHostAnswers
	f.run(3)
	f.hostAlive = everyHostAnswers
	f.run(0.1)
	f.hostAlive = noHostAnswers
	f.sent = 0
	f.run(5)
	if f.sent > 2500 {
		t.Errorf("%d sent into the second outage", f.sent)
	}
}

// Some of the 40 hosts are silent: the others answer, and the breaker is not open for long.
func TestBreakerStaysClosedWithSomeHostsSilent(t *testing.T) {
	for _, silent := range []int{4, 20} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			f := newSimulatedFleet(300, 60)
			f.hostAlive = func(_, host int) bool { return host >= silent }
			f.run(10)
			if f.sent < 29000 {
				t.Errorf("%d of 30,000 were sent", f.sent)
			}
		})
	}
}

// Three of 300 have broken links and see every host silent. The others go on; the three probe little, and are back when
// their links are.
func TestGatewaysWithBrokenLinksOpenAlone(t *testing.T) {
	const broken = 3
	f := newSimulatedFleet(300, 60)
	f.run(3)
	f.hostAlive = func(gateway, _ int) bool { return gateway >= broken }
	clear(f.sentBy)
	f.run(20)
	for i, n := range f.sentBy { // 200 are wished for
		if i < broken && n > 60 || i >= broken && n < 130 {
			t.Fatalf("gateway %d sent %d in 20 s", i, n)
		}
	}
	f.hostAlive = everyHostAnswers
	f.run(12)
	for i := range broken {
		if state := f.gateways[i].breaker.state; state != breakerClosed {
			t.Errorf("the breaker of gateway %d is still %v", i, state)
		}
	}
}

// One reports without end that a host has answered, in an outage: it is believed once in ten seconds, and costs each gateway
// one attempt.
func TestWrongReportOfAnAnswerIsDistrusted(t *testing.T) {
	f := openFleet(t, 100, 2)
	for range 80 {
		for _, c := range f.gateways[1:] {
			c.Receive(f.now, 0, "~l")
		}
		f.run(0.1)
	}
	if f.sent > 100+8*60 {
		t.Errorf("%d sent in 8 s", f.sent)
	}
}

// Half of all gateways restart in the outage and know of none: they hear of it, or find it themselves.
func TestRestartedGatewaysLearnOfTheOutage(t *testing.T) {
	f := openFleet(t, 300, 3)
	for i := range 150 {
		f.gateways[i] = f.newController(300, uint64(1000+i))
	}
	f.run(5)
	if f.sent > 1500 {
		t.Errorf("%d sent", f.sent)
	}
	f.hostAlive = everyHostAnswers
	f.run(1)
	f.served = 0
	f.run(1)
	if f.served < 2800 {
		t.Errorf("%d served in the second second", f.served)
	}
}

// A gateway was stopped for some seconds with attempts in flight. What it could not hear does not count.
func TestStoppedProcessJudgesNothing(t *testing.T) {
	f := newSimulatedFleet(30, 60)
	f.run(2)
	c := f.gateways[3]
	for host := range 8 {
		c.AttemptStarted(f.now, hostName(host), false)
	}
	c.Evaluate(f.now + 4)
	if c.breaker.state != breakerClosed {
		t.Error("its own pause is taken for the hosts' silence")
	}
}

// All hosts are three times as slow from one moment on: no silence.
func TestSlowHostsAreNotSilent(t *testing.T) {
	c := New(Config{Gateways: 30, MessageRate: 60, Seed: 1})
	c.SetFleet(30, 40)
	now := 10.0
	var startedAt []float64
	for i := range 400 {
		now += 0.01
		c.AttemptStarted(now, hostName(i%40), false)
		startedAt = append(startedAt, now)
		latency := 0.05
		if i > 200 {
			latency = 0.15
		}
		for len(startedAt) > 0 && now-startedAt[0] >= latency {
			first := i - len(startedAt) + 1
			c.AttemptEnded(now, hostName(first%40), startedAt[0], Answered)
			startedAt = startedAt[1:]
		}
		c.Evaluate(now)
		if c.breaker.state != breakerClosed {
			t.Fatalf("after %d attempts the breaker is %v", i, c.breaker.state)
		}
	}
}

// Whatever else comes as a message is left to others, and nonsense of this kind changes nothing.
func TestForgedMessagesChangeNothing(t *testing.T) {
	c := New(Config{Gateways: 3, MessageRate: 60})
	for _, text := range []string{"", "~", "!b", "+host"} {
		if c.Receive(1, 1, text) {
			t.Errorf("%q was taken", text)
		}
	}
	for _, message := range []struct {
		from int
		text string
	}{{99, "~s"}, {-1, "~l"}, {1, "~?"}, {1, "~- + ="}, {1, "~sx"}} {
		if !c.Receive(1, message.from, message.text) {
			t.Errorf("%q of %d was left to others", message.text, message.from)
		}
	}
	if len(c.peers.silentAt)+len(c.peers.answeringAt)+len(c.hosts.words) > 0 {
		t.Error("a report of nobody counts")
	}
	if len(c.outbox.messages) > 0 {
		t.Errorf("it is answered: %q", c.outbox.messages)
	}
}
