package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"otterseam/gateway/http1"
)

// The call to end finds a request in hand and a further one behind it: both are answered, the last one says so.
func TestWhatHasComeByTheCallToEndIsServed(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-release
		}
		return ok(fmt.Sprint(n))
	})
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	sendText(tcp, invoke("pay", 3000, "a")+invoke("pay", 3000, "b"))
	h.nextRequest(t)
	done := make(chan bool)
	go func() { w.clients.Shutdown(3 * time.Second); close(done) }()
	w.wait(func() bool { return w.clients.shuttingDown.Load() })
	close(release)
	var got []string
	messages(tcp, true, func(m *http1.Message) bool {
		got = append(got, fmt.Sprint(string(m.Body), m.Close))
		return len(got) < 2
	})
	if strings.Join(got, " ") != "1false 2true" {
		t.Fatalf("got %q", got)
	}
	readToEnd(t, tcp)
	<-done
}

// A client that always has a further request on its way does not hold up the end.
func TestAClientThatNeverStopsAskingDoesNotHoldUpTheEnd(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	for range 30 { // always more than the api gateway has answered
		sendText(tcp, invoke("look", 900, ""))
	}
	begun, done := time.Now(), make(chan bool)
	go func() { w.clients.Shutdown(2 * time.Second); close(done) }()
	messages(tcp, true, func(m *http1.Message) bool {
		sendText(tcp, invoke("look", 900, ""))
		return !m.Close
	})
	if took := time.Since(begun); took > lateAcceptPeriod+1500*time.Millisecond {
		t.Errorf("the last answer came after %v", took)
	}
	<-done
}

// A connection that the system has given, but the program does not know of yet, as the listener is closed.
func TestAConnectionAcceptedAsTheListenerClosesIsServed(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		<-release
		return ok("x")
	})
	k := &connHook{}
	w := gatewaySetup{counter: plentyOfQuota, hosts: []*fakeServer{h}, listener: k.listener}.start(t)
	closing, accepted := make(chan bool), make(chan bool)
	k.on("accepted", func() { close(accepted); <-closing })
	k.on("unlisten", func() { close(closing) })
	tcp := w.dial()
	<-accepted
	done := make(chan bool)
	go func() { w.clients.Shutdown(3 * time.Second); close(done) }()
	<-closing
	sendText(tcp, invoke("pay", 900, "x"))
	h.nextRequest(t)
	select {
	case <-done:
		t.Error("the end has come with an answer owed")
	default:
	}
	close(release)
	if status, _ := exchange(tcp, ""); status != 200 {
		t.Fatalf("got %d", status)
	}
	readToEnd(t, tcp)
	<-done
}

// One that has been accepted and has said nothing yet when the end is called for.
func TestAConnectionJustAcceptedMaySpeakAfterTheCallToEnd(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, plentyOfQuota, h)
	done := make(chan bool)
	go func() { w.clients.Shutdown(3 * time.Second); close(done) }()
	w.wait(func() bool { return w.clients.shuttingDown.Load() })
	tcp := w.dial()
	w.onlyConnection()
	time.Sleep(newConnGrace / 2)
	if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
		t.Fatalf("got %d", status)
	}
	<-done
}

// The end: what is in hand is answered, connections between requests are closed, new ones still get one answer.
func TestNothingTakenIsLostAtTheEnd(t *testing.T) {
	go1 := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-go1
		}
		return ok("x")
	})
	w := start(t, plentyOfQuota, h)
	busy, idle := w.dial(), w.dial()
	sendText(busy, invoke("pay", 3000, "x"))
	h.nextRequest(t)
	done := make(chan bool)
	go func() { w.clients.Shutdown(3 * time.Second); close(done) }()
	w.wait(func() bool { return w.clients.shuttingDown.Load() })
	if !closed(idle) {
		t.Fatal("an idle connection stays")
	}
	late := w.dial()
	close(go1)
	if status, _ := exchange(late, invoke("pay", 900, "y")); status != 200 || !closed(late) {
		t.Fatalf("a late one: %d", status)
	}
	if status, _ := exchange(busy, ""); status != 200 || !closed(busy) {
		t.Fatalf("the one in hand: %d", status)
	}
	<-done
}
