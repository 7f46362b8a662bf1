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
func TestUnusableAnswersOfTheCounterLeaveTheDecisionToTheShare(t *testing.T) {
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
		if name != "absent" && name != "silent" && name != "ended" && name != "turned" && !w.log.has("invalid counter reply") {
			t.Errorf("%s: nothing was logged", name)
		}
	}
}

func TestOverTheQuotaIsThrottled(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") })
	w := start(t, func(m *http1.Message, n int) string { return ok("1e6") }, h)
	tcp := w.dial()
	sendText(tcp, invoke("pay", 900, "x"))
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
		t.Fatalf("status %d, Retry-After %q", status, retry)
	}
	h.noRequest(t)
}

// A call that timed out keeps its place in the order of its connection, so that its late reply is not taken for that of the next
// call.
func TestLateAnswerOfTheCounterChangesNothing(t *testing.T) {
	held := make(chan bool)
	w := start(t, func(m *http1.Message, n int) string {
		if n == 1 {
			<-held
			return ok("1e6") // over any quota, but the call has timed out
		}
		return ok("1")
	}, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	tcp := w.dial()
	if status, _ := exchange(tcp, invoke("pay", 900, "x")); status != 200 {
		t.Fatalf("decided by local share: status %d", status)
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
		t.Fatalf("the next invocation: status %d", status)
	}
}

// Half a reply arrives on a connection without a call. If the connection stayed in use, the rest would complete the reply to the
// next call, and that call's reply would go to the call after it.
func TestBytesThatNoCallWasMadeForAreNoTotal(t *testing.T) {
	l := newManualHost(t)
	w := start(t, nil)
	w.wait(func() bool { w.counter.UseAddress(l.Addr().String()); return true })
	for range counterConnCount {
		c := l.next(t)
		sendText(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1e")
		if closed(c) {
			c.Close() // expected
			continue
		}
		t.Error("a connection with half a reply on it was not closed")
	}
	var madeAnew atomic.Int32
	go func() { // accepts the new connections, and replies after an interim response
		for {
			select {
			case <-w.clients.ctx.Done():
				return
			case c := <-l.conns:
				madeAnew.Add(1)
				go messages(c, false, func(m *http1.Message) bool {
					sendText(c, "HTTP/1.1 102 Wait\r\n\r\n"+ok("7"))
					return true
				})
			}
		}
	}()
	// The socket of a connection is closed slightly before the connection stops accepting calls, and a call made in between fails.
	// After each connection was dialed again, the call finds an established one.
	w.wait(func() bool { return madeAnew.Load() == counterConnCount })
	w.wait(func() bool { return w.counter.pickConn() != nil })
	w.wait(func() bool { w.counter.add(5, 1, 1); return true })
	w.wait(func() bool { return w.counter.newestAnswered > 0 })
	if !w.log.has("unsolicited bytes from counter") {
		t.Error("nothing was logged")
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

// An invalid reply means that the amount was added. It is not added again, and other calls continue. Amounts that were admitted
// without a call are added to a later call, so only the sum can be checked.
func TestUnusableAnswersOfTheCounterAreAddedOnce(t *testing.T) {
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
func TestASilentCounterConnectionIsEndedWhenOvertaken(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	silent := newFakeServer(t, func(m *http1.Message, n int) string { return "" }).Addr().String()
	lagging := func() (mute bool) {
		lost := make(chan bool, 1)
		w.loop.post(t.Context(), func() {
			c := w.counter
			c.callTimeout = 0.01
			k := newCounterConn(c, silent)
			c.conns = append(c.conns, k)
			c.group.Go(k.run)
			x := &counterCall{client: c, reported: true, references: 9}
			x.onEnd = func() {
				k.mu.Lock()
				defer k.mu.Unlock()
				lost <- k.lagging && x.outcome == policy.Reset
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
		if lagging() {
			return
		}
	}
	t.Fatal("the lagging connection was not closed before it counted as stalled")
}
