package proxy

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// An attempt of an idempotent or resumable request at a host that hangs times out early enough for a retry at another host.
func TestAHungHostDoesNotHoldIdempotentRequests(t *testing.T) {
	for path, text := range map[string]string{"/safe/1": plainOK, "/resume/1": streamOK + event(1) + lastChunk} {
		g := newTestProxy(t)
		var hangs atomic.Bool
		for range 2 {
			g.addHost(func(r hostRequest) {
				if hangs.CompareAndSwap(true, false) { // only the first host that receives the request hangs
					r.awaitDisconnect()
					return
				}
				r.respond(text)
			})
		}
		for i := range 40 { // the latency estimator needs observations
			if got := g.dial().roundTrip(path, fmt.Sprint("r", i), "", "x"); got.StatusCode != http.StatusOK {
				t.Fatalf("%s: %d", path, got.StatusCode)
			}
		}
		hangs.Store(true)
		started := time.Now()
		if got := g.dial().roundTrip(path, "hung", "", "x"); got.StatusCode != http.StatusOK || got.err != nil {
			t.Errorf("%s: %d, %v", path, got.StatusCode, got.err)
		}
		if took := time.Since(started); took > 5*time.Second {
			t.Errorf("%s: took %v", path, took)
		}
	}
}

// A request that may run only once does not time out early, because the silent host may still be running it.
func TestAHungHostHoldsRequestsThatMayRunOnlyOnce(t *testing.T) {
	g := newTestProxy(t)
	for range 40 {
		g.proxy.latencies.observeResponse("brief", time.Millisecond)
	}
	conns := g.addHost(func(r hostRequest) { r.awaitDisconnect() })
	if got := g.dial().roundTrip("/brief/1", "r", "", "x"); got.StatusCode != http.StatusGatewayTimeout {
		t.Fatal(got.StatusCode)
	}
	if conns.total() != 1 {
		t.Fatalf("%d connections", conns.total())
	}
}
