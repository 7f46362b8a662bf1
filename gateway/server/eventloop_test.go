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
func TestDeadlineOfPipelinedRequestCountsFromArrival(t *testing.T) {
	const first = 400
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		if n == 1 {
			time.Sleep(first * time.Millisecond)
		}
		for i := range m.FieldCount() {
			f := m.Field(i)
			if string(f.Name) == "Req-Deadline-Ms" {
				return ok(string(f.Value))
			}
		}
		return ok("none")
	})
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
	sendText(tcp, invoke("pay", 900, "")+invoke("pay", 900, ""))
	var deadlines []int
	readMessages(tcp, true, func(m *http1.Message) bool {
		var ms int
		_, _ = fmt.Sscan(string(m.Body), &ms)
		deadlines = append(deadlines, ms)
		return len(deadlines) < 2
	})
	if len(deadlines) < 2 || deadlines[0] < 800 || deadlines[1] > 900-first {
		t.Fatalf("forwarded deadlines %v", deadlines)
	}
}

// Each queued event is processed at its own time, not at the time of the batch.
func TestQueuedEventsSeeTheirOwnTime(t *testing.T) {
	gw := start(t, belowQuota)
	var a, b float64
	done := make(chan bool)
	gw.loop.post(t.Context(), func() {
		gw.loop.queue <- func() { b = gw.loop.now; close(done) }
		a = gw.loop.now
		time.Sleep(50 * time.Millisecond)
	})
	<-done
	if b-a < 0.05 {
		t.Fatalf("only %.3f s passed", b-a)
	}
}

func TestResponseIsForwardedUnchanged(t *testing.T) {
	h := newFakeServer(t, func(m *http1.Message, n int) string { return ok("body of " + string(m.Method)) })
	gw := start(t, belowQuota, h)
	tcp := gw.dial()
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
func TestUseAddressesDoesNotInterruptService(t *testing.T) {
	held := make(chan bool)
	gw := start(t, func(m *http1.Message, n int) string {
		<-held
		return ok("1")
	}, newFakeServer(t, func(m *http1.Message, n int) string { return ok("x") }))
	first := gw.discoveryLines
	gw.waitFor(func() bool { gw.counter.add(7, 1, 1); return true })
	after := newFakeServer(t, belowQuota)
	gw.discoveryLines = make(chan string, 10)
	second := newFakeDiscovery(t)
	go second.serveWatches(gw.clients.ctx, gw.discoveryLines)
	gw.loop.UseAddresses(gw.clients.ctx, gw.discovery, second.Addr().String(), after.Addr().String())
	first <- `{"version":2,"servers":[` + entry("late", "127.0.0.1:9", "Ready") + `]}`
	gw.waitFor(func() bool { return gw.pool.byID["late"] != nil })
	gw.discoveryLines <- `{"version":3,"servers":[` + entry("new", "127.0.0.1:9", "Ready") + `]}`
	gw.waitFor(func() bool { return gw.pool.byID["new"] != nil })
	gw.waitFor(func() bool { return gw.counter.allConnected() })
	gw.waitFor(func() bool { gw.counter.add(8, 1, 1); return true })
	if got := after.nextRequest(t); !strings.Contains(got, "/counters/8?") {
		t.Fatalf("the new counter got %s", got)
	}
	gw.waitFor(func() bool { gw.counter.closeRetired(); return len(gw.counter.retired) == 1 }) // the one with the pending call
	close(held)
	gw.waitFor(func() bool {
		gw.counter.closeRetired()
		return len(gw.counter.retired) == 0 && len(gw.counter.routes) == 0
	})
	after.expectNoRequest(t)
}

// A request with the ID of an invocation in progress is rejected, because a host would execute a second copy. The invocation in
// progress is unaffected.
func TestReferenceInUseIsRejected(t *testing.T) {
	held := make(chan bool)
	h := newFakeServer(t, func(m *http1.Message, n int) string {
		<-held
		return ok("x")
	})
	gw := start(t, belowQuota, h)
	tcp, text := gw.dial(), invoke("pay", 900, "x")
	sendText(tcp, text)
	h.nextRequest(t)
	if status, _ := exchange(gw.dial(), text); status != 409 {
		t.Fatalf("the same ID while in progress: status %d", status)
	}
	close(held)
	if status, _ := exchange(tcp, ""); status != 200 {
		t.Fatalf("the invocation in progress: status %d", status)
	}
	if status, _ := exchange(gw.dial(), text); status != 409 {
		t.Fatalf("the same ID just after: status %d", status)
	}
	h.expectNoRequest(t)
	gw.waitFor(func() bool { // IDs are kept for a few seconds only
		for range 2 {
			gw.loop.recentRefs.rotatedAt = 0
			gw.loop.rotateRefs()
		}
		return len(gw.loop.recentRefs.current)+len(gw.loop.recentRefs.previous) == 0
	})
}

// An invocation without a response from its host fails before its client's deadline. On a busy machine the response may be late
// sometimes, but not each time.
func TestTimeoutResponseArrivesBeforeClientDeadline(t *testing.T) {
	gw := start(t, belowQuota, newFakeServer(t, func(m *http1.Message, n int) string { return "" }))
	var took time.Duration
	for range 5 {
		tcp, begun := gw.dial(), time.Now()
		status, _ := exchange(tcp, invoke("pay", 300, "x"))
		if took = time.Since(begun); status == 504 && took < 300*time.Millisecond {
			return
		}
	}
	t.Fatalf("response after %v of 300 ms", took)
}
