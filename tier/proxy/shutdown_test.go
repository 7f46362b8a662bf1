package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/feed"
	"otterseam/tier/settings"
)

// readiness returns the status of the proxy's response to a readiness probe.
func (g *testProxy) readiness() int {
	recorder := httptest.NewRecorder()
	g.proxy.readinessRoutes().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/readiness", nil))
	return recorder.Code
}

// The first readiness probe after SIGTERM fails, so that the platform sends no more connections.
func TestAStoppingProxyIsNotReady(t *testing.T) {
	g := newTestProxy(t)
	g.proxy.view.Put(feed.SectionHost, "h", 1, nil)
	if got := g.readiness(); got != http.StatusOK {
		t.Fatalf("before: %d", got)
	}
	g.proxy.draining.Store(true)
	if got := g.readiness(); got != http.StatusServiceUnavailable {
		t.Fatalf("while draining: %d", got)
	}
}

// A request that is still in flight when the process has to end receives a complete response, and its connection to the host is
// closed.
func TestARequestInFlightGetsAResponseBeforeTheProcessEnds(t *testing.T) {
	g := newTestProxy(t)
	g.proxy.settings.Bounds.Grace = graceMargin + finalResponseTime + 200*time.Millisecond
	reached := make(chan struct{}, 2)
	disconnected := make(chan struct{}, 2)
	g.addHost(func(r hostRequest) {
		reached <- struct{}{}
		r.awaitDisconnect()
		disconnected <- struct{}{}
	})
	clients := []*client{g.dial(), g.dial()}
	clients[0].send("/once/1", "r1", "", "x")
	clients[1].send("/stream/1", "r2", "", "x")
	<-reached
	<-reached
	ended := make(chan error, 1)
	go func() { ended <- g.proxy.shutdown(context.Background(), g.server) }()
	for _, c := range clients {
		if got := c.receive(); got.StatusCode != http.StatusBadGateway || got.err != nil {
			t.Errorf("%d %q, %v", got.StatusCode, got.text, got.err)
		}
		<-disconnected
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// A stopping proxy rejects requests that could outlast it, and closes the connection, so that the client retries at another proxy.
func TestAStoppingProxyRejectsRequests(t *testing.T) {
	g := newTestProxy(t)
	conns := g.addHost(func(r hostRequest) { r.respond(plainOK) })
	g.proxy.draining.Store(true)
	if got := g.dial().roundTrip("/once/1", "r1", "", "x"); got.StatusCode != http.StatusOK || !got.Close {
		t.Fatalf("while draining: %d, close %v", got.StatusCode, got.Close)
	}
	g.proxy.rejecting.Store(true)
	got := g.dial().roundTrip("/once/1", "r2", "", "x")
	if got.StatusCode != http.StatusServiceUnavailable || !got.Close || got.Header.Get("Retry-After") == "" {
		t.Fatalf("while rejecting: %d %v", got.StatusCode, got.Header)
	}
	if conns.total() != 1 {
		t.Fatal("a rejected request was sent to a host")
	}
}

// newFastStoppingProxy returns a proxy with a short grace period.
func newFastStoppingProxy(t *testing.T) *Proxy {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &settings.Settings{ListenFront: freeAddress(t), ListenReadiness: freeAddress(t), Zone: "z"}
	s.Bounds.Grace = graceMargin + finalResponseTime + 200*time.Millisecond
	p, err := New(s, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A proxy whose context ends shuts down gracefully: Run returns, and its listeners are closed.
func TestRunEndsWithItsContext(t *testing.T) {
	p := newFastStoppingProxy(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	addresses := []string{p.settings.ListenFront, p.settings.ListenReadiness}
	for _, address := range addresses {
		conn := dialUntilItListens(t, address)
		_ = conn.Close()
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	for _, address := range addresses {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			t.Errorf("%s still listens", address)
		}
	}
}

// A proxy shuts down if one of its listeners fails, and its error names the listener.
func TestAFailedListenerEndsTheProxy(t *testing.T) {
	for _, failing := range []string{"listen.front", "listen.readiness"} {
		t.Run(failing, func(t *testing.T) {
			listeners := map[string]net.Listener{}
			for _, name := range []string{"listen.front", "listen.readiness"} {
				listener, err := net.Listen("tcp", anyPort())
				if err != nil {
					t.Fatal(err)
				}
				listeners[name] = listener
			}
			_ = listeners[failing].Close()
			err := newFastStoppingProxy(t).runWithListeners(t.Context(), listeners["listen.front"], listeners["listen.readiness"])
			if !errors.Is(err, net.ErrClosed) || !strings.Contains(err.Error(), failing) {
				t.Fatal(err)
			}
		})
	}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", anyPort())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// dialUntilItListens retries until it has connected to the address, and returns the connection.
func dialUntilItListens(t *testing.T, address string) net.Conn {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}
