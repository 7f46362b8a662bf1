package proxy

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A host that hangs: what may be repeated is given up while there is time, and goes on at another host.
func TestAHungHostDoesNotHoldIdempotentRequests(t *testing.T) {
	for path, text := range map[string]string{"/safe/1": plainOK, "/resume/1": streamOK + event(1) + lastChunk} {
		g := newTestProxy(t)
		var hangs atomic.Bool
		for range 2 {
			g.addHost(func(a hostRequest) {
				if hangs.CompareAndSwap(true, false) { // the first that is asked
					a.awaitDisconnect()
					return
				}
				a.respond(text)
			})
		}
		for i := range 40 { // what is usual has to be known
			if got := g.dial().ask(path, fmt.Sprint("r", i), "", "x"); got.StatusCode != http.StatusOK {
				t.Fatalf("%s: %d", path, got.StatusCode)
			}
		}
		hangs.Store(true)
		began := time.Now()
		if got := g.dial().ask(path, "hung", "", "x"); got.StatusCode != http.StatusOK || got.err != nil {
			t.Errorf("%s: %d, %v", path, got.StatusCode, got.err)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("%s: held for %v", path, took)
		}
	}
}

// What may run once is never given up for its silence: its host may be at work.
func TestAHungHostHoldsRequestsThatMayRunOnce(t *testing.T) {
	g := newTestProxy(t)
	for range 40 {
		g.proxy.latencies.observeResponse("brief", time.Millisecond)
	}
	counted := g.addHost(func(a hostRequest) { a.awaitDisconnect() })
	if got := g.dial().ask("/brief/1", "r", "", "x"); got.StatusCode != http.StatusGatewayTimeout {
		t.Fatal(got.StatusCode)
	}
	if counted.total() != 1 {
		t.Fatalf("%d connections", counted.total())
	}
}
