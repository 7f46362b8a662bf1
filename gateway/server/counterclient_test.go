package server

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
)

// If the counter sends invalid replies, refuses calls, does not reply or is absent, the invocation is decided in time by the local
// share of the quota.
func TestInvalidCounterRepliesFallBackToLocalShare(t *testing.T) {
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
		gw := start(t, counter, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
		if status, _ := exchange(gw.dial(), invoke("pay", 400, "x")); status != 200 {
			t.Errorf("%s: %d", name, status)
		}
		gw.waitFor(func() bool { return len(gw.loop.counter.routes) == 0 })
		if name != "absent" && name != "silent" && name != "ended" && name != "turned" && !gw.log.has("invalid counter reply") {
			t.Errorf("%s: nothing was logged", name)
		}
	}
}

func TestOverQuotaIsThrottled(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	gw := start(t, func(m *http1.Message, n int) string { return ok("1e6") }, h)
	tcp := gw.dial()
	sendText(tcp, invoke("pay", 900, "x"))
	status, retry := 0, ""
	readMessages(tcp, true, func(m *http1.Message) bool {
		for i := range m.FieldCount() {
			f := m.Field(i)
			if string(f.Name) == "Retry-After" {
				retry = string(f.Value)
			}
		}
		status = m.Status
		return false
	})
	if status != 429 || retry == "" {
		t.Fatalf("status %d, Retry-After %q", status, retry)
	}
	h.expectNoRequest(t)
}

// A call that timed out keeps its place in the order of its connection, so that its late reply is not taken for that of the next
// call.
func TestLateCounterReplyIsIgnored(t *testing.T) {
	held := make(chan bool)
	gw := start(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-held
			return ok("1e6") // over any quota, but the call has timed out
		}
		return ok("1")
	}, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	tcp := gw.dial()
	if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
		t.Fatalf("decided by local share: status %d", status)
	}
	close(held)
	gw.waitFor(func() bool {
		for _, conn := range gw.loop.counter.conns {
			conn.mu.Lock()
			n := len(conn.unanswered)
			conn.mu.Unlock()
			if n > 0 {
				return false
			}
		}
		return true
	})
	if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
		t.Fatalf("the next invocation: status %d", status)
	}
}

// Half a reply arrives on a connection without a call. If the connection stayed in use, the rest would complete the reply to the
// next call, and that call's reply would go to the call after it.
func TestUnsolicitedCounterBytesAreNoReply(t *testing.T) {
	l := newManualHost(t)
	gw := start(t, nil)
	gw.waitFor(func() bool { gw.counter.UseAddress(l.Addr().String()); return true })
	for range counterConnCount {
		c := l.next(t)
		sendText(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1e")
		if closed(c) {
			c.Close() // expected
			continue
		}
		t.Error("a connection with half a reply on it was not closed")
	}
	var redialed atomic.Int32
	go func() { // accepts the new connections, and replies after an interim response
		for {
			select {
			case <-gw.clients.ctx.Done():
				return
			case c := <-l.conns:
				redialed.Add(1)
				go readMessages(c, false, func(m *http1.Message) bool {
					sendText(c, "HTTP/1.1 102 Wait\r\n\r\n"+ok("7"))
					return true
				})
			}
		}
	}()
	// The socket of a connection is closed slightly before the connection stops accepting calls, and a call made in between fails.
	// After each connection was dialed again, the call finds an established one.
	gw.waitFor(func() bool { return redialed.Load() == counterConnCount })
	gw.waitFor(func() bool { return gw.counter.pickConn() != nil })
	gw.waitFor(func() bool { gw.counter.add(5, 1, 1); return true })
	gw.waitFor(func() bool { return gw.counter.newestAnswered > 0 })
	if !gw.log.has("unsolicited bytes from counter") {
		t.Error("nothing was logged")
	}
}

func TestCallsOnOneNameStayOnOneConnection(t *testing.T) {
	gw := start(t, func(m *http1.Message, n int) string { return "" })
	gw.waitFor(func() bool {
		c := gw.loop.counter
		for i := range 9 {
			c.add(uint64(i%3), 1, 1)
		}
		connsByName := map[uint64]int{}
		for index, conn := range c.conns {
			for _, call := range conn.unanswered {
				connsByName[call.name] |= 1 << index
			}
		}
		onOneConn := len(c.pending) == 9 && connsByName[0] != 0
		for _, on := range connsByName {
			onOneConn = onOneConn && on&(on-1) == 0
		}
		return onOneConn
	})
}

// An invalid reply means that the amount was added. It is not added again, and other calls continue. Amounts that were admitted
// without a call are added to a later call, so only the sum can be checked.
func TestInvalidCounterRepliesAreCountedOnce(t *testing.T) {
	targets, invalidLeft := make(chan string, 100), 6
	gw := start(t, func(m *http1.Message, n int) string {
		targets <- string(m.Target)
		if invalidLeft--; invalidLeft < 0 {
			return ok("1")
		}
		return []string{"junk\r\n\r\n", ok("many")}[n%2]
	}, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	sum := 0
	for i := 1; i <= 200; i++ {
		if status, _ := exchange(gw.dial(), invoke("pay", 900, "x")); status != 200 {
			t.Fatalf("invocation %d: %d", i, status)
		}
		gw.waitFor(func() bool { return len(gw.counter.routes) == 0 })
		for len(targets) > 0 {
			var name, by int
			got := <-targets
			if _, err := fmt.Sscanf(got, "/counters/%d?by=%d&", &name, &by); err != nil {
				t.Fatalf("%s: %v", got, err)
			}
			if sum += by; sum > i {
				t.Fatalf("added %d for %d invocations", sum, i)
			}
		}
		if i > 20 && sum == i {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("added %d for 200 invocations", sum)
}

// A counter connection that stopped replying delayed all calls on a busy name for most of a second. Such a connection is detected
// by later calls that are answered on other connections. On a busy machine those replies may be late sometimes, but not each time.
func TestLaggingCounterConnectionIsClosed(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	silent := newFakeServer(t, func(m *http1.Message, n int) string { return "" }).Addr().String()
	lagging := func() (detected bool) {
		lost := make(chan bool, 1)
		gw.loop.post(t.Context(), func() {
			c := gw.counter
			c.callTimeout = 0.01
			conn := newCounterConn(c, silent)
			c.conns = append(c.conns, conn)
			c.group.Go(conn.run)
			call := &counterCall{client: c, reported: true, references: 9}
			call.onEnd = func() {
				conn.mu.Lock()
				defer conn.mu.Unlock()
				lost <- conn.lagging && call.outcome == policy.Reset
				conn.retired = true
			}
			go func() {
				for call.madeAt = c.loop.clock(); !conn.enqueue(call, 1, 1); call.madeAt = c.loop.clock() {
					time.Sleep(time.Millisecond)
				}
			}()
		})
		for {
			exchange(gw.dial(), invoke("look", 900, ""))
			select {
			case detected = <-lost:
				return detected
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	for range 5 {
		if lagging() {
			return
		}
	}
	t.Fatal("the lagging connection was not closed before it counted as stalled")
}
