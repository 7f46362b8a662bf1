package sockets

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"otterseam/gateway/http1"
	"otterseam/harness/leakcheck"
)

func TestAddressesOffLoopbackAreRejected(t *testing.T) {
	leakcheck.Check(t)
	for _, address := range []string{"10.0.0.1:80", "192.0.2.1:8443", "example.org:80", "nonsense"} {
		var refused *AddressError
		_, _, err := RunClients(context.Background(), shortScenario(t, ""), 1, []string{address})
		if !errors.As(err, &refused) || refused.Address != address {
			t.Errorf("%s was not rejected with an AddressError: %v", address, err)
		}
	}
}

// Latencies are measured from the intended send time, also when a slow api gateway answers requests one after another. If they were measured
// from the actual send time, the queueing delay would be missing.
func TestLatencyCountsFromIntendedSendTime(t *testing.T) {
	leakcheck.Check(t)
	server, err := NewScriptedServer(func(m *http1.Message, _ int) string {
		time.Sleep(30 * time.Millisecond) // serializes all connections, since respond is called under a lock
		body := field(m, "req-id") + " by nobody"
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.CloseAll()
	d := shortScenario(t, "", "fleet.gateways=1", "length=2s", "clients.rate=60/s", "clients.retries=0")
	results, _, err := RunClients(context.Background(), d, 1, []string{server.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	// The arrival rate is twice the service rate, so the queue grows. A closed loop would measure 30 ms throughout.
	if median := results.Quantile("all", 0.5); median < 0.1 {
		t.Errorf("median latency is %.3f s, want at least 0.1 s", median)
	}
}
