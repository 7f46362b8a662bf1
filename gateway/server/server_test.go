package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterseam/gateway/http1"
	"otterseam/gateway/membership"
	"otterseam/gateway/policy"
)

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("body of " + string(m.Method)) })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	for _, x := range []struct{ operation, body, seen, answer string }{
		{"look", "", "GET /look/1?x=2 ", "body of GET"}, {"pay", "amount", "POST /pay/1?x=2 amount", "body of POST"},
	} {
		if status, body := exchange(tcp, invoke(x.operation, 900, x.body)); status != 200 || body != x.answer {
			t.Fatalf("%s: %d %q", x.operation, status, body)
		}
		if got := h.nextRequest(t); got != x.seen {
			t.Fatalf("the host got %q", got)
		}
	}
	if status, _ := exchange(tcp, "GET /_health HTTP/1.1\r\n\r\n"); status != 200 {
		t.Fatalf("health: %d", status)
	}
}

func TestBadRequestsAreAnsweredAndNothingIsSent(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("") })
	w := start(t, plentyOfQuota, h)
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
		tcp := w.dial()
		if status, _ := exchange(tcp, text); status != want || !closed(tcp) {
			t.Errorf("%.60q: %d, want %d and the connection closed", text, status, want)
		}
	}
	h.noRequest(t)
	if n := w.log.count("request refused"); n < 1 || n > 2*peerErrorsPerSecond { // some of them: a flood must not become one of lines
		t.Errorf("%d lines say that a request was refused", n)
	}
}

func TestHalfARequestIsNotWaitedForWithoutEnd(t *testing.T) {
	w := start(t, plentyOfQuota)
	tcp := w.dial()
	if status, _ := exchange(tcp, "POST /pay HTTP/1.1\r\nReq-"); status != 0 {
		t.Fatalf("answered %d", status)
	}
}

func TestSecondRequestWaitsForTheFirst(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok(fmt.Sprint(n)) })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	var got []string
	tcp.Write([]byte(invoke("pay", 900, "a") + invoke("pay", 900, "b")))
	messages(tcp, true, func(m *http1.Message) bool {
		got = append(got, string(m.Body))
		return len(got) < 2
	})
	if strings.Join(got, " ") != "1 2" {
		t.Fatalf("got %q", got)
	}
	if a, b := h.nextRequest(t), h.nextRequest(t); a != "POST /pay/1?x=2 a" || b != "POST /pay/1?x=2 b" {
		t.Fatalf("the host got %q, %q", a, b)
	}
}

// A host's odd answers may have run: a non-idempotent invocation is errored, not throttled, and not sent again.
func TestOddAnswersOfHosts(t *testing.T) {
	for text, want := range map[string]int{
		"garbage garbage\r\n\r\n!":                           502,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 9000): 502,
		"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n":   502,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab!":    502, // cut short
		"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n":       502,
		"HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n":       502, // without the sign that it never ran
		"!":                                     502, // ended unanswered
		"":                                      504,
		"HTTP/1.1 100 Go on\r\n\r\n" + ok("x"):  200,
		"HTTP/1.1 200 OK\r\n\r\nuntil the end!": 200,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe end!": 200,
	} {
		h := newFakeServer(t, func(m *http1.Message, n int) string { return text })
		w := start(t, plentyOfQuota, h)
		if status, _ := exchange(w.dial(), invoke("pay", 400, "x")); status != want {
			t.Errorf("%.50q: %d, want %d", text, status, want)
		}
		h.nextRequest(t)
		if h.noRequest(t); text != ok("x") && !strings.Contains(text, "Length: 0") && !strings.Contains(text, "100 Go") {
			<-h.Disconnects // a connection that held nonsense is not used again
		}
	}
}

func TestWhatNeverRanIsSentElsewhere(t *testing.T) {
	declined := newFakeServer(t, func(m *http1.Message, n int) string {
		return "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	})
	refusing := newFakeServer(t, nil)
	refusing.Close()
	good := newFakeServer(t, func(m *http1.Message, n int) string { return ok("served") })
	w := start(t, plentyOfQuota, refusing, declined, good)
	for i := range 6 {
		if status, body := exchange(w.dial(), invoke("pay", 900, "x")); status != 200 || body != "served" {
			t.Fatalf("invocation %d: %d %q", i, status, body)
		}
	}
}

// A host closes an idle connection, or sends bytes that nobody asked for: neither may meet the next delivery, which
// could not be sent again.
func TestEndedIdleConnectionIsNotUsed(t *testing.T) {
	for _, after := range []string{"!", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n?"} {
		h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") + after })
		w := start(t, plentyOfQuota, h)
		tcp := w.dial()
		for i := range 3 {
			if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
				t.Fatalf("invocation %d after %.9q: %d", i, after, status)
			}
			<-h.Disconnects
			w.wait(func() bool { return len(w.pool.byID["h0"].idle) == 0 })
		}
	}
}

// wait until something is so on the loop.
func (w *testGateway) wait(so func() bool) {
	w.t.Helper()
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		got := make(chan bool)
		w.loop.queue <- func() { got <- so() }
		if <-got {
			return
		}
	}
	w.t.Fatal("it never came to be so")
}

func TestClientGoneEndsItsDelivery(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return "" })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	tcp.Write([]byte(invoke("pay", 900, "x")))
	h.nextRequest(t)
	tcp.Close()
	<-h.Disconnects
	w.wait(func() bool { return len(w.loop.invocations) == 0 && len(w.loop.timeouts) == 0 })
}

func TestDeliveryWaitingForAConnectionIsWithdrawnFromADrainingHost(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, plentyOfQuota, h)
	w.wait(func() bool {
		x := w.pool.byID["h0"]
		in := &invocation{}
		d := &delivery{invocation: in, host: x, index: 0}
		w.loop.timeouts, x.waiting = deliveryQueue{d}, []*delivery{d}
		w.pool.UpdateHost("h0", x.addr, false)
		good := len(x.waiting) == 0 && len(w.loop.endedDeliveries) == 1 && d.outcome == 'C'
		w.loop.endedDeliveries, w.loop.timeouts = nil, nil
		return good
	})
	if status, _ := exchange(w.dial(), invoke("look", 300, "")); status != 429 {
		t.Fatalf("no host is active, got %d", status)
	}
	h.noRequest(t)
}

// A counter that answers nonsense, refuses, is silent or absent: the invocation is decided by share, in time.
func TestOddAnswersOfTheCounter(t *testing.T) {
	for name, counter := range map[string]func(m *http1.Message, n int) string{
		"no number": func(m *http1.Message, n int) string { return ok("many") },
		"infinite":  func(m *http1.Message, n int) string { return ok("Inf") },
		"odd":       func(m *http1.Message, n int) string { return "HTTP/1.1 302 Go\r\nContent-Length: 0\r\n\r\n" },
		"garbage":   func(m *http1.Message, n int) string { return "what?\r\n\r\n" },
		"turned":    func(m *http1.Message, n int) string { return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n" },
		"ended":     func(m *http1.Message, n int) string { return "!" },
		"silent":    func(m *http1.Message, n int) string { return "" },
		"absent":    nil,
	} {
		w := start(t, counter, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
		if status, _ := exchange(w.dial(), invoke("pay", 400, "x")); status != 200 {
			t.Errorf("%s: %d", name, status)
		}
		w.wait(func() bool { return len(w.loop.counter.routes) == 0 })
		if name != "absent" && name != "silent" && name != "ended" && name != "turned" && !w.log.has("answer not used") {
			t.Errorf("%s: the log does not say", name)
		}
	}
}

func TestOverTheQuotaIsThrottled(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, func(m *http1.Message, n int) string { return ok("1e6") }, h)
	tcp := w.dial()
	tcp.Write([]byte(invoke("pay", 900, "x")))
	status, retry := 0, ""
	messages(tcp, true, func(m *http1.Message) bool {
		for _, f := range m.Fields {
			if string(f.Name) == "Retry-After" {
				retry = string(f.Value)
			}
		}
		status = m.Status
		return false
	})
	if status != 429 || retry == "" {
		t.Fatalf("%d, to come back after %q", status, retry)
	}
	h.noRequest(t)
}

// A late call keeps its place in the order of its connection: its answer must not be taken for the next call's.
func TestLateAnswerOfTheCounterChangesNothing(t *testing.T) {
	held := make(chan bool)
	w := start(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-held
			return ok("1e6") // over any quota, but nobody waits for it any more
		}
		return ok("1")
	}, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	tcp := w.dial()
	if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
		t.Fatalf("decided by share: %d", status)
	}
	close(held)
	w.wait(func() bool {
		for _, k := range w.loop.counter.conns {
			k.mu.Lock()
			n := len(k.unanswered)
			k.mu.Unlock()
			if n > 0 {
				return false
			}
		}
		return true
	})
	if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
		t.Fatalf("the next one: %d", status)
	}
}

// Half an answer that no call was made for: what completes it would be the answer to the next call, and that one's to the
// one behind it.
func TestBytesThatNoCallWasMadeForAreNoTotal(t *testing.T) {
	l := newManualHost(t)
	w := start(t, nil)
	w.wait(func() bool { w.counter.UseAddress(l.Addr().String()); return true })
	for range counterConnCount {
		c := l.next(t)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1e")
		if closed(c) {
			c.Close() // as it should
			continue
		}
		t.Error("a connection with half an answer on it stands")
	}
	var madeAnew atomic.Int32
	go func() { // it is made anew, and answers with a word in between
		for {
			select {
			case <-w.clients.ctx.Done():
				return
			case c := <-l.conns:
				madeAnew.Add(1)
				go messages(c, false, func(m *http1.Message) bool {
					io.WriteString(c, "HTTP/1.1 102 Wait\r\n\r\n"+ok("7"))
					return true
				})
			}
		}
	}()
	// The socket of a connection is closed a moment before it stops taking calls; a call put on it in between is told as not made.
	// Once each has been dialed again, the call finds one that stands.
	w.wait(func() bool { return madeAnew.Load() == counterConnCount })
	w.wait(func() bool { return w.counter.pickConn() != nil })
	w.wait(func() bool { w.counter.add(5, 1, 1); return true })
	w.wait(func() bool { return w.counter.newestAnswered > 0 })
	if !w.log.has("no call was made for") {
		t.Error("the log does not say")
	}
}

func TestCallsOnOneNameStayOnOneConnection(t *testing.T) {
	w := start(t, func(m *http1.Message, n int) string { return "" })
	w.wait(func() bool {
		c := w.loop.counter
		for i := range 9 {
			c.add(uint64(i%3), 1, 1)
		}
		orders := map[uint64]int{}
		for at, k := range c.conns {
			for _, x := range k.unanswered {
				orders[x.name] |= 1 << at
			}
		}
		good := len(c.pending) == 9 && orders[0] != 0
		for _, on := range orders {
			good = good && on&(on-1) == 0
		}
		return good
	})
}

func TestDatagramsAreNotTrusted(t *testing.T) {
	friend, _ := net.ListenPacket("udp", "127.0.0.1:0")
	stranger, _ := net.ListenPacket("udp", "127.0.0.1:0")
	defer friend.Close()
	defer stranger.Close()
	p, err := NewPeerSocket(nil, PeerOptions{Listen: "127.0.0.1:0", Addrs: []string{"127.0.0.1:1", friend.LocalAddr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	heard := make(chan string, 10)
	p.received = func(from int, text string) { heard <- fmt.Sprint(from, text) }
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go p.Write(ctx)
	go p.Read(ctx)
	at := p.udp.LocalAddr()
	stranger.WriteTo([]byte("=team 1"), at)
	friend.WriteTo([]byte(strings.Repeat("x", 257)), at)
	friend.WriteTo([]byte("\x00\xff nonsense"), at)
	friend.WriteTo([]byte("+h0"), at)
	if a, b := <-heard, <-heard; a != "1\x00\xff nonsense" || b != "1+h0" {
		t.Fatalf("heard %q, %q", a, b)
	}
	p.send(7, "to nobody")
	p.send(1, "to one")
	p.send(membership.Broadcast, "-h0")
	b := make([]byte, 300)
	friend.SetReadDeadline(time.Now().Add(3 * time.Second))
	for _, want := range []string{"to one", "-h0"} {
		if n, _, _ := friend.ReadFrom(b); string(b[:n]) != want {
			t.Fatalf("the peer got %q", b[:n])
		}
	}
}

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

// The end: what is in hand is answered, connections between requests are closed, new ones still get one answer.
func TestNothingTakenIsLostAtTheEnd(t *testing.T) {
	go1 := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-go1
		}
		return ok("x")
	})
	w := start(t, plentyOfQuota, h)
	busy, idle := w.dial(), w.dial()
	busy.Write([]byte(invoke("pay", 3000, "x")))
	h.nextRequest(t)
	done := make(chan bool)
	go func() { w.clients.Shutdown(3 * time.Second); close(done) }()
	w.wait(func() bool { return w.clients.shuttingDown.Load() })
	if !closed(idle) {
		t.Fatal("an idle connection stays")
	}
	late := w.dial()
	close(go1)
	if status, _ := exchange(late, invoke("pay", 900, "y")); status != 200 || !closed(late) {
		t.Fatalf("a late one: %d", status)
	}
	if status, _ := exchange(busy, ""); status != 200 || !closed(busy) {
		t.Fatalf("the one in hand: %d", status)
	}
	<-done
}

func TestBufferGivenBackTwiceIsNoticed(t *testing.T) {
	p := NewBufferPool(1, 1)
	b := p.Get(false)
	p.Put(b)
	defer func() {
		if recover() == nil {
			t.Fatal("not noticed")
		}
	}()
	p.Put(b)
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
		all[len(all)-1].Write([]byte(invoke("pay", 900, "held")))
	}
	w.wait(func() bool { return len(w.loop.invocations) == len(all) })
	late := w.dial()
	w.wait(func() bool { return w.connections() == w.clients.maxConns })
	time.Sleep(20 * time.Millisecond) // as long as the first request may be on its way
	late.Write([]byte(invoke("pay", 900, "x")))
	close(release)
	for _, tcp := range append(all, late) {
		if status, _ := exchange(tcp, ""); status == 0 {
			t.Fatal("a connection was ended without an answer")
		}
	}
}

// tired is a listener that has no descriptor left for its first calls.
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
	go cs.Accept()
	t.Cleanup(cs.Close)
	if status, _ := exchange(w.dial(), invoke("look", 900, "")); status != 200 || !w.log.has("accept pauses") {
		t.Fatalf("got %d", status)
	}
}

// An answer may be on the queue when its delivery is given up: the connection, already ended, was used again.
func TestConnectionGivenUpIsNotUsedAgain(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	if status, _ := exchange(w.dial(), invoke("look", 900, "")); status != 200 {
		t.Fatalf("got %d", status)
	}
	w.wait(func() bool {
		h := w.pool.byID["h0"]
		if len(h.idle) != 1 {
			return false
		}
		c := h.idle[0]
		h.idle = nil
		c.abandon() // as withdraw does, before the loop hears of the answer
		c.deliveryEnded()
		if len(h.idle) > 0 {
			t.Error("it idles again")
		}
		return true
	})
}

// New addresses of discovery and the counter: the old ones are heard until the new ones stand, and a call that is out
// there is answered there.
func TestNewAddressesTakeOverWithoutAGap(t *testing.T) {
	held := make(chan bool)
	w := start(t, func(m *http1.Message, n int) string {
		<-held
		return ok("1")
	}, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	first := w.discoveryLines
	w.wait(func() bool { w.counter.add(7, 1, 1); return true })
	after := newFakeServer(t, plentyOfQuota)
	w.discoveryLines = make(chan string, 10)
	second := newFakeDiscovery(t)
	go second.speak(w.clients.ctx, w.discoveryLines)
	w.loop.UseAddresses(w.clients.ctx, w.discovery, second.Addr().String(), after.Addr().String())
	first <- `{"version":2,"servers":[` + entry("late", "127.0.0.1:9", "Ready") + `]}`
	w.wait(func() bool { return w.pool.byID["late"] != nil })
	w.discoveryLines <- `{"version":3,"servers":[` + entry("new", "127.0.0.1:9", "Ready") + `]}`
	w.wait(func() bool { return w.pool.byID["new"] != nil })
	w.wait(func() bool { return w.counter.allConnected() })
	w.wait(func() bool { w.counter.add(8, 1, 1); return true })
	if got := after.nextRequest(t); !strings.Contains(got, "/counters/8?") {
		t.Fatalf("the new counter got %s", got)
	}
	w.wait(func() bool { w.counter.closeRetired(); return len(w.counter.retired) == 1 }) // where the call is out
	close(held)
	w.wait(func() bool {
		w.counter.closeRetired()
		return len(w.counter.retired) == 0 && len(w.counter.routes) == 0
	})
	after.noRequest(t)
}

// Connections at rest held a large room each, and stayed for good.
func TestConnectionsAtRestHoldLittleAndEnd(t *testing.T) {
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

func TestLargeRoomsAreBounded(t *testing.T) {
	p := NewBufferPool(4, 1)
	a, b := p.Get(false), p.Get(false)
	if !p.Grow(a, 1) || p.Grow(b, 1) {
		t.Fatal("one large room, and no more, was to be had")
	}
	p.Put(a)
	if !p.Grow(b, 1) {
		t.Fatal("the room given back is not lent again")
	}
}

func TestHostsThatLeftAreForgotten(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	exchange(w.dial(), invoke("look", 900, ""))
	for i := range 50 {
		w.discoveryLines <- fmt.Sprintf(`{"version":%d,"servers":[%s,%s]}`, i, entry(fmt.Sprint("h", i), "127.0.0.1:9", "Gone"),
			entry(fmt.Sprint("h", i+1), "127.0.0.1:9", "Ready"))
	}
	w.wait(func() bool { return w.pool.byID["h50"] != nil && len(w.pool.byID) == 1 && len(w.pool.inOrder) == 1 })
}

// Each answer of the counter that can't be read added its amount: it is not added again, and other calls go on. What
// was let in without a call rides with a later one, so only the sum tells.
func TestSpoiltAnswersOfTheCounterAreAddedOnce(t *testing.T) {
	adds, spoilt := make(chan string, 100), 6
	w := start(t, func(m *http1.Message, n int) string {
		adds <- string(m.Target)
		if spoilt--; spoilt < 0 {
			return ok("1")
		}
		return []string{"junk\r\n\r\n", ok("many")}[n%2]
	}, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	sum := 0
	for i := 1; i <= 200; i++ {
		if status, _ := exchange(w.dial(), invoke("pay", 900, "x")); status != 200 {
			t.Fatalf("invocation %d: %d", i, status)
		}
		w.wait(func() bool { return len(w.counter.routes) == 0 })
		for len(adds) > 0 {
			var name, by int
			got := <-adds
			if _, err := fmt.Sscanf(got, "/counters/%d?by=%d&", &name, &by); err != nil {
				t.Fatalf("%s: %v", got, err)
			}
			if sum += by; sum > i {
				t.Fatalf("%d added for %d invocations", sum, i)
			}
		}
		if i > 20 && sum == i {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%d added for 200 invocations", sum)
}

// Another client's id: sent on, it would be a second copy at a host; the invocation in hand is untouched.
func TestAnIdInHandIsNotTakenAgain(t *testing.T) {
	held := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		<-held
		return ok("x")
	})
	w := start(t, plentyOfQuota, h)
	tcp, text := w.dial(), invoke("pay", 900, "x")
	tcp.Write([]byte(text))
	h.nextRequest(t)
	if status, _ := exchange(w.dial(), text); status != 409 {
		t.Fatalf("the same id while it is out: %d", status)
	}
	close(held)
	if status, _ := exchange(tcp, ""); status != 200 {
		t.Fatalf("the one in hand: %d", status)
	}
	if status, _ := exchange(w.dial(), text); status != 409 {
		t.Fatalf("the same id just after: %d", status)
	}
	h.noRequest(t)
	w.wait(func() bool { // ids are kept for a few seconds only
		for range 2 {
			w.loop.recentRefs.rotatedAt = 0
			w.loop.rotateRefs()
		}
		return len(w.loop.recentRefs.current)+len(w.loop.recentRefs.previous) == 0
	})
}

// Bytes behind an answer may have come and not yet been read when the next request is handed over: they are not its
// answer, and it goes out on another connection.
func TestBytesBehindAnAnswerAreNotTheNextOne(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, plentyOfQuota, h)
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	defer l.Close()
	tcp, _ := net.Dial("tcp", l.Addr().String())
	behind, _ := l.Accept()
	defer behind.Close()
	behind.Write([]byte(ok("a second copy")))
	for nothingUnread(tcp) { // until it has come
	}
	w.wait(func() bool { // at rest, and its reader, late, has not seen the bytes
		x := w.pool.byID["h0"]
		raw, _ := rawConnOf(tcp)
		c := &hostConn{pool: w.pool, host: x, addr: x.addr, tcp: tcp, raw: raw, requests: make(chan *Buffer, 2)}
		w.pool.open++
		x.idle = append(x.idle, c)
		go func() {
			c.writeLoop()
			c.readLoop()
		}()
		return true
	})
	if status, body := exchange(w.dial(), invoke("pay", 900, "y")); status != 200 || body != "x" {
		t.Fatalf("%d %q", status, body)
	}
}

// A body without a length ends with its connection, but not with a reset.
func TestABodyCutShortIsNoAnswer(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return "HTTP/1.1 200 OK\r\n\r\nhalf of" })
	w := start(t, plentyOfQuota, h)
	tcp := w.dial()
	tcp.Write([]byte(invoke("pay", 900, "x")))
	h.nextRequest(t)
	w.wait(func() bool { // as a reset does, the reading ends with an error
		for in := range w.loop.invocations {
			if c := w.loop.invocations[in].delivery.conn; c != nil {
				c.tcp.(*net.TCPConn).SetReadDeadline(expired)
				return true
			}
		}
		return false
	})
	if status, body := exchange(tcp, ""); status == 200 {
		t.Fatalf("half an answer was passed on: %q", body)
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
func TestFewConnectionsAreLeftAtRest(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	for range w.clients.maxConns - 5 {
		if status, _ := exchange(w.dial(), invoke("look", 900, "")); status != 200 {
			t.Fatalf("got %d", status)
		}
	}
	w.wait(func() bool { return w.connections() <= w.clients.maxConns/2+2 })
}

// An unanswered invocation hears so before its client gives up. A busy machine may be late once, never each time.
func TestAnUnansweredInvocationEndsInTime(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return "" }))
	var took time.Duration
	for range 5 {
		tcp, begun := w.dial(), time.Now()
		status, _ := exchange(tcp, invoke("pay", 300, "x"))
		if took = time.Since(begun); status == 504 && took < 300*time.Millisecond {
			return
		}
	}
	t.Fatalf("heard after %v of 300 ms", took)
}

// A connection to the counter that falls silent took all calls on a busy name with it for most of a second; calls made
// later and answered elsewhere show it. A busy machine may answer those too late once, never each time.
func TestASilentCounterConnectionIsEndedWhenOvertaken(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	silent := newFakeServer(t, func(m *http1.Message, n int) string { return "" }).Addr().String()
	overtaken := func() (mute bool) {
		lost := make(chan bool, 1)
		w.loop.post(t.Context(), func() {
			c := w.counter
			c.callTimeout = 0.01
			k := newCounterConn(c, silent)
			c.conns = append(c.conns, k)
			c.group.Go(k.run)
			x := &counterCall{client: c, reported: true, references: 9}
			x.onAnswer = func() {
				k.mu.Lock()
				defer k.mu.Unlock()
				lost <- k.overtaken && x.outcome == policy.Reset
				k.retired = true
			}
			go func() {
				for x.madeAt = c.loop.clock(); !k.enqueue(x, 1, 1); x.madeAt = c.loop.clock() {
					time.Sleep(time.Millisecond)
				}
			}()
		})
		for {
			exchange(w.dial(), invoke("look", 900, ""))
			select {
			case mute = <-lost:
				return mute
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	for range 5 {
		if overtaken() {
			return
		}
	}
	t.Fatal("a silent connection stands until its age alone ends it")
}
