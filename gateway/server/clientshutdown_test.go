package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"otterseam/gateway/http1"
)

// Shutdown begins while one request is in progress and another is pipelined behind it. Both receive a response, and only the last
// one announces the close.
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

// A client that always has another request pipelined does not delay the shutdown.
func TestAClientThatNeverStopsAskingDoesNotHoldUpTheEnd(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	for range 30 { // always more than the gateway has responded to
		sendText(tcp, invoke("look", 900, ""))
	}
	begun, done := time.Now(), make(chan bool)
	go func() { w.clients.Shutdown(2 * time.Second); close(done) }()
	messages(tcp, true, func(m *http1.Message) bool {
		sendText(tcp, invoke("look", 900, ""))
		return !m.Close
	})
	if took := time.Since(begun); took > lateAcceptPeriod+1500*time.Millisecond {
		t.Errorf("the last response arrived after %v", took)
	}
	<-done
}

// A connection that the kernel accepted, but that Accept has not returned when the listener is closed, is still served.
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
		t.Error("shutdown returned with a response pending")
	default:
	}
	close(release)
	if status, _ := exchange(tcp, ""); status != 200 {
		t.Fatalf("got %d", status)
	}
	readToEnd(t, tcp)
	<-done
}

// A connection that was accepted but has not sent its request when the shutdown begins is still served.
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

// On shutdown, requests in progress receive their response, idle connections are closed, and a new connection still gets one
// response.
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
		t.Fatal("the idle connection was not closed")
	}
	late := w.dial()
	close(go1)
	if status, _ := exchange(late, invoke("pay", 900, "y")); status != 200 || !closed(late) {
		t.Fatalf("the late connection: status %d", status)
	}
	if status, _ := exchange(busy, ""); status != 200 || !closed(busy) {
		t.Fatalf("the request in progress: status %d", status)
	}
	<-done
}
