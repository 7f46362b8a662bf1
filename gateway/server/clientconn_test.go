package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"otterseam/gateway/http1"
)

// onlyConnection returns the client connection, and waits until there is exactly one.
func (gw *testGateway) onlyConnection() *clientConn {
	gw.t.Helper()
	var c *clientConn
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		all := gw.clients.connections()
		if len(all) == 1 {
			return all[0]
		}
		c = nil
	}
	gw.t.Fatal("want exactly one client connection")
	return c
}

// waitIdle waits until a connection is idle after a response.
func (gw *testGateway) waitIdle(c *clientConn) {
	gw.t.Helper()
	gw.waitFor(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.state.isIdle(time.Now())
	})
}

// hasUnread reports whether a connection has unread bytes.
func hasUnread(c *clientConn) bool { return !receiveBufferEmpty(c.tcp) }

// readToEnd reads until EOF. A reset fails the test.
func readToEnd(t *testing.T, tcp net.Conn) (rest string) {
	t.Helper()
	b, err := io.ReadAll(tcp)
	if err != nil {
		t.Errorf("no clean EOF: %v", err)
	}
	return string(b)
}

// A client pipelines a second request and disconnects. The disconnect was not detected because nothing was reading, so both
// requests were sent to hosts.
func TestDisconnectOfPipeliningClientIsDetected(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return "" })
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
	sendText(tcp, invoke("pay", 900, "a")+invoke("pay", 900, "b"))
	h.nextRequest(t)
	tcp.Close()
	begun := time.Now()
	<-h.Disconnects
	if took := time.Since(begun); took > 300*time.Millisecond {
		t.Errorf("its delivery continued for %v", took)
	}
	gw.waitFor(func() bool { return len(gw.loop.invocations) == 0 && len(gw.loop.timeouts) == 0 })
	h.expectNoRequest(t)
}

// The same with more pipelined input than is kept. The complete requests in the kept input are served in order, the rest is
// discarded. The client reads EOF and thereby knows that it must resend the rest. Its disconnect is still detected.
func TestExcessPipelinedInputIsDiscarded(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-release
		}
		return ok(fmt.Sprint(n))
	})
	gw := start(t, belowQuota, h)
	pipelined := func() (text string, n int) {
		for ; len(text) < 3*http1.MaxMessageBytes; n++ {
			text += invoke("pay", 5000, strings.Repeat("x", 20<<10))
		}
		return text, n
	}
	t.Run("stays", func(t *testing.T) {
		tcp := gw.dial()
		text, n := pipelined()
		go sendText(tcp, text)
		h.nextRequest(t)
		c := gw.onlyConnection()
		gw.waitFor(func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.state.overflowed && c.drainedBytes > http1.MaxMessageBytes
		})
		close(release)
		answers, last := 0, false
		readMessages(tcp, true, func(m *http1.Message) bool {
			answers++
			last = m.Close
			return !m.Close
		})
		if answers < 3 || answers >= n || !last {
			t.Errorf("%d of %d requests served, close announced: %v", answers, n, last)
		}
		if rest := readToEnd(t, tcp); rest != "" {
			t.Errorf("received %.40q after the last response", rest)
		}
		for len(h.Requests) > 0 {
			<-h.Requests
			answers--
		}
		if answers != 1 { // the first was read above
			t.Errorf("the host received %d more requests than were served", 1-answers)
		}
	})
	t.Run("leaves", func(t *testing.T) {
		silent := newFakeServer(t, func(m *http1.Message, n int) string { return "" })
		gw := start(t, belowQuota, silent)
		tcp := gw.dial()
		text, _ := pipelined()
		sendText(tcp, text)
		silent.nextRequest(t)
		tcp.Close()
		gw.waitFor(func() bool { return len(gw.loop.invocations) == 0 })
		silent.expectNoRequest(t)
	})
}

// A request that is unread when its idle connection is about to be closed is served.
func TestRequestBeforeIdleCloseIsServed(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	hook := &connHook{}
	gw := gatewaySetup{counter: belowQuota, hosts: []*fakeServer{h}, listener: hook.listener}.start(t)
	tcp := gw.dial()
	if status, _ := exchange(tcp, invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	c, late := gw.onlyConnection(), make(chan bool)
	gw.waitIdle(c)
	hook.on("read", func() { // the reader was woken by the bytes but has not read them
		if c.closeIdle(time.Now().Add(newConnGrace), lingerTimeout) {
			t.Error("closed with an unread request")
		}
		close(late)
	})
	sendText(tcp, invoke("look", 900, ""))
	<-late
	if status, _ := exchange(tcp, ""); status != 200 {
		t.Fatalf("got %d", status)
	}
}

// A request that arrives after the last check is not processed. Its client reads a clean EOF and may resend it.
func TestRequestAfterIdleCloseIsNotProcessed(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	hook := &connHook{}
	gw := gatewaySetup{counter: belowQuota, hosts: []*fakeServer{h}, listener: hook.listener}.start(t)
	tcp := gw.dial()
	if status, _ := exchange(tcp, invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	h.nextRequest(t)
	c := gw.onlyConnection()
	gw.waitIdle(c)
	hook.on("shut", func() { // decided but not yet done
		sendText(tcp, invoke("pay", 900, "x"))
		for !hasUnread(c) {
		}
	})
	if !c.closeIdle(time.Now().Add(newConnGrace), lingerTimeout) {
		t.Fatal("the connection was not closed")
	}
	if rest := readToEnd(t, tcp); rest != "" {
		t.Fatalf("response after the close: %q", rest)
	}
	tcp.Close()
	gw.waitFor(func() bool { return gw.connections() == 0 && len(gw.loop.invocations) == 0 })
	h.expectNoRequest(t)
}

// Closing a connection with unread bytes resets it, and the last response can be lost. Here the client sends more input after the
// request, and reads only after the connection is closed.
func TestLastResponseSurvivesTrailingInput(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(strings.Repeat("x", 60<<10)) })
	hook := &connHook{}
	gw := gatewaySetup{counter: belowQuota, hosts: []*fakeServer{h}, listener: hook.listener}.start(t)
	tcp, sent := gw.dial(), make(chan bool)
	c, more := gw.onlyConnection(), strings.Repeat("nobody takes this\r\n", 100)
	hook.on("shut", func() {
		go func() {
			time.Sleep(lingerTimeout / 4)
			sendText(tcp, more)
			close(sent)
		}()
	})
	hook.on("close", func() {
		if c.mu.Lock(); c.drainedBytes < len(more) {
			t.Errorf("closed with %d of %d bytes read", c.drainedBytes, len(more))
		}
		c.mu.Unlock()
	})
	sendText(tcp, strings.Replace(invoke("look", 900, ""), "Host: app", "Connection: close", 1))
	gw.waitFor(func() bool { return gw.connections() == 0 })
	<-sent
	status, body := exchange(tcp, "")
	if status != 200 || len(body) != 60<<10 {
		t.Fatalf("%d with %d bytes", status, len(body))
	}
	readToEnd(t, tcp)
	h.nextRequest(t)
	h.expectNoRequest(t)
}

// The client reads EOF at once, before the time in which it may still send is over.
func TestWriteSideClosesBeforeConnection(t *testing.T) {
	hook := &connHook{}
	gw := gatewaySetup{counter: belowQuota, listener: hook.listener}.start(t)
	tcp, read := gw.dial(), make(chan bool)
	hook.on("close", func() {
		select {
		case <-read:
		case <-time.After(2 * time.Second):
			t.Error("closed before the client could read EOF")
		}
	})
	sendText(tcp, "nonsense\r\n\r\n")
	if status, _ := exchange(tcp, ""); status != 400 {
		t.Fatalf("got %d", status)
	}
	readToEnd(t, tcp)
	close(read)
}

// Requests that arrive in pieces are served, wherever they are cut.
func TestFragmentedRequestsAreServed(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(string(m.Body)) })
	gw := start(t, belowQuota, h)
	gw.clients.requestTimeout = 2 * time.Second
	tcp := gw.dial()
	for _, b := range []byte(invoke("pay", 900, "in pieces")) {
		_, _ = tcp.Write([]byte{b})
	}
	if status, body := exchange(tcp, ""); status != 200 || body != "in pieces" {
		t.Fatalf("%d %q", status, body)
	}
	text := strings.Replace(invoke("pay", 900, ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) +
		"3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: x\r\n\r\n"
	for i := range text {
		whole := strings.Replace(text, "Req-Id: ", fmt.Sprintf("Req-Id: %04x", i), 1)
		at := i * len(whole) / len(text)
		sendText(tcp, whole[:at])
		sendText(tcp, whole[at:])
		if status, body := exchange(tcp, ""); status != 200 || body != "abcd" {
			t.Fatalf("cut at %d: status %d %q", at, status, body)
		}
		<-h.Requests
	}
}

func TestSlowRequestTimesOut(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
	stop := make(chan bool)
	defer close(stop)
	go func() {
		for text := invoke("pay", 900, "") + strings.Repeat(" ", 1<<20); ; text = text[1:] {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				if _, err := tcp.Write([]byte{text[0]}); err != nil {
					return
				}
			}
		}
	}()
	begun := time.Now()
	readToEnd(t, tcp)
	if took := time.Since(begun); took > gw.clients.requestTimeout+4*reapInterval {
		t.Fatalf("closed after %v", took)
	}
	h.expectNoRequest(t)
}

// Floods of invalid requests, health checks and valid requests, sent without waiting for responses, end at the limits.
func TestRequestFloodIsLimited(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	for _, text := range []string{"nonsense\r\n\r\n", "GET /_health HTTP/1.1\r\n\r\n", invoke("look", 900, "")} {
		tcp := gw.dial()
		go func() {
			for {
				if _, err := io.WriteString(tcp, text); err != nil {
					return
				}
			}
		}()
		go func() { _, _ = io.Copy(io.Discard, tcp) }()
		c := gw.onlyConnection()
		gw.waitFor(func() bool { return gw.connections() == 0 })
		if c.drainedBytes > maxLingerBytes+http1.MaxMessageBytes {
			t.Errorf("%d bytes were read and discarded", c.drainedBytes)
		}
		tcp.Close()
	}
	gw.waitFor(func() bool { return len(gw.loop.invocations) == 0 && gw.clients.buffers.largeInUse.Load() == 0 })
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("") })
	gw := start(t, belowQuota, h)
	good := invoke("pay", 900, "x")
	for text, want := range map[string]int{
		"nonsense\r\n\r\n": 400,
		strings.Replace(good, "Content-Length: 1", "Content-Length: x", 1):                               400,
		strings.Replace(good, "Content-Length: 1", "Content-Length: 1\r\nTransfer-Encoding: chunked", 1): 400,
		strings.Replace(good, "Content-Length: 1", "Transfer-Encoding: chunked", 1) + "\r\n":             400,
		strings.Replace(good, "Host: app", "A: "+strings.Repeat("x", 9000), 1):                           431,
		strings.Replace(good, "Content-Length: 1", "Content-Length: 70000", 1):                           413,
		strings.ReplaceAll(good, "pay", "steal"):                                                         400,
		strings.Replace(good, "POST", "GET", 1):                                                          400,
		strings.Replace(good, "Req-Id", "A", 1):                                                          400,
		strings.Replace(good, "Req-Deadline-Ms: 900", "Req-Deadline-Ms: soon", 1):                        400,
		strings.Replace(good, "units=1", "units=-1", 1):                                                  400,
		strings.Replace(good, "units=1", "units=9", 1):                                                   400,
		strings.Replace(good, "units=1", "units=0x1", 1):                                                 400,
		strings.Replace(good, "spread=1", "spread=2", 1):                                                 400,
		strings.Replace(good, "first=0", "first=1", 1):                                                   400,
		strings.Replace(good, "X-Tier: team", "X-Tier: crowd", 1):                                        400,
		strings.Replace(good, "Host: app", "Req-Id: 2", 1):                                               400,
		strings.Replace(good, "Host: app", "X-Call-Terms: units=2,spread=1,first=0", 1):                  400,
		strings.Replace(good, "POST /pay", "POST pay", 1):                                                400,
	} {
		tcp := gw.dial()
		if status, _ := exchange(tcp, text); status != want || !closed(tcp) {
			t.Errorf("%.60q: %d, want %d and the connection closed", text, status, want)
		}
	}
	h.expectNoRequest(t)
	if n := gw.log.count("request refused"); n < 1 || n > 2*protocolErrorLogsPerSecond { // only some of them, as a flood of requests must not flood the log
		t.Errorf("%d log lines about refused requests", n)
	}
}

func TestIncompleteRequestTimesOut(t *testing.T) {
	gw := start(t, belowQuota)
	tcp := gw.dial()
	if status, _ := exchange(tcp, "POST /pay HTTP/1.1\r\nReq-"); status != 0 {
		t.Fatalf("status %d", status)
	}
}

func TestPipelinedRequestsAreSerialized(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(fmt.Sprint(n)) })
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
	var got []string
	sendText(tcp, invoke("pay", 900, "a")+invoke("pay", 900, "b"))
	readMessages(tcp, true, func(m *http1.Message) bool {
		got = append(got, string(m.Body))
		return len(got) < 2
	})
	if strings.Join(got, " ") != "1 2" {
		t.Fatalf("got %q", got)
	}
	if a, b := h.nextRequest(t), h.nextRequest(t); a != "POST /pay/1?x=2 a" || b != "POST /pay/1?x=2 b" {
		t.Fatalf("the host received %q, %q", a, b)
	}
}
