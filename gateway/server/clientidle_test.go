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
			t.Fatalf("connection %d: status %d", i, status)
		}
	}
	if n := w.connections(); n > w.clients.maxConns {
		t.Fatalf("%d connections are open", n)
	}
}

// A new connection must not be evicted at the limit while its first request is in transit, even if all others are busy.
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
	time.Sleep(20 * time.Millisecond) // the time that the first request may spend in transit
	sendText(late, invoke("pay", 900, "x"))
	close(release)
	for _, tcp := range append(all, late) {
		if status, _ := exchange(tcp, ""); status == 0 {
			t.Fatal("a connection was closed without a response")
		}
	}
}

// exhaustedListener is a listener whose first calls to Accept fail for lack of file descriptors.
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
	if status, _ := exchange(w.dial(), invoke("look", 900, "")); status != 200 || !w.log.has("accept failed; retrying") {
		t.Fatalf("got %d", status)
	}
}

// Idle connections must not keep a large buffer each, and must time out. They did neither.
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
		c.state.waitingSince = time.Now().Add(-idleConnTimeout) // as if it had been idle this long
		c.mu.Unlock()
	}
	w.clients.mu.Unlock()
	if !closed(tcp) || !closed(silent) {
		t.Fatal("the idle connections were not closed")
	}
}

// At the limit, connections without input must be closed first. Active clients were evicted in favor of unused connections that had
// been opened later.
func TestSilentConnectionsMakeRoomFirst(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	usual, silent := w.dial(), w.dial()
	if status, _ := exchange(usual, invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	w.wait(func() bool { return w.connections() == 2 })
	time.Sleep(newConnGrace + 20*time.Millisecond)
	if !w.clients.evictIdle() || !closed(silent) {
		t.Fatal("the unused connection was not closed")
	}
	if status, _ := exchange(usual, invoke("look", 900, "")); status != 200 {
		t.Fatalf("the active connection: status %d", status)
	}
}

// Clients that sent one request and stayed connected used up the connections that clients may have, before the gateway reached its
// own limit. Other clients then had none for their next request. Idle connections are therefore evicted above half the limit.
func TestFewConnectionsAreLeftIdle(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	for range w.clients.maxConns - 5 {
		if status, _ := exchange(w.dial(), invoke("look", 900, "")); status != 200 {
			t.Fatalf("got %d", status)
		}
	}
	w.wait(func() bool { return w.connections() <= w.clients.maxConns/2+2 })
}
