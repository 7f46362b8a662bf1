package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const refusedWithoutEnd = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunkOf returns a chunk of a number of bytes.
func chunkOf(bytes int) string { return fmt.Sprintf("%x\r\n%s\r\n", bytes, strings.Repeat("b", bytes)) }

// Guards against a refusal whose body is read to its end before the request is sent to another host.
func TestARefusalWithoutEndIsGivenUpAtOnce(t *testing.T) {
	g := newTestProxy(t)
	var tries atomic.Int64
	serve := func(r hostRequest) {
		if tries.Add(1) == 1 {
			r.respondWithoutEnd(refusedWithoutEnd, chunkOf(4096))
			return
		}
		r.respond(plainOK)
	}
	g.addHost(serve)
	g.addHost(serve)
	if got := g.dial().roundTrip("/once/1", "r", "", "x"); got.StatusCode != http.StatusOK || got.text != "hello" {
		t.Fatalf("status %d, %q", got.StatusCode, got.text)
	}
	g.awaitIdle()
	if used := g.proxy.responses.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
	if want := `{kind="unread-body"}`; !strings.Contains(g.metrics(), want) || strings.Contains(g.metrics(), want+" 0") {
		t.Errorf("the refusal isn't counted:\n%s", g.metrics())
	}
}

// Guards against refusals that cost a connection each, and against those whose body trickles.
func TestOnlyAShortRefusalKeepsItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		refusal string
		keeps   bool
	}{
		"short":      {"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nhello", true},
		"incomplete": {"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 6\r\n\r\nhello", false},
		"long":       {"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 99999999\r\n\r\nhello", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestProxy(t)
			conns := g.addHost(func(r hostRequest) { r.respond(test.refusal) })
			c := g.dial()
			for i := range 3 {
				if got := c.roundTrip("/once/1", fmt.Sprint("r", i), "", "x"); got.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("status %d", got.StatusCode)
				}
			}
			if kept := conns.total() == 1; kept != test.keeps {
				t.Errorf("%d connections for three refusals", conns.total())
			}
		})
	}
}

// Guards against changes of a body that is too long to be held: its length, its bytes and its status.
func TestALongBodyIsForwardedUnchanged(t *testing.T) {
	const size = 3*maxHeldBytes + 17
	body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
	for name, response := range map[string]string{
		"length":  sealed + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + body,
		"chunked": sealed + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", size, body) + lastChunk,
	} {
		for _, path := range []string{"/safe/1", "/once/1", "/stream/1"} {
			t.Run(name+path, func(t *testing.T) {
				g := newTestProxy(t)
				conns := g.addHost(func(r hostRequest) {
					r.respond(strings.Replace(response, "\r\n", "\r\nContent-Type: text/plain\r\n", 1))
				})
				c := g.dial()
				for i := range 2 {
					got := c.roundTrip(path, fmt.Sprint("r", i), "", "x")
					if got.StatusCode != http.StatusOK || got.err != nil || got.text != body {
						t.Fatalf("status %d, %d bytes, %v", got.StatusCode, len(got.text), got.err)
					}
					if name == "length" && got.ContentLength != size {
						t.Errorf("the length is %d", got.ContentLength)
					}
				}
				if conns.total() != 1 {
					t.Errorf("%d connections", conns.total())
				}
			})
		}
	}
}

// Guards against a long body that is cut and looks complete.
func TestALongBodyThatIsCutDoesNotLookComplete(t *testing.T) {
	for name, head := range map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n", 4*maxHeldBytes),
		"chunked": "Transfer-Encoding: chunked\r\n\r\n",
	} {
		g := newTestProxy(t)
		g.addHost(func(r hostRequest) {
			r.respond(sealed + head)
			if name == "chunked" {
				r.respond(chunkOf(2 * maxHeldBytes))
			} else {
				r.respond(strings.Repeat("b", 2*maxHeldBytes))
			}
			_ = r.conn.Close()
		})
		c := g.dial()
		c.send("/safe/1", "id", "", "x")
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, response.Body); err == nil {
			t.Errorf("%s: a body of %d bytes looks complete", name, n)
		}
	}
}

// Guards against a long response that promises what its host has not proved: that the request has not run.
func TestALongUnprovedRejectionIsNotForwarded(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(r hostRequest) {
		r.respondWithoutEnd("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(4096))
	})
	if got := g.dial().roundTrip("/once/1", "r", "", "x"); got.StatusCode != http.StatusBadGateway {
		t.Fatalf("status %d", got.StatusCode)
	}
}

// Guards against reading a body that is announced to be too long; another host may still serve the request.
func TestABodyThatIsAnnouncedTooLongIsNotRead(t *testing.T) {
	g := newTestProxy(t)
	var tries atomic.Int64
	serve := func(r hostRequest) {
		if tries.Add(1) == 1 {
			r.respond(sealed + "Content-Length: 9000000000000\r\n\r\nb")
			r.awaitDisconnect()
			return
		}
		r.respond(plainOK)
	}
	g.addHost(serve)
	g.addHost(serve)
	if got := g.dial().roundTrip("/safe/1", "r", "", "x"); got.StatusCode != http.StatusOK || got.text != "hello" {
		t.Fatalf("status %d, %q", got.StatusCode, got.text)
	}
}

// Guards against a body without end that is forwarded for as long as its host sends.
func TestABodyWithoutEndIsBrokenOff(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(r hostRequest) { r.respondWithoutEnd(sealed+"Transfer-Encoding: chunked\r\n\r\n", chunkOf(64<<10)) })
	c := g.dial()
	c.send("/once/1", "id", "", "x")
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil || n > maxResponseBytes {
		t.Errorf("%d bytes, %v", n, err)
	}
	g.awaitIdle()
	if want := `{kind="body"} 1`; !strings.Contains(g.metrics(), want) {
		t.Errorf("%s is missing in\n%s", want, g.metrics())
	}
}

// Guards against a request that reaches a host though there is no memory for its response.
func TestWithoutMemoryForItsResponseARequestReachesNoHost(t *testing.T) {
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1", "/turn/1"} {
		g := newTestProxy(t)
		g.proxy.responses = newResponseBudget(attemptBytes - 1)
		conns := g.addHost(func(r hostRequest) { r.respond(plainOK) })
		got := g.dial().roundTrip(path, "r", turnHeaders, "x")
		if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" || !strings.Contains(got.text, `"code":414`) {
			t.Errorf("%s: status %d, %q", path, got.StatusCode, got.text)
		}
		if conns.total() != 0 {
			t.Errorf("%s: the request reached a host", path)
		}
	}
}

// Guards against responses that hold memory while other requests get none.
func TestTheResponseThatHeldMostForLongestYields(t *testing.T) {
	const (
		stalledResponses = 6
		pendingBytes     = 600 << 10
	)
	g := newTestProxy(t)
	g.proxy.responses = newResponseBudget(8 << 20)
	g.addHost(func(r hostRequest) {
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			r.respond(plainOK)
			return
		}
		r.respond(sealed + "Content-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("x", pendingBytes))
		r.awaitDisconnect()
	})
	for i := range stalledResponses {
		g.dial().send("/stream/1", fmt.Sprint("stalled", i), "", "x")
	}
	deadline := time.Now().Add(20 * time.Second)
	for strings.Contains(g.metrics(), `{kind="memory"} 0`) {
		if got := g.dial().roundTrip("/once/1", fmt.Sprint("r", time.Now().UnixNano()), "", "x"); got.StatusCode != http.StatusOK {
			t.Fatalf("an ordinary request: status %d", got.StatusCode)
		}
		if time.Now().After(deadline) {
			t.Fatalf("no response has yielded:\n%s", g.metrics())
		}
	}
	if used := g.proxy.responses.Used(); used == 0 || used > 8<<20 {
		t.Errorf("%d bytes are reserved", used)
	}
}

// Guards against a host that goes on getting requests though its refusals have no end.
func TestAHostWhoseRefusalsHaveNoEndIsAvoided(t *testing.T) {
	g := newTestProxy(t)
	g.addHost(func(r hostRequest) { r.respondWithoutEnd(refusedWithoutEnd, chunkOf(4096)) })
	g.dial().roundTrip("/once/1", "r", "", "x")
	g.awaitIdle()
	g.proxy.hosts.mu.Lock()
	defer g.proxy.hosts.mu.Unlock()
	if host := g.proxy.hosts.byID["host-1"]; !host.IsSuspect(time.Now(), 1) {
		t.Error("the host isn't avoided")
	}
}
