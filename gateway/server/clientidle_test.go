package server

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterseam/gateway/http1"
)

func TestConnectionLimitEvictsIdleConnections(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	for i := range 3 * gw.clients.maxConns {
		if status, _ := exchange(gw.dial(), invoke("look", 900, "")); status != 200 {
			t.Fatalf("connection %d: status %d", i, status)
		}
	}
	if n := gw.connections(); n > gw.clients.maxConns {
		t.Fatalf("%d connections are open", n)
	}
}

// A new connection must not be evicted at the limit while its first request is in transit, even if all others are busy.
func TestNewConnectionIsNotEvicted(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if string(m.Body) == "held" {
			<-release
		}
		return ok("x")
	})
	gw := start(t, belowQuota, h)
	var all []net.Conn
	for range gw.clients.maxConns - 1 {
		all = append(all, gw.dial())
		sendText(all[len(all)-1], invoke("pay", 900, "held"))
	}
	gw.waitFor(func() bool { return len(gw.loop.invocations) == len(all) })
	late := gw.dial()
	gw.waitFor(func() bool { return gw.connections() == gw.clients.maxConns })
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

func TestAcceptContinuesAfterDescriptorExhaustion(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	clientListener, err := NewClientListener(gw.clients.ctx, gw.clients.group, gw.loop, gw.clients.log, gw.clients.buffers, ClientOptions{
		Address: "127.0.0.1:0", OperationLimit: gw.clients.operationLimit, MaxConns: 50, Ready: gw.clients.ready,
	})
	if err != nil {
		t.Fatal(err)
	}
	gw.addr = clientListener.listener.Addr().String()
	clientListener.listener = &exhaustedListener{clientListener.listener, 2}
	go func() { _ = clientListener.Accept() }()
	t.Cleanup(clientListener.Close)
	if status, _ := exchange(gw.dial(), invoke("look", 900, "")); status != 200 || !gw.log.has("accept failed; retrying") {
		t.Fatalf("got %d", status)
	}
}

// Idle connections must not keep a large buffer each, and must time out. They did neither.
func TestIdleConnectionsReleaseBuffersAndTimeOut(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(string(m.Body)) })
	gw := start(t, belowQuota, h)
	long := strings.Repeat("y", 60<<10)
	tcp, unused := gw.dial(), gw.dial()
	for range 3 {
		if status, body := exchange(tcp, invoke("pay", 900, long)); status != 200 || body != long {
			t.Fatalf("%d with %d bytes", status, len(body))
		}
	}
	gw.waitFor(func() bool { return gw.clients.buffers.largeInUse.Load() == 0 })
	gw.clients.mu.Lock()
	for c := range gw.clients.conns {
		c.mu.Lock()
		c.state.waitingSince = time.Now().Add(-idleConnTimeout) // as if it had been idle this long
		c.mu.Unlock()
	}
	gw.clients.mu.Unlock()
	if !closed(tcp) || !closed(unused) {
		t.Fatal("the idle connections were not closed")
	}
}

// At the limit, connections without input must be closed first. Active clients were evicted in favor of unused connections that had
// been opened later.
func TestUnusedConnectionsAreEvictedFirst(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	active, unused := gw.dial(), gw.dial()
	if status, _ := exchange(active, invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	gw.waitFor(func() bool { return gw.connections() == 2 })
	time.Sleep(newConnGrace + 20*time.Millisecond)
	if !gw.clients.evictIdle() || !closed(unused) {
		t.Fatal("the unused connection was not closed")
	}
	if status, _ := exchange(active, invoke("look", 900, "")); status != 200 {
		t.Fatalf("the active connection: status %d", status)
	}
}

// Clients that sent one request and stayed connected used up the connections that clients may have, before the gateway reached its
// own limit. Other clients then had none for their next request. Idle connections are therefore evicted above half the limit.
func TestIdleConnectionsAreEvictedAboveHalfTheLimit(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	for range gw.clients.maxConns - 5 {
		if status, _ := exchange(gw.dial(), invoke("look", 900, "")); status != 200 {
			t.Fatalf("got %d", status)
		}
	}
	gw.waitFor(func() bool { return gw.connections() <= gw.clients.maxConns/2+2 })
}
