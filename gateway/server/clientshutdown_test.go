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
func TestShutdownServesPipelinedRequests(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-release
		}
		return ok(fmt.Sprint(n))
	})
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
	sendText(tcp, invoke("pay", 3000, "a")+invoke("pay", 3000, "b"))
	h.nextRequest(t)
	done := make(chan bool)
	go func() { gw.clients.Shutdown(3 * time.Second); close(done) }()
	gw.waitFor(func() bool { return gw.clients.shuttingDown.Load() })
	close(release)
	var got []string
	readMessages(tcp, true, func(m *http1.Message) bool {
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
func TestShutdownEndsDespiteContinuousPipelining(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
	for range 30 { // always more than the gateway has responded to
		sendText(tcp, invoke("look", 900, ""))
	}
	begun, done := time.Now(), make(chan bool)
	go func() { gw.clients.Shutdown(2 * time.Second); close(done) }()
	readMessages(tcp, true, func(m *http1.Message) bool {
		sendText(tcp, invoke("look", 900, ""))
		return !m.Close
	})
	if took := time.Since(begun); took > lateAcceptPeriod+1500*time.Millisecond {
		t.Errorf("the last response arrived after %v", took)
	}
	<-done
}

// A connection that the kernel accepted, but that Accept has not returned when the listener is closed, is still served.
func TestShutdownServesConnectionAcceptedWhileListenerCloses(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		<-release
		return ok("x")
	})
	hook := &connHook{}
	gw := gatewaySetup{counter: belowQuota, hosts: []*fakeServer{h}, listener: hook.listener}.start(t)
	closing, accepted := make(chan bool), make(chan bool)
	hook.on("accepted", func() { close(accepted); <-closing })
	hook.on("unlisten", func() { close(closing) })
	tcp := gw.dial()
	<-accepted
	done := make(chan bool)
	go func() { gw.clients.Shutdown(3 * time.Second); close(done) }()
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
func TestShutdownServesFirstRequestOfNewConnection(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	gw := start(t, belowQuota, h)
	done := make(chan bool)
	go func() { gw.clients.Shutdown(3 * time.Second); close(done) }()
	gw.waitFor(func() bool { return gw.clients.shuttingDown.Load() })
	tcp := gw.dial()
	gw.onlyConnection()
	time.Sleep(newConnGrace / 2)
	if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
		t.Fatalf("got %d", status)
	}
	<-done
}

// On shutdown, requests in progress receive their response, idle connections are closed, and a new connection still gets one
// response.
func TestShutdownCompletesRequestsInProgress(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-release
		}
		return ok("x")
	})
	gw := start(t, belowQuota, h)
	busy, idle := gw.dial(), gw.dial()
	sendText(busy, invoke("pay", 3000, "x"))
	h.nextRequest(t)
	done := make(chan bool)
	go func() { gw.clients.Shutdown(3 * time.Second); close(done) }()
	gw.waitFor(func() bool { return gw.clients.shuttingDown.Load() })
	if !closed(idle) {
		t.Fatal("the idle connection was not closed")
	}
	late := gw.dial()
	close(release)
	if status, _ := exchange(late, invoke("pay", 900, "y")); status != 200 || !closed(late) {
		t.Fatalf("the late connection: status %d", status)
	}
	if status, _ := exchange(busy, ""); status != 200 || !closed(busy) {
		t.Fatalf("the request in progress: status %d", status)
	}
	<-done
}
