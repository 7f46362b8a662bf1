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

// only is the one connection of a client that there is.
func (w *testGateway) onlyConnection() *clientConn {
	w.t.Helper()
	var c *clientConn
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		all := w.clients.connections()
		if len(all) == 1 {
			return all[0]
		}
		c = nil
	}
	w.t.Fatal("there is not one connection")
	return c
}

// resting waits until a connection has been answered on and rests.
func (w *testGateway) waitIdle(c *clientConn) {
	w.t.Helper()
	w.wait(func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.state.isIdle(time.Now())
	})
}

// unread says that bytes stand in the system.
func hasUnread(c *clientConn) bool { return !nothingUnread(c.tcp) }

// end reads to the end of a connection; a reset is none.
func readToEnd(t *testing.T, tcp net.Conn) (rest string) {
	t.Helper()
	b, err := io.ReadAll(tcp)
	if err != nil {
		t.Errorf("no clean end: %v", err)
	}
	return string(b)
}

// A client sent a second request behind the one in hand and left: nobody was reading, so both were sent on.
func TestAClientThatPipelinesAndLeavesIsSeenToLeave(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return "" })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	io.WriteString(tcp, invoke("pay", 900, "a")+invoke("pay", 900, "b"))
	h.nextRequest(t)
	tcp.Close()
	begun := time.Now()
	<-h.Disconnects
	if took := time.Since(begun); took > 300*time.Millisecond {
		t.Errorf("its delivery went on for %v", took)
	}
	w.wait(func() bool { return len(w.loop.invocations) == 0 && len(w.loop.timeouts) == 0 })
	h.noRequest(t)
}

// The same with more behind it than is kept: what is whole of that is served in turn, the rest dropped, and the client,
// which reads that the connection ends, knows it has to send the rest anew. Its leaving is seen all the same.
func TestMoreBehindARequestThanIsKept(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-release
		}
		return ok(fmt.Sprint(n))
	})
	w := start(t, plentyOfQuota, h)
	crowd := func() (text string, n int) {
		for ; len(text) < 3*http1.MaxMessageBytes; n++ {
			text += invoke("pay", 5000, strings.Repeat("x", 20<<10))
		}
		return text, n
	}
	t.Run("stays", func(t *testing.T) {
		tcp := w.dial()
		text, n := crowd()
		go io.WriteString(tcp, text)
		h.nextRequest(t)
		c := w.onlyConnection()
		w.wait(func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.state.overflowed && c.drainedBytes > http1.MaxMessageBytes
		})
		close(release)
		answers, last := 0, false
		messages(tcp, true, func(m *http1.Message) bool {
			answers++
			last = m.Close
			return !m.Close
		})
		if answers < 3 || answers >= n || !last {
			t.Errorf("%d of %d answered, the last said so: %v", answers, n, last)
		}
		if rest := readToEnd(t, tcp); rest != "" {
			t.Errorf("after the last answer came %.40q", rest)
		}
		for len(h.Requests) > 0 {
			<-h.Requests
			answers--
		}
		if answers != 1 { // the first was seen above
			t.Errorf("the host got %d more than were answered", 1-answers)
		}
	})
	t.Run("leaves", func(t *testing.T) {
		silent := newFakeServer(t, func(m *http1.Message, n int) string { return "" })
		w := start(t, plentyOfQuota, silent)
		tcp := w.dial()
		text, _ := crowd()
		io.WriteString(tcp, text)
		silent.nextRequest(t)
		tcp.Close()
		w.wait(func() bool { return len(w.loop.invocations) == 0 })
		silent.noRequest(t)
	})
}

// A request that stands unread when its resting connection is to be closed is served.
func TestARequestThatCameBeforeTheCloseIsServed(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	k := &connHook{}
	w := gatewaySetup{counter: plentyOfQuota, hosts: []*fakeServer{h}, listener: k.listener}.start(t)
	tcp := w.dial()
	if status, _ := exchange(tcp, invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	c, late := w.onlyConnection(), make(chan bool)
	w.waitIdle(c)
	k.on("read", func() { // woken by the bytes, it has not read them
		if c.closeIdle(time.Now().Add(newConnGrace), lingerTimeout) {
			t.Error("closed with a request unread")
		}
		close(late)
	})
	io.WriteString(tcp, invoke("look", 900, ""))
	<-late
	if status, _ := exchange(tcp, ""); status != 200 {
		t.Fatalf("got %d", status)
	}
}

// One that comes after the last look is not taken: its client reads a clean end and may send it anew.
func TestARequestThatComesAfterTheCloseIsNotTaken(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	k := &connHook{}
	w := gatewaySetup{counter: plentyOfQuota, hosts: []*fakeServer{h}, listener: k.listener}.start(t)
	tcp := w.dial()
	if status, _ := exchange(tcp, invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	h.nextRequest(t)
	c := w.onlyConnection()
	w.waitIdle(c)
	k.on("shut", func() { // decided, not yet done
		io.WriteString(tcp, invoke("pay", 900, "x"))
		for !hasUnread(c) {
		}
	})
	if !c.closeIdle(time.Now().Add(newConnGrace), lingerTimeout) {
		t.Fatal("it is not closed")
	}
	if rest := readToEnd(t, tcp); rest != "" {
		t.Fatalf("answered after the end: %q", rest)
	}
	tcp.Close()
	w.wait(func() bool { return w.connections() == 0 && len(w.loop.invocations) == 0 })
	h.noRequest(t)
}

// The last answer is lost with the reset that a close over unread bytes is: its client has sent more behind the request,
// and comes to read only after the connection is closed.
func TestTheLastAnswerIsReadWhateverStandsBehindIt(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(strings.Repeat("x", 60<<10)) })
	k := &connHook{}
	w := gatewaySetup{counter: plentyOfQuota, hosts: []*fakeServer{h}, listener: k.listener}.start(t)
	tcp, sent := w.dial(), make(chan bool)
	c, more := w.onlyConnection(), strings.Repeat("nobody takes this\r\n", 100)
	k.on("shut", func() {
		go func() {
			time.Sleep(lingerTimeout / 4)
			io.WriteString(tcp, more)
			close(sent)
		}()
	})
	k.on("close", func() {
		if c.mu.Lock(); c.drainedBytes < len(more) {
			t.Errorf("closed with %d of %d bytes read", c.drainedBytes, len(more))
		}
		c.mu.Unlock()
	})
	io.WriteString(tcp, strings.Replace(invoke("look", 900, ""), "Host: app", "Connection: close", 1))
	w.wait(func() bool { return w.connections() == 0 })
	<-sent
	status, body := exchange(tcp, "")
	if status != 200 || len(body) != 60<<10 {
		t.Fatalf("%d with %d bytes", status, len(body))
	}
	readToEnd(t, tcp)
	h.nextRequest(t)
	h.noRequest(t)
}

// The client reads the end at once, before the time in which it may still send is over.
func TestTheEndIsToldBeforeTheConnectionIsClosed(t *testing.T) {
	k := &connHook{}
	w := gatewaySetup{counter: plentyOfQuota, listener: k.listener}.start(t)
	tcp, read := w.dial(), make(chan bool)
	k.on("close", func() {
		select {
		case <-read:
		case <-time.After(2 * time.Second):
			t.Error("closed, and no end was told")
		}
	})
	io.WriteString(tcp, "nonsense\r\n\r\n")
	if status, _ := exchange(tcp, ""); status != 400 {
		t.Fatalf("got %d", status)
	}
	readToEnd(t, tcp)
	close(read)
}

// The call to end finds a request in hand and a further one behind it: both are answered, the last one says so.
func TestWhatHasComeByTheCallToEndIsServed(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-release
		}
		return ok(fmt.Sprint(n))
	})
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	io.WriteString(tcp, invoke("pay", 3000, "a")+invoke("pay", 3000, "b"))
	h.nextRequest(t)
	done := make(chan bool)
	go func() { w.clients.Shutdown(3 * time.Second); close(done) }()
	w.wait(func() bool { return w.clients.shuttingDown.Load() })
	close(release)
	var got []string
	messages(tcp, true, func(m *http1.Message) bool {
		got = append(got, fmt.Sprint(string(m.Body), m.Close))
		return len(got) < 2
	})
	if strings.Join(got, " ") != "1false 2true" {
		t.Fatalf("got %q", got)
	}
	readToEnd(t, tcp)
	<-done
}

// A client that always has a further request on its way does not hold up the end.
func TestAClientThatNeverStopsAskingDoesNotHoldUpTheEnd(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	for range 30 { // always more than the api gateway has answered
		io.WriteString(tcp, invoke("look", 900, ""))
	}
	begun, done := time.Now(), make(chan bool)
	go func() { w.clients.Shutdown(2 * time.Second); close(done) }()
	messages(tcp, true, func(m *http1.Message) bool {
		io.WriteString(tcp, invoke("look", 900, ""))
		return !m.Close
	})
	if took := time.Since(begun); took > lateAcceptPeriod+1500*time.Millisecond {
		t.Errorf("the last answer came after %v", took)
	}
	<-done
}

// A connection that the system has given, but the program does not know of yet, as the listener is closed.
func TestAConnectionAcceptedAsTheListenerClosesIsServed(t *testing.T) {
	release := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		<-release
		return ok("x")
	})
	k := &connHook{}
	w := gatewaySetup{counter: plentyOfQuota, hosts: []*fakeServer{h}, listener: k.listener}.start(t)
	closing, accepted := make(chan bool), make(chan bool)
	k.on("accepted", func() { close(accepted); <-closing })
	k.on("unlisten", func() { close(closing) })
	tcp := w.dial()
	<-accepted
	done := make(chan bool)
	go func() { w.clients.Shutdown(3 * time.Second); close(done) }()
	<-closing
	io.WriteString(tcp, invoke("pay", 900, "x"))
	h.nextRequest(t)
	select {
	case <-done:
		t.Error("the end has come with an answer owed")
	default:
	}
	close(release)
	if status, _ := exchange(tcp, ""); status != 200 {
		t.Fatalf("got %d", status)
	}
	readToEnd(t, tcp)
	<-done
}

// One that has been accepted and has said nothing yet when the end is called for.
func TestAConnectionJustAcceptedMaySpeakAfterTheCallToEnd(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, plentyOfQuota, h)
	done := make(chan bool)
	go func() { w.clients.Shutdown(3 * time.Second); close(done) }()
	w.wait(func() bool { return w.clients.shuttingDown.Load() })
	tcp := w.dial()
	w.onlyConnection()
	time.Sleep(newConnGrace / 2)
	if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
		t.Fatalf("got %d", status)
	}
	<-done
}

// A request comes byte by byte, one that never comes to its end too.
func TestRequestsInPieces(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(string(m.Body)) })
	w := start(t, plentyOfQuota, h)
	w.clients.requestTimeout = 2 * time.Second
	tcp := w.dial()
	for _, b := range []byte(invoke("pay", 900, "in pieces")) {
		tcp.Write([]byte{b})
	}
	if status, body := exchange(tcp, ""); status != 200 || body != "in pieces" {
		t.Fatalf("%d %q", status, body)
	}
	text := strings.Replace(invoke("pay", 900, ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) +
		"3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: x\r\n\r\n"
	for i := range text {
		whole := strings.Replace(text, "Req-Id: ", fmt.Sprintf("Req-Id: %04x", i), 1)
		at := i * len(whole) / len(text)
		io.WriteString(tcp, whole[:at])
		io.WriteString(tcp, whole[at:])
		if status, body := exchange(tcp, ""); status != 200 || body != "abcd" {
			t.Fatalf("cut at %d: %d %q", at, status, body)
		}
		<-h.Requests
	}
}

func TestATricklingRequestIsCutOff(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
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
	if took := time.Since(begun); took > w.clients.requestTimeout+4*reapInterval {
		t.Fatalf("it took %v", took)
	}
	h.noRequest(t)
}

// A flood of requests that can't be read, of those that are turned away, and of bytes that nobody asked for.
func TestAFloodEndsAtItsBound(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	for _, text := range []string{"nonsense\r\n\r\n", "GET /_health HTTP/1.1\r\n\r\n", invoke("look", 900, "")} {
		tcp := w.dial()
		go func() {
			for {
				if _, err := io.WriteString(tcp, text); err != nil {
					return
				}
			}
		}()
		go io.Copy(io.Discard, tcp)
		c := w.onlyConnection()
		w.wait(func() bool { return w.connections() == 0 })
		if c.drainedBytes > maxLingerBytes+http1.MaxMessageBytes {
			t.Errorf("%d bytes were read for nothing", c.drainedBytes)
		}
		tcp.Close()
	}
	w.wait(func() bool { return len(w.loop.invocations) == 0 && w.clients.buffers.largeInUse.Load() == 0 })
}

// A request that waited behind another counts its time from when it came: later, its client has given up.
func TestTimeCountsWhileARequestWaitsForTheOneBefore(t *testing.T) {
	const first = 400
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			time.Sleep(first * time.Millisecond)
		}
		for _, f := range m.Fields {
			if string(f.Name) == "Req-Deadline-Ms" {
				return ok(string(f.Value))
			}
		}
		return ok("none")
	})
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	io.WriteString(tcp, invoke("pay", 900, "")+invoke("pay", 900, ""))
	var told []int
	messages(tcp, true, func(m *http1.Message) bool {
		var ms int
		fmt.Sscan(string(m.Body), &ms)
		told = append(told, ms)
		return len(told) < 2
	})
	if len(told) < 2 || told[0] < 800 || told[1] > 900-first {
		t.Fatalf("told %v", told)
	}
}

// What lies behind another in the queue is judged by its own time.
func TestTimeGoesOnWithinABatchOfTheQueue(t *testing.T) {
	w := start(t, plentyOfQuota)
	var a, b float64
	done := make(chan bool)
	w.loop.post(t.Context(), func() {
		w.loop.queue <- func() { b = w.loop.now; close(done) }
		a = w.loop.now
		time.Sleep(50 * time.Millisecond)
	})
	<-done
	if b-a < 0.05 {
		t.Fatalf("%.3f s passed", b-a)
	}
}
