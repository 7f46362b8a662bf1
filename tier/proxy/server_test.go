package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/harness/tierhost"
)

func TestARequestWithoutAConfigurationIsRejectedForNow(t *testing.T) {
	g := newTestProxy(t)
	g.proxy.routes.Store(nil)
	if got := g.dial().ask("/safe/1", "r", "", ""); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Fatalf("%d %v", got.StatusCode, got.Header)
	}
}

// Without an id an answer cannot be told from others; the request reaches no host.
func TestARequestWithoutAnIDGets400(t *testing.T) {
	g := newTestProxy(t)
	counted := g.addHost(func(a hostRequest) { a.respond(plainOK) })
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1"} {
		c := g.dial()
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path); err != nil {
			t.Fatal(err)
		}
		if got := c.receive(); got.StatusCode != http.StatusBadRequest || !strings.Contains(got.text, "X-Request-Id") {
			t.Errorf("%s: %d %q", path, got.StatusCode, got.text)
		}
	}
	if counted.total() != 0 {
		t.Fatal("a host was asked")
	}
}

// On a streaming route a request that names no tokens may be answered with a body that is no stream.
func TestABareRequestOnAStreamingRouteGetsItsResponse(t *testing.T) {
	g := newTestProxy(t)
	host := &tierhost.Host{ID: "host-1", Service: "hosts", Slots: 4, Controls: func() []string { return nil }}
	if err := host.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer host.Stop()
	g.registerAddress(host.Address)
	for _, path := range []string{"/stream/1", "/resume/1", "/turn/1", "/once/1", "/safe/1"} {
		c := g.dial()
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: bare\r\n\r\n", path); err != nil {
			t.Fatal(err)
		}
		if got := c.receive(); got.StatusCode != http.StatusOK || got.text != "done by hosts" || got.Header.Get("X-Response-Seal") == "" {
			t.Errorf("%s: %d %q", path, got.StatusCode, got.text)
		}
	}
}

// Each host is told what is left of the client's time, also if it is reached late.
func TestEachHostGetsTheRemainingDeadline(t *testing.T) {
	g := newTestProxy(t)
	type told struct {
		left time.Duration
		at   time.Time
	}
	seen := make(chan told, 4)
	serve := func(a hostRequest) {
		left, ok := parseMilliseconds(a.Header.Get("X-Deadline-Ms"))
		if !ok {
			t.Errorf("no deadline: %v", a.Header)
		}
		seen <- told{left, time.Now()}
		if len(seen) == 1 {
			a.reset()
			return
		}
		a.respond(plainOK)
	}
	g.addHost(serve)
	g.addHost(serve)
	for i, test := range []struct {
		headers string
		most    time.Duration
	}{{"", 20 * time.Second}, {"X-Deadline-Ms: 1500.5\r\n", 1500500 * time.Microsecond}, {"X-Deadline-Ms: 90000\r\n", 20 * time.Second}} {
		begun := time.Now()
		if got := g.dial().ask("/safe/1", fmt.Sprint("r", i), test.headers, ""); got.StatusCode != http.StatusOK {
			t.Fatalf("%d %q", got.StatusCode, got.text)
		}
		for range 2 {
			got := <-seen
			if end := got.at.Add(got.left); got.left <= 0 || got.left > test.most || end.After(begun.Add(test.most+400*time.Millisecond)) {
				t.Errorf("%q: %v left, of %v", test.headers, got.left, test.most)
			}
		}
	}
}

// A request runs on no more hosts than its route allows, and one that may run once on no second one.
func TestARequestRunsOnNoMoreHostsThanItsRouteAllows(t *testing.T) {
	for path, want := range map[string]struct {
		runs   int64
		status int
	}{
		"/safe/1":   {2, http.StatusServiceUnavailable},
		"/once/1":   {1, http.StatusBadGateway},
		"/stream/1": {1, http.StatusBadGateway},
		"/resume/1": {3, http.StatusBadGateway},
	} {
		t.Run(path, func(t *testing.T) {
			g := newTestProxy(t)
			var runs atomic.Int64
			for range 6 {
				g.addHost(func(a hostRequest) {
					runs.Add(1)
					a.reset()
				})
			}
			if got := g.dial().ask(path, "r", "", "x"); got.StatusCode != want.status {
				t.Errorf("status %d, not %d", got.StatusCode, want.status)
			}
			if runs.Load() != want.runs {
				t.Errorf("ran on %d hosts, not %d", runs.Load(), want.runs)
			}
		})
	}
}

// Hosts that prove that they did not run a request count as no run.
func TestARefusedRequestIsRetriedAtAnotherHost(t *testing.T) {
	wrongPlace := "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: ID\r\nContent-Length: 0\r\n\r\n"
	brokenRefusal := "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nbr"
	for _, refusal := range []string{refused, wrongPlace, brokenRefusal} {
		g := newTestProxy(t)
		var count atomic.Int64
		for range 2 {
			g.addHost(func(a hostRequest) {
				if count.Add(1) == 1 {
					a.respond(refusal)
					_ = a.conn.Close()
					return
				}
				a.respond(plainOK)
			})
		}
		if got := g.dial().ask("/once/1", "r", "", "x"); got.StatusCode != http.StatusOK || count.Load() != 2 {
			t.Errorf("%q: %d after %d hosts", refusal, got.StatusCode, count.Load())
		}
	}
}

// A status that promises that a request has not run is passed on only where that is proved, or where it may run again.
func TestAnUnprovedPromiseIsNotForwarded(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for path, want := range map[string]int{"/once/1": http.StatusBadGateway, "/stream/1": http.StatusBadGateway, "/safe/1": status} {
			g := newTestProxy(t)
			g.addHost(func(a hostRequest) {
				a.respond(fmt.Sprintf("HTTP/1.1 %d Later\r\nX-Request-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n", status))
			})
			got := g.dial().ask(path, "r", "", "x")
			if got.StatusCode != want || (want == http.StatusBadGateway && got.Header.Get("X-Response-Seal") != "") {
				t.Errorf("%s: %d for %d, %v", path, got.StatusCode, status, got.Header)
			}
		}
	}
}

// An answer without a length ends with its connection; one that is reset is not complete.
func TestAResponseWithoutALengthIsCompleteOnlyIfItsConnectionCloses(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for path, text := range map[string]string{"/once/1": "hello", "/stream/1": "id: 1\ndata: e1\n\n"} {
			g := newTestProxy(t)
			part := make(chan struct{})
			g.addHost(func(a hostRequest) {
				a.respond(sealed + "\r\n" + text)
				if reset {
					<-part
					a.reset()
				} else {
					_ = a.conn.Close()
				}
			})
			c := g.dial()
			c.send(path, "r", "", "x")
			close(part)
			if !reset {
				if got := c.receive(); got.StatusCode != http.StatusOK || got.err != nil || got.text != text {
					t.Errorf("%s: %d %q %v", path, got.StatusCode, got.text, got.err)
				}
				continue
			}
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				continue // cut before its head
			}
			if _, err = io.ReadAll(response.Body); err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("%s: an answer that was reset looks complete", path)
			}
		}
	}
}

// A host may reject a long request before it has read it; the request then goes to another host.
func TestALongRequestThatIsRejectedEarlyIsRetried(t *testing.T) {
	g := newTestProxy(t)
	var bodies atomic.Int64
	g.addEarlyHost(refused)
	g.addHost(func(a hostRequest) {
		bodies.Store(int64(len(a.body)))
		a.respond(plainOK)
	})
	const length = 8 << 20
	for i := range 3 {
		if got := g.dial().ask("/once/1", fmt.Sprintf("r%d", i), "", strings.Repeat("b", length)); got.StatusCode != http.StatusOK || got.text != "hello" {
			t.Fatalf("%d %q", got.StatusCode, got.text)
		}
	}
	if bodies.Load() != length {
		t.Fatalf("the body has %d bytes", bodies.Load())
	}
}

// The body of a request is waited for no longer than the request may take.
func TestASlowBodyEndsAtTheRequestDeadline(t *testing.T) {
	g := newTestProxy(t)
	counted := g.addHost(func(a hostRequest) { a.respond(plainOK) })
	c := g.dial()
	if _, err := io.WriteString(c, "POST /brief/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\nContent-Length: 9\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	if got := c.receive(); got.StatusCode != http.StatusRequestTimeout || counted.total() != 0 {
		t.Fatalf("%d", got.StatusCode)
	}
}

// A body that comes in time leaves no bound on its connection behind.
func TestAConnectionOutlivesTheDeadlineOfItsRequests(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(a hostRequest) {
		if strings.HasPrefix(a.RequestURI, "/brief/") {
			a.awaitDisconnect()
			return
		}
		a.respond(plainOK)
	})
	c := g.dial()
	if got := c.ask("/brief/1", "r1", "", "body"); got.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("%d", got.StatusCode)
	}
	if got := c.ask("/safe/1", "r2", "", "body"); got.StatusCode != http.StatusOK {
		t.Fatalf("%d", got.StatusCode)
	}
}

// A host that is silent does not hold a request beyond its route's time.
func TestARequestEndsAtItsRouteTimeout(t *testing.T) {
	g := newTestProxy(t)
	ended := make(chan struct{}, 1)
	g.addHost(func(a hostRequest) {
		a.awaitDisconnect()
		ended <- struct{}{}
	})
	begun := time.Now()
	got := g.dial().ask("/brief/1", "r", "X-Deadline-Ms: 5000\r\n", "x")
	if got.StatusCode != http.StatusGatewayTimeout || time.Since(begun) > 560*time.Millisecond {
		t.Fatalf("%d after %v", got.StatusCode, time.Since(begun))
	}
	<-ended
}
