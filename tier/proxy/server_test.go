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

func TestARequestWithoutAConfigurationIsRejectedWithRetryAfter(t *testing.T) {
	g := newTestProxy(t)
	g.proxy.routes.Store(nil)
	if got := g.dial().roundTrip("/safe/1", "r", "", ""); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Fatalf("%d %v", got.StatusCode, got.Header)
	}
}

// A request without an ID is sent to no host, since its response could not be matched to it.
func TestARequestWithoutAnIDGets400(t *testing.T) {
	g := newTestProxy(t)
	conns := g.addHost(func(r hostRequest) { r.respond(plainOK) })
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1"} {
		c := g.dial()
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path); err != nil {
			t.Fatal(err)
		}
		if got := c.receive(); got.StatusCode != http.StatusBadRequest || !strings.Contains(got.text, "X-Request-Id") {
			t.Errorf("%s: %d %q", path, got.StatusCode, got.text)
		}
	}
	if conns.total() != 0 {
		t.Fatal("the request was sent to a host")
	}
}

// A host may respond to a request without token headers on a streaming route with a body that is not an event stream.
func TestARequestWithoutTokenHeadersOnAStreamingRouteIsServed(t *testing.T) {
	g := newTestProxy(t)
	host := &tierhost.Host{ID: "host-1", Service: "hosts", Slots: 4, Controls: func() []string { return nil }}
	if err := host.Start(anyPort()); err != nil {
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

// Each host receives the time that remains until the client's deadline, even if it is the second one to be tried.
func TestEachHostGetsTheRemainingDeadline(t *testing.T) {
	g := newTestProxy(t)
	type deadlineHeader struct {
		remaining  time.Duration
		receivedAt time.Time
	}
	seen := make(chan deadlineHeader, 4)
	serve := func(r hostRequest) {
		remaining, ok := parseMilliseconds(r.Header.Get("X-Deadline-Ms"))
		if !ok {
			t.Errorf("no deadline: %v", r.Header)
		}
		seen <- deadlineHeader{remaining, time.Now()}
		if len(seen) == 1 {
			r.reset()
			return
		}
		r.respond(plainOK)
	}
	g.addHost(serve)
	g.addHost(serve)
	for i, test := range []struct {
		headers string
		longest time.Duration
	}{{"", 20 * time.Second}, {"X-Deadline-Ms: 1500.5\r\n", 1500500 * time.Microsecond}, {"X-Deadline-Ms: 90000\r\n", 20 * time.Second}} {
		started := time.Now()
		if got := g.dial().roundTrip("/safe/1", fmt.Sprint("r", i), test.headers, ""); got.StatusCode != http.StatusOK {
			t.Fatalf("%d %q", got.StatusCode, got.text)
		}
		for range 2 {
			got := <-seen
			if end := got.receivedAt.Add(got.remaining); got.remaining <= 0 || got.remaining > test.longest ||
				end.After(started.Add(test.longest+400*time.Millisecond)) {
				t.Errorf("%q: %v remaining, of %v", test.headers, got.remaining, test.longest)
			}
		}
	}
}

// A request runs on no more hosts than its route permits. One that may run only once is not sent to a second host.
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
				g.addHost(func(r hostRequest) {
					runs.Add(1)
					r.reset()
				})
			}
			if got := g.dial().roundTrip(path, "r", "", "x"); got.StatusCode != want.status {
				t.Errorf("status %d, not %d", got.StatusCode, want.status)
			}
			if runs.Load() != want.runs {
				t.Errorf("ran on %d hosts, not %d", runs.Load(), want.runs)
			}
		})
	}
}

// A host that proves that it did not run a request does not count against the permitted runs.
func TestARefusedRequestIsRetriedAtAnotherHost(t *testing.T) {
	misdirected := "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: ID\r\nContent-Length: 0\r\n\r\n"
	brokenRefusal := "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nbr"
	for _, refusal := range []string{refused, misdirected, brokenRefusal} {
		g := newTestProxy(t)
		var count atomic.Int64
		for range 2 {
			g.addHost(func(r hostRequest) {
				if count.Add(1) == 1 {
					r.respond(refusal)
					_ = r.conn.Close()
					return
				}
				r.respond(plainOK)
			})
		}
		if got := g.dial().roundTrip("/once/1", "r", "", "x"); got.StatusCode != http.StatusOK || count.Load() != 2 {
			t.Errorf("%q: %d after %d hosts", refusal, got.StatusCode, count.Load())
		}
	}
}

// A status that promises that a request has not run is forwarded only if the host has proved it or the request may run again.
func TestAnUnprovedRejectionIsNotForwarded(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for path, want := range map[string]int{"/once/1": http.StatusBadGateway, "/stream/1": http.StatusBadGateway, "/safe/1": status} {
			g := newTestProxy(t)
			g.addHost(func(r hostRequest) {
				r.respond(fmt.Sprintf("HTTP/1.1 %d Later\r\nX-Request-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n", status))
			})
			got := g.dial().roundTrip(path, "r", "", "x")
			if got.StatusCode != want || (want == http.StatusBadGateway && got.Header.Get("X-Response-Seal") != "") {
				t.Errorf("%s: %d for %d, %v", path, got.StatusCode, status, got.Header)
			}
		}
	}
}

// A response without a length ends when its connection closes. If the connection is reset, the response is incomplete.
func TestAResponseWithoutALengthIsCompleteOnlyIfItsConnectionCloses(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for path, text := range map[string]string{"/once/1": "hello", "/stream/1": "id: 1\ndata: e1\n\n"} {
			g := newTestProxy(t)
			requestSent := make(chan struct{})
			g.addHost(func(r hostRequest) {
				r.respond(sealed + "\r\n" + text)
				if reset {
					<-requestSent
					r.reset()
				} else {
					_ = r.conn.Close()
				}
			})
			c := g.dial()
			c.send(path, "r", "", "x")
			close(requestSent)
			if !reset {
				if got := c.receive(); got.StatusCode != http.StatusOK || got.err != nil || got.text != text {
					t.Errorf("%s: %d %q %v", path, got.StatusCode, got.text, got.err)
				}
				continue
			}
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				continue // interrupted before the head was complete
			}
			if _, err = io.ReadAll(response.Body); err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("%s: a response whose connection was reset looks complete", path)
			}
		}
	}
}

// A host may reject a long request before it has read all of it. The request is then sent to another host.
func TestALongRequestThatIsRejectedEarlyIsRetried(t *testing.T) {
	g := newTestProxy(t)
	var bodies atomic.Int64
	g.addEarlyHost(refused)
	g.addHost(func(r hostRequest) {
		bodies.Store(int64(len(r.body)))
		r.respond(plainOK)
	})
	const length = 8 << 20
	for i := range 3 {
		if got := g.dial().roundTrip("/once/1", fmt.Sprintf("r%d", i), "", strings.Repeat("b", length)); got.StatusCode != http.StatusOK || got.text != "hello" {
			t.Fatalf("%d %q", got.StatusCode, got.text)
		}
	}
	if bodies.Load() != length {
		t.Fatalf("the host received a body of %d bytes", bodies.Load())
	}
}

// The proxy waits for the body of a request no longer than until the request's deadline.
func TestASlowBodyEndsAtTheRequestDeadline(t *testing.T) {
	g := newTestProxy(t)
	conns := g.addHost(func(r hostRequest) { r.respond(plainOK) })
	c := g.dial()
	if _, err := io.WriteString(c, "POST /brief/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\nContent-Length: 9\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	if got := c.receive(); got.StatusCode != http.StatusRequestTimeout || conns.total() != 0 {
		t.Fatalf("%d", got.StatusCode)
	}
}

// The read deadline for the body of one request does not apply to the next request on the connection.
func TestAConnectionOutlivesTheDeadlineOfItsRequests(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(r hostRequest) {
		if strings.HasPrefix(r.RequestURI, "/brief/") {
			r.awaitDisconnect()
			return
		}
		r.respond(plainOK)
	})
	c := g.dial()
	if got := c.roundTrip("/brief/1", "r1", "", "body"); got.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("%d", got.StatusCode)
	}
	if got := c.roundTrip("/safe/1", "r2", "", "body"); got.StatusCode != http.StatusOK {
		t.Fatalf("%d", got.StatusCode)
	}
}

// A request ends at its route's timeout if its host does not respond.
func TestARequestEndsAtItsRouteTimeout(t *testing.T) {
	g := newTestProxy(t)
	ended := make(chan struct{}, 1)
	g.addHost(func(r hostRequest) {
		r.awaitDisconnect()
		ended <- struct{}{}
	})
	started := time.Now()
	got := g.dial().roundTrip("/brief/1", "r", "X-Deadline-Ms: 5000\r\n", "x")
	if got.StatusCode != http.StatusGatewayTimeout || time.Since(started) > 560*time.Millisecond {
		t.Fatalf("%d after %v", got.StatusCode, time.Since(started))
	}
	<-ended
}

// Guards against a legal head that gets 431, which ends a program for good, because its lines have no spaces.
func TestALegalHeadOfLinesWithoutSpacesIsServed(t *testing.T) {
	const maxHeaderBytes = 16384 // of the configuration
	var lines strings.Builder
	for i := 0; lines.Len() < maxHeaderBytes-200; i++ {
		fmt.Fprintf(&lines, "%c%c%c:\r\n", 'a'+i/676%26, 'a'+i/26%26, 'a'+i%26)
	}
	g := newTestProxy(t)
	g.addHost(func(r hostRequest) { r.respond(plainOK) })
	c := g.dial()
	if got := c.roundTrip("/once/1", "legal", lines.String(), "x"); got.StatusCode != http.StatusOK {
		t.Errorf("a legal head: status %d", got.StatusCode)
	}
	if got := c.roundTrip("/once/1", "long", lines.String()+"X-Long: "+strings.Repeat("x", 600)+"\r\n", "x"); got.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head that is too long: status %d", got.StatusCode)
	}
}
