package overload

import (
	"fmt"
	"testing"
)

// All hosts are silent for 10 s. The number of attempts during the outage does not grow with the number of gateways, and the
// fleet recovers within a second. Without messages it is bounded by the probe rate of each gateway, and recovery takes longer.
func TestAttemptsOfTheFleetAreBoundedInAnOutage(t *testing.T) {
	for _, gateways := range []int{3, 30, 300, 1000} {
		for _, messageRate := range []float64{60, 0} {
			t.Run(fmt.Sprintf("%d gateways, %g messages a second", gateways, messageRate), func(t *testing.T) {
				sent, recovery := newSimulatedFleet(gateways, messageRate).outage(10)
				// At most a second's demand until the outage is detected, then probes with a margin of half for randomness.
				limit, late := 3000+10*fleetProbeRate*1.5, 10
				if messageRate == 0 {
					limit, late = 3000+10*min(fleetProbeRateNoMessages, maxProbeRate*float64(gateways))*1.5, 20
				}
				if float64(sent) > limit {
					t.Errorf("%d attempts during the outage, want at most %.0f", sent, limit)
				}
				if at := recoveredAfter(recovery); at < 0 || at >= late {
					t.Errorf("recovered after %d tenths of a second, want fewer than %d: %.2f", at, late, recovery)
				}
			})
		}
	}
	var off *Controller
	if !off.AllowsAttempt(0) || !off.AllowsRetry() || off.ProbesOnly() {
		t.Error("a nil controller bounds something")
	}
}

// With 30 % of the messages lost, attempts stay bounded and recovery may take a little longer.
func TestOutageIsBoundedWithLostMessages(t *testing.T) {
	f := newSimulatedFleet(300, 60)
	f.loss = 0.3
	sent, recovery := f.outage(10)
	if at := recoveredAfter(recovery); sent > 4000 || at < 0 || at > 10 {
		t.Errorf("%d attempts, recovered after %d tenths of a second: %.2f", sent, at, recovery)
	}
}

// The hosts answer again for a tenth of a second and then fall silent. The gateways must abort the recovery.
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
		t.Errorf("%d attempts during the second outage", f.sent)
	}
}

// Some of the 40 hosts are silent and the others answer. The breaker must not stay open for long.
func TestBreakerStaysClosedWithSomeHostsSilent(t *testing.T) {
	for _, silent := range []int{4, 20} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			f := newSimulatedFleet(300, 60)
			f.hostAlive = func(_, host int) bool { return host >= silent }
			f.run(10)
			if f.sent < 29000 {
				t.Errorf("%d attempts of 30,000 wanted", f.sent)
			}
		})
	}
}

// Three of 300 gateways have broken links and get no answer from any host. The others must continue. The three must probe at a
// low rate, and recover once their links do.
func TestGatewaysWithBrokenLinksOpenAlone(t *testing.T) {
	const broken = 3
	f := newSimulatedFleet(300, 60)
	f.run(3)
	f.hostAlive = func(gateway, _ int) bool { return gateway >= broken }
	clear(f.sentBy)
	f.run(20)
	for i, n := range f.sentBy { // clients want 200 per gateway
		if i < broken && n > 60 || i >= broken && n < 130 {
			t.Fatalf("gateway %d sent %d attempts in 20 s", i, n)
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

// During an outage one gateway keeps reporting that a host has answered. The others must accept this once in ten seconds, at the
// cost of one attempt each.
func TestWrongReportOfAnAnswerIsDistrusted(t *testing.T) {
	f := openFleet(t, 100, 2)
	for range 80 {
		for _, c := range f.gateways[1:] {
			c.Receive(f.now, 0, "~l")
		}
		f.run(0.1)
	}
	if f.sent > 100+8*60 {
		t.Errorf("%d attempts in 8 s", f.sent)
	}
}

// Half of all gateways restart during an outage and lose their state. They must learn of the outage from their peers or detect
// it themselves.
func TestRestartedGatewaysLearnOfTheOutage(t *testing.T) {
	f := openFleet(t, 300, 3)
	for i := range 150 {
		f.gateways[i] = f.newController(300, uint64(1000+i))
	}
	f.run(5)
	if f.sent > 1500 {
		t.Errorf("%d attempts", f.sent)
	}
	f.hostAlive = everyHostAnswers
	f.run(1)
	f.served = 0
	f.run(1)
	if f.served < 2800 {
		t.Errorf("%d requests served in the second second after the outage", f.served)
	}
}

// A gateway is paused for some seconds with attempts in flight. It must not count them as unanswered, because it could not
// receive the answers.
func TestPausedProcessDoesNotOpenBreaker(t *testing.T) {
	f := newSimulatedFleet(30, 60)
	f.run(2)
	c := f.gateways[3]
	for host := range 8 {
		c.AttemptStarted(f.now, hostName(host), false)
	}
	c.Evaluate(f.now + 4)
	if c.breaker.state != breakerClosed {
		t.Error("a pause of the process opened the breaker")
	}
}

// All hosts become three times as slow at once. This must not count as silence.
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

// Receive leaves messages without this package's prefix to others, and ignores invalid ones with it.
func TestForgedMessagesChangeNothing(t *testing.T) {
	c := New(Config{Gateways: 3, MessageRate: 60})
	for _, text := range []string{"", "~", "!b", "+host"} {
		if c.Receive(1, 1, text) {
			t.Errorf("%q was accepted", text)
		}
	}
	for _, message := range []struct {
		from int
		text string
	}{{99, "~s"}, {-1, "~l"}, {1, "~?"}, {1, "~- + ="}, {1, "~sx"}} {
		if !c.Receive(1, message.from, message.text) {
			t.Errorf("%q from gateway %d was left to others", message.text, message.from)
		}
	}
	if len(c.peers.silentAt)+len(c.peers.answeringAt)+len(c.hosts.entries) > 0 {
		t.Error("an invalid report was recorded")
	}
	if len(c.outbox.messages) > 0 {
		t.Errorf("an invalid message was answered: %q", c.outbox.messages)
	}
}
