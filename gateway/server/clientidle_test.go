package server

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterseam/gateway/http1"
)

func TestConnectionsAtTheirLimitMakeRoom(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	for i := range 3 * w.clients.maxConns {
		if status, _ := exchange(w.dial(), invoke("look", 900, "")); status != 200 {
			t.Fatalf("connection %d: %d", i, status)
		}
	}
	if n := w.connections(); n > w.clients.maxConns {
		t.Fatalf("%d connections are open", n)
	}
}

// At the limit with every other connection busy, the one just taken was closed with its first request on the way.
func TestNewConnectionIsNotClosedToMakeRoom(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if string(m.Body) == "held" {
			<-release
		}
		return ok("x")
	})
	w := start(t, plentyOfQuota, h)
	var all []net.Conn
	for range w.clients.maxConns - 1 {
		all = append(all, w.dial())
		sendText(all[len(all)-1], invoke("pay", 900, "held"))
	}
	w.wait(func() bool { return len(w.loop.invocations) == len(all) })
	late := w.dial()
	w.wait(func() bool { return w.connections() == w.clients.maxConns })
	time.Sleep(20 * time.Millisecond) // as long as the first request may be on its way
	sendText(late, invoke("pay", 900, "x"))
	close(release)
	for _, tcp := range append(all, late) {
		if status, _ := exchange(tcp, ""); status == 0 {
			t.Fatal("a connection was ended without an answer")
		}
	}
}

// exhaustedListener is a listener that has no descriptor left for its first calls.
type exhaustedListener struct {
	net.Listener
	fails int
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.fails > 0 {
		l.fails--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

func TestAcceptGoesOnAfterDescriptorsRanOut(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	cs, err := NewClientListener(w.clients.ctx, w.clients.group, w.loop, w.clients.log, w.clients.buffers, ClientOptions{
		Address: "127.0.0.1:0", OperationLimit: w.clients.operationLimit, MaxConns: 50, Ready: w.clients.ready,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.addr = cs.listener.Addr().String()
	cs.listener = &exhaustedListener{cs.listener, 2}
	go func() { _ = cs.Accept() }()
	t.Cleanup(cs.Close)
	if status, _ := exchange(w.dial(), invoke("look", 900, "")); status != 200 || !w.log.has("accept pauses") {
		t.Fatalf("got %d", status)
	}
}

// Connections at rest held a large room each, and stayed for good.
func TestIdleConnectionsHoldLittleAndEnd(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(string(m.Body)) })
	w := start(t, plentyOfQuota, h)
	long := strings.Repeat("y", 60<<10)
	tcp, silent := w.dial(), w.dial()
	for range 3 {
		if status, body := exchange(tcp, invoke("pay", 900, long)); status != 200 || body != long {
			t.Fatalf("%d with %d bytes", status, len(body))
		}
	}
	w.wait(func() bool { return w.clients.buffers.largeInUse.Load() == 0 })
	w.clients.mu.Lock()
	for c := range w.clients.conns {
		c.mu.Lock()
		c.state.waitingSince = time.Now().Add(-idleConnTimeout) // as if it had rested for so long
		c.mu.Unlock()
	}
	w.clients.mu.Unlock()
	if !closed(tcp) || !closed(silent) {
		t.Fatal("they stay")
	}
}

// At the limit the connections of usual clients were closed for silent ones that had come later.
func TestSilentConnectionsMakeRoomFirst(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	usual, silent := w.dial(), w.dial()
	if status, _ := exchange(usual, invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	w.wait(func() bool { return w.connections() == 2 })
	time.Sleep(newConnGrace + 20*time.Millisecond)
	if !w.clients.makeRoom() || !closed(silent) {
		t.Fatal("the silent one stays")
	}
	if status, _ := exchange(usual, invoke("look", 900, "")); status != 200 {
		t.Fatalf("the usual one: %d", status)
	}
}

// Clients that asked once and stayed held all the connections that clients may have: usual ones had none for their next
// request, long before this side's own limit.
func TestFewConnectionsAreLeftIdle(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	for range w.clients.maxConns - 5 {
		if status, _ := exchange(w.dial(), invoke("look", 900, "")); status != 200 {
			t.Fatalf("got %d", status)
		}
	}
	w.wait(func() bool { return w.connections() <= w.clients.maxConns/2+2 })
}
