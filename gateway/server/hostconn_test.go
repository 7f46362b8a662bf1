package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"otterseam/gateway/http1"
	"otterseam/harness/leakcheck"
)

// manualHost is a host whose connections are served by the test itself.
type manualHost struct {
	net.Listener
	conns chan net.Conn
}

func newManualHost(t *testing.T) *manualHost {
	leakcheck.Check(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &manualHost{l, make(chan net.Conn, 100)}
	var all sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		all.Wait()
	})
	all.Go(func() {
		for {
			tcp, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				<-t.Context().Done() // canceled just before the cleanup functions run
				tcp.Close()
			})
			h.conns <- tcp
		}
	})
	return h
}

func (h *manualHost) entry() string { return entry("h0", h.Addr().String(), "Ready") }

// next returns the next connection that the gateway opens.
func (h *manualHost) next(t *testing.T) net.Conn {
	t.Helper()
	select {
	case tcp := <-h.conns:
		_ = tcp.SetDeadline(time.Now().Add(5 * time.Second))
		return tcp
	case <-time.After(3 * time.Second):
		t.Fatal("no connection was opened")
		return nil
	}
}

// readRequest reads one readRequest and returns its method and body, or "" if the connection has ended.
func readRequest(tcp net.Conn) (text string) {
	readMessages(tcp, false, func(m *http1.Message) bool {
		text = string(m.Method) + " " + string(m.Body)
		return false
	})
	return text
}

// sendList sends a complete list of hosts from discovery, and waits until it is applied.
func (gw *testGateway) sendList(version int, entries ...string) {
	gw.discoveryLines <- fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(entries, ","))
	gw.waitFor(func() bool {
		gw.discovery.mu.Lock()
		defer gw.discovery.mu.Unlock()
		return gw.discovery.current.acceptedVersion == int64(version)
	})
	gw.waitFor(func() bool { return true }) // the event loop has applied it too
}

// idleConns returns the number of idle connections to h0.
func (gw *testGateway) idleConns() int {
	if h := gw.pool.byID["h0"]; h != nil {
		return len(h.idle)
	}
	return 0
}

// Unsolicited bytes that were read before a request is written must not become part of its response. The rest of such a response
// was taken for that of the next request.
func TestUnsolicitedBytesAreNotTheNextResponse(t *testing.T) {
	h := newManualHost(t)
	gw := start(t, belowQuota)
	gw.sendList(2, h.entry())
	tcp := gw.dial()
	go sendText(tcp, invoke("look", 2000, ""))
	first := h.next(t)
	readRequest(first)
	sendText(first, ok("one"))
	if _, body := exchange(tcp, ""); body != "one" {
		t.Fatalf("got %q", body)
	}
	gw.waitFor(func() bool { return gw.idleConns() == 1 })
	sendText(first, "HTTP/1.1 200 OK\r\nContent-Len") // unsolicited
	go func() {
		if readRequest(first) != "" { // not expected
			sendText(first, "gth: 5\r\n\r\nstray")
		}
	}()
	gw.waitFor(func() bool { return gw.idleConns() == 0 })
	sendText(tcp, invoke("look", 2000, ""))
	second := h.next(t)
	readRequest(second)
	sendText(second, ok("two"))
	if _, body := exchange(tcp, ""); body != "two" {
		t.Fatalf("got %q", body)
	}
}

// The host closes an idle connection just as a request is dispatched on it. Nothing was written, so the request is sent on another
// connection, even though it must not be retried, and the host's health is not affected.
func TestRequestIsReroutedIfConnectionClosesDuringDispatch(t *testing.T) {
	h := newManualHost(t)
	hook := &connHook{}
	gw := gatewaySetup{counter: belowQuota, connect: hook.connect}.start(t)
	gw.sendList(2, h.entry())
	tcp := gw.dial()
	var idleConn net.Conn
	for i := range 3 {
		var last net.Conn
		if i > 0 {
			last = <-h.conns // open and idle
			hook.on("look", func() {
				last.Close()
				for receiveBufferEmpty(idleConn) {
				}
			})
		}
		done := make(chan bool)
		go func() {
			defer close(done)
			c := h.next(t)
			readRequest(c)
			sendText(c, ok("x"))
			h.conns <- c
		}()
		if status, _ := exchange(tcp, invoke("pay", 2000, "x")); status != 200 {
			t.Fatalf("invocation %d: %d", i, status)
		}
		<-done
		gw.waitFor(func() bool {
			if gw.idleConns() != 1 {
				return false
			}
			idleConn = gw.pool.byID["h0"].idle[0].tcp.(*hookedConn).TCPConn
			return true
		})
	}
	if gw.log.has("ejected") {
		t.Fatal("the host was ejected")
	}
}

// The same if the reader detects the close before the writer starts. This was reported as a delivery without a connection.
func TestRequestIsReroutedIfConnectionClosedBeforeWrite(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	gw := start(t, belowQuota, h)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	defer l.Close()
	var closedConns []*hostConn // as many as the maximum number of attempts
	for range 3 {
		tcp, _ := net.Dial("tcp", l.Addr().String())
		other, _ := l.Accept()
		other.Close()
		for receiveBufferEmpty(tcp) {
		}
		raw, _ := rawConnOf(tcp)
		closedConns = append(closedConns, &hostConn{pool: gw.pool, tcp: tcp, raw: raw, requests: make(chan *Buffer, 2)})
	}
	gw.waitFor(func() bool { // idle, and neither of their goroutines has run yet
		x := gw.pool.byID["h0"]
		for _, c := range closedConns {
			c.host, c.addr = x, x.addr
		}
		gw.pool.open += len(closedConns)
		x.idle = append(x.idle, closedConns...)
		return true
	})
	client := gw.dial()
	sendText(client, invoke("pay", 900, "x"))
	for i := len(closedConns) - 1; i >= 0; i-- { // the most recently used is taken first
		gw.waitFor(func() bool { return closedConns[i].delivery != nil })
		closedConns[i].readLoop()
	}
	if status, _ := exchange(client, ""); status != 200 {
		t.Fatalf("got %d", status)
	}
	gw.waitFor(func() bool { return gw.pool.open == 1 })
	for _, c := range closedConns {
		c.writeLoop() // too late to write anything
	}
}

// A client leaves while its request waits for a connection. The request is not written once the connection is established.
func TestRequestOfDisconnectedClientIsNotWritten(t *testing.T) {
	for _, point := range []string{"up", "look"} { // before the connection is established, and after the dispatch
		h := newManualHost(t)
		hook := &connHook{}
		gw := gatewaySetup{counter: belowQuota, connect: hook.connect}.start(t)
		gw.sendList(2, h.entry())
		tcp := gw.dial()
		clientLeft := make(chan struct{})
		hook.on(point, func() {
			defer close(clientLeft)
			tcp.Close()
			gw.waitFor(func() bool { return len(gw.loop.invocations) == 0 })
		})
		sendText(tcp, invoke("pay", 900, "x"))
		c := h.next(t)
		gw.waitFor(func() bool { return len(gw.loop.invocations) == 0 && len(gw.loop.timeouts) == 0 })
		<-clientLeft // otherwise the gateway may end while the hook still waits for its event loop
		if point == "up" {
			gw.waitFor(func() bool { return gw.idleConns() == 1 })
			gw.waitFor(func() bool { gw.pool.UpdateHost("h0", "", false); return true })
		}
		if got := readRequest(c); got != "" {
			t.Errorf("%s: the host received %q", point, got)
		}
	}
}

// The conditions for a delivery may have changed when its connection is established.
func TestWaitingDeliveryIsRecheckedAtDispatch(t *testing.T) {
	for name, change := range map[string]func(gw *testGateway, h *manualHost){
		"drains": func(gw *testGateway, h *manualHost) {
			gw.sendList(3, strings.Replace(h.entry(), "Ready", "Terminating", 1))
		},
		"gone": func(gw *testGateway, h *manualHost) { gw.sendList(3) },
		"anew": func(gw *testGateway, h *manualHost) {
			gw.sendList(3, strings.Replace(h.entry(), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, time.Now().UnixMilli()+60000), 1))
		},
		"late": func(gw *testGateway, h *manualHost) { time.Sleep(350 * time.Millisecond) },
		"late because of an event queued before it": func(gw *testGateway, h *manualHost) {
			gw.loop.post(context.Background(), func() { time.Sleep(350 * time.Millisecond) })
			gw.hook.on("read", func() { // it is queued; the event after it gives the writer time
				gw.loop.post(context.Background(), func() { time.Sleep(50 * time.Millisecond) })
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newManualHost(t)
			hook := &connHook{}
			gw := gatewaySetup{counter: belowQuota, connect: hook.connect}.start(t)
			gw.hook = hook
			gw.sendList(2, h.entry())
			changed := make(chan bool)
			hook.on("up", func() { change(gw, h); close(changed) })
			tcp := gw.dial()
			go func() {
				<-changed
				for {
					select {
					case <-t.Context().Done():
						return
					case c := <-h.conns:
						go func() {
							if got := readRequest(c); got != "" {
								t.Errorf("the host received %q", got)
							}
						}()
					}
				}
			}()
			if status, _ := exchange(tcp, invoke("pay", 350, "x")); status == 200 {
				t.Error("served")
			}
			<-changed
			gw.waitFor(func() bool { return len(gw.loop.invocations) == 0 })
			h.Close()
		})
	}
}

// The deadline that a host receives is the time left when the request is written.
func TestForwardedDeadlineIsTimeLeftAtWrite(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		for i := range m.FieldCount() {
			f := m.Field(i)
			if string(f.Name) == "Req-Deadline-Ms" {
				return ok(string(f.Value))
			}
		}
		return ok("none")
	})
	hook := &connHook{}
	gw := gatewaySetup{counter: belowQuota, hosts: []*fakeServer{h}, connect: hook.connect}.start(t)
	hook.on("up", func() { time.Sleep(200 * time.Millisecond) })
	_, body := exchange(gw.dial(), invoke("pay", 900, "x"))
	var ms int
	if _, err := fmt.Sscan(body, &ms); err != nil || ms <= 0 || ms > 700 {
		t.Fatalf("forwarded deadline %q", body)
	}
}

// A write that fails in the middle is retried: the host can't have executed an incomplete request.
func TestPartialWriteIsRetried(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(string(m.Body)) })
	hook := &connHook{}
	gw := gatewaySetup{counter: belowQuota, hosts: []*fakeServer{h}, connect: hook.connect}.start(t)
	hook.on("half", func() {})
	long := strings.Repeat("y", 50<<10)
	if status, body := exchange(gw.dial(), invoke("pay", 2000, long)); status != 200 || body != long {
		t.Fatalf("%d with %d bytes", status, len(body))
	}
	h.nextRequest(t)
	h.expectNoRequest(t)
}

// A request may have been executed if the connection is reset after its last byte was written, whether or not part of the response
// was received. It is not retried.
func TestResetAfterCompleteRequestIsNotRetried(t *testing.T) {
	for _, text := range []string{
		"", "HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		h := newManualHost(t)
		gw := start(t, belowQuota)
		gw.sendList(2, h.entry())
		tcp := gw.dial()
		sendText(tcp, invoke("pay", 900, "x"))
		c := h.next(t)
		readRequest(c)
		sendText(c, text)
		if text != "" {
			gw.waitFor(func() bool { // the bytes were read
				for _, inv := range gw.loop.invocations {
					if conn := inv.delivery.conn; conn != nil {
						conn.mu.Lock()
						defer conn.mu.Unlock()
						return conn.response != nil && !conn.response.Empty()
					}
				}
				return false
			})
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		if status, body := exchange(tcp, ""); status != 502 || body != "" {
			t.Errorf("%.40q: %d %q", text, status, body)
		}
		select {
		case <-h.conns:
			t.Errorf("%.40q: sent again", text)
		default:
		}
	}
}

// A response that arrives byte by byte is forwarded. One that never completes is given up at the client's deadline.
func TestFragmentedResponsesAreForwarded(t *testing.T) {
	h := newManualHost(t)
	gw := start(t, belowQuota)
	gw.sendList(2, h.entry())
	for _, text := range []string{
		ok("in pieces"), "HTTP/1.1 100 Continue\r\n\r\n" + ok("in pieces"),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nin\r\n7\r\n pieces\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nin pieces",
	} {
		tcp := gw.dial()
		sendText(tcp, invoke("pay", 3000, "x"))
		c := h.next(t)
		readRequest(c)
		for _, b := range []byte(text) {
			_, _ = c.Write([]byte{b})
		}
		if text == "HTTP/1.1 200 OK\r\n\r\nin pieces" {
			c.Close()
		}
		if status, body := exchange(tcp, ""); status != 200 || body != "in pieces" {
			t.Errorf("%.40q: %d %q", text, status, body)
		}
		c.Close()
		gw.waitFor(func() bool { return gw.idleConns() == 0 })
	}
	tcp := gw.dial()
	sendText(tcp, invoke("pay", 300, "x"))
	c := h.next(t)
	readRequest(c)
	ended := make(chan bool)
	go func() {
		defer close(ended)
		for sendText(c, "HTTP/1.1 200 OK\r\nA: "); ; time.Sleep(5 * time.Millisecond) {
			if _, err := c.Write([]byte("x")); err != nil {
				return
			}
		}
	}()
	begun := time.Now()
	if status, _ := exchange(tcp, ""); status != 504 || time.Since(begun) > 400*time.Millisecond {
		t.Errorf("%d after %v", status, time.Since(begun))
	}
	<-ended
}

// Responses that never end are limited in length, and so are interim responses in number.
func TestEndlessResponsesAreLimited(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		h := newManualHost(t)
		gw := start(t, belowQuota)
		gw.sendList(2, h.entry())
		tcp := gw.dial()
		sendText(tcp, invoke("pay", 900, "x"))
		c := h.next(t)
		readRequest(c)
		go func() {
			sendText(c, text)
			more := strings.Repeat("x", 4096)
			if strings.Contains(text, "chunked") {
				more = "1000\r\n" + more + "\r\n"
			}
			for {
				if _, err := io.WriteString(c, more); err != nil {
					return
				}
			}
		}()
		if status, _ := exchange(tcp, ""); status != 502 {
			t.Errorf("%.60q: %d", text, status)
		}
		gw.waitFor(func() bool { return gw.pool.open == 0 && gw.pool.buffers.largeInUse.Load() == 0 })
	}
}

// After an invalid response the request may have been executed: a non-idempotent invocation then fails. It is neither throttled nor
// retried.
func TestHostResponsesDetermineStatus(t *testing.T) {
	for text, want := range map[string]int{
		"garbage garbage\r\n\r\n!":                           502,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 9000): 502,
		"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n":   502,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab!":    502, // truncated
		"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n":       502,
		"HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n":       502, // without the field that proves that it never ran
		"!":                                     502, // closed without a response
		"":                                      504,
		"HTTP/1.1 100 Go on\r\n\r\n" + ok("x"):  200,
		"HTTP/1.1 200 OK\r\n\r\nuntil the end!": 200,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe end!": 200,
	} {
		h := newFakeServer(t, func(m *http1.Message, n int) string { return text })
		gw := start(t, belowQuota, h)
		if status, _ := exchange(gw.dial(), invoke("pay", 400, "x")); status != want {
			t.Errorf("%.50q: %d, want %d", text, status, want)
		}
		h.nextRequest(t)
		if h.expectNoRequest(t); text != ok("x") && !strings.Contains(text, "Length: 0") && !strings.Contains(text, "100 Go") {
			<-h.Disconnects // a connection with an invalid response is not reused
		}
	}
}

func TestAttemptsThatNeverRanAreRetried(t *testing.T) {
	declined := newFakeServer(t, func(m *http1.Message, n int) string {
		return "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	})
	refusing := newFakeServer(t, nil)
	refusing.Close()
	good := newFakeServer(t, func(m *http1.Message, n int) string { return ok("served") })
	gw := start(t, belowQuota, refusing, declined, good)
	for i := range 6 {
		if status, body := exchange(gw.dial(), invoke("pay", 900, "x")); status != 200 || body != "served" {
			t.Fatalf("invocation %d: %d %q", i, status, body)
		}
	}
}

// A host closes an idle connection or sends unsolicited bytes on it. The next delivery must not use that connection, as it could
// not be retried.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	for _, after := range []string{"!", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n?"} {
		h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") + after })
		gw := start(t, belowQuota, h)
		tcp := gw.dial()
		for i := range 3 {
			if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
				t.Fatalf("invocation %d after %.9q: status %d", i, after, status)
			}
			<-h.Disconnects
			gw.waitFor(func() bool { return len(gw.pool.byID["h0"].idle) == 0 })
		}
	}
}

func TestClientDisconnectEndsItsDelivery(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return "" })
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
	sendText(tcp, invoke("pay", 900, "x"))
	h.nextRequest(t)
	tcp.Close()
	<-h.Disconnects
	gw.waitFor(func() bool { return len(gw.loop.invocations) == 0 && len(gw.loop.timeouts) == 0 })
}

func TestWaitingDeliveryIsCancelledWhenHostDrains(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	gw := start(t, belowQuota, h)
	gw.waitFor(func() bool {
		x := gw.pool.byID["h0"]
		in := &invocation{}
		d := &delivery{invocation: in, host: x, index: 0}
		gw.loop.timeouts, x.waiting = deliveryQueue{d}, []*delivery{d}
		gw.pool.UpdateHost("h0", x.addr, false)
		good := len(x.waiting) == 0 && len(gw.loop.endedDeliveries) == 1 && d.outcome == 'C'
		gw.loop.endedDeliveries, gw.loop.timeouts = nil, nil
		return good
	})
	if status, _ := exchange(gw.dial(), invoke("look", 300, "")); status != 429 {
		t.Fatalf("status %d without an active host", status)
	}
	h.expectNoRequest(t)
}

// A delivery may be cancelled while its response is in the queue. The connection, already closed by the cancellation, was reused.
func TestAbandonedConnectionIsNotReused(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	if status, _ := exchange(gw.dial(), invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	gw.waitFor(func() bool {
		h := gw.pool.byID["h0"]
		if len(h.idle) != 1 {
			return false
		}
		c := h.idle[0]
		h.idle = nil
		c.abandon() // as cancel does, before the event loop processes the response
		c.deliveryEnded()
		if len(h.idle) > 0 {
			t.Error("the connection is idle again")
		}
		return true
	})
}

func TestHostsThatLeftAreDeleted(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	exchange(gw.dial(), invoke("look", 900, ""))
	for i := range 50 {
		gw.discoveryLines <- fmt.Sprintf(`{"version":%d,"servers":[%s,%s]}`, i, entry(fmt.Sprint("h", i), "127.0.0.1:9", "Gone"),
			entry(fmt.Sprint("h", i+1), "127.0.0.1:9", "Ready"))
	}
	gw.waitFor(func() bool { return gw.pool.byID["h50"] != nil && len(gw.pool.byID) == 1 && len(gw.pool.inOrder) == 1 })
}

// Bytes after a response may have arrived without being read when the next request is dispatched. They are not its response, and
// the request is sent on another connection.
func TestUnreadBytesAreNotTheNextResponse(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	gw := start(t, belowQuota, h)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	defer l.Close()
	tcp, _ := net.Dial("tcp", l.Addr().String())
	behind, _ := l.Accept()
	defer behind.Close()
	sendText(behind, ok("a second copy"))
	for receiveBufferEmpty(tcp) { // until the bytes have arrived
	}
	gw.waitFor(func() bool { // idle, and its reader has not seen the bytes yet
		x := gw.pool.byID["h0"]
		raw, _ := rawConnOf(tcp)
		c := &hostConn{pool: gw.pool, host: x, addr: x.addr, tcp: tcp, raw: raw, requests: make(chan *Buffer, 2)}
		gw.pool.open++
		x.idle = append(x.idle, c)
		go func() {
			c.writeLoop()
			c.readLoop()
		}()
		return true
	})
	if status, body := exchange(gw.dial(), invoke("pay", 900, "y")); status != 200 || body != "x" {
		t.Fatalf("%d %q", status, body)
	}
}

// A body without a length ends with the close of its connection, but not with a reset.
func TestTruncatedBodyIsNotForwarded(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return "HTTP/1.1 200 OK\r\n\r\nhalf of" })
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
	sendText(tcp, invoke("pay", 900, "x"))
	h.nextRequest(t)
	gw.waitFor(func() bool { // the read fails with an error, as after a reset
		for in := range gw.loop.invocations {
			if c := gw.loop.invocations[in].delivery.conn; c != nil {
				_ = c.tcp.(*net.TCPConn).SetReadDeadline(pastDeadline)
				return true
			}
		}
		return false
	})
	if status, body := exchange(tcp, ""); status == 200 {
		t.Fatalf("a truncated response was forwarded: %q", body)
	}
}
