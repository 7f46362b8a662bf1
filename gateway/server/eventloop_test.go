package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"otterseam/gateway/http1"
)

// The deadline of a pipelined request counts from its arrival, not from when it is taken, because its client gives up at that
// deadline.
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
	sendText(tcp, invoke("pay", 900, "")+invoke("pay", 900, ""))
	var told []int
	messages(tcp, true, func(m *http1.Message) bool {
		var ms int
		_, _ = fmt.Sscan(string(m.Body), &ms)
		told = append(told, ms)
		return len(told) < 2
	})
	if len(told) < 2 || told[0] < 800 || told[1] > 900-first {
		t.Fatalf("forwarded deadlines %v", told)
	}
}

// Each queued event is processed at its own time, not at the time of the batch.
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
		t.Fatalf("only %.3f s passed", b-a)
	}
}

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
		t.Fatalf("health check: status %d", status)
	}
}

// After a change of addresses, discovery and the counter stay in use at their old addresses until the new ones are connected. A
// pending call is answered on the old connection.
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
	w.wait(func() bool { w.counter.closeRetired(); return len(w.counter.retired) == 1 }) // the one with the pending call
	close(held)
	w.wait(func() bool {
		w.counter.closeRetired()
		return len(w.counter.retired) == 0 && len(w.counter.routes) == 0
	})
	after.noRequest(t)
}

// A request with the ID of an invocation in progress is rejected, because a host would execute a second copy. The invocation in
// progress is unaffected.
func TestAReferenceInUseIsNotAcceptedAgain(t *testing.T) {
	held := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		<-held
		return ok("x")
	})
	w := start(t, plentyOfQuota, h)
	tcp, text := w.dial(), invoke("pay", 900, "x")
	sendText(tcp, text)
	h.nextRequest(t)
	if status, _ := exchange(w.dial(), text); status != 409 {
		t.Fatalf("the same ID while in progress: status %d", status)
	}
	close(held)
	if status, _ := exchange(tcp, ""); status != 200 {
		t.Fatalf("the invocation in progress: status %d", status)
	}
	if status, _ := exchange(w.dial(), text); status != 409 {
		t.Fatalf("the same ID just after: status %d", status)
	}
	h.noRequest(t)
	w.wait(func() bool { // IDs are kept for a few seconds only
		for range 2 {
			w.loop.recentRefs.rotatedAt = 0
			w.loop.rotateRefs()
		}
		return len(w.loop.recentRefs.current)+len(w.loop.recentRefs.previous) == 0
	})
}

// An invocation without a response from its host fails before its client's deadline. On a busy machine the response may be late
// sometimes, but not each time.
func TestAnUnansweredInvocationEndsBeforeItsClientGivesUp(t *testing.T) {
	w := start(t, plentyOfQuota, newFakeServer(t, func(m *http1.Message, n int) string { return "" }))
	var took time.Duration
	for range 5 {
		tcp, begun := w.dial(), time.Now()
		status, _ := exchange(tcp, invoke("pay", 300, "x"))
		if took = time.Since(begun); status == 504 && took < 300*time.Millisecond {
			return
		}
	}
	t.Fatalf("response after %v of 300 ms", took)
}
