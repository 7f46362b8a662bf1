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

func TestAddressesElsewhereAreRefused(t *testing.T) {
	leakcheck.Check(t)
	for _, address := range []string{"10.0.0.1:80", "192.0.2.1:8443", "example.org:80", "nonsense"} {
		var refused *AddressError
		_, _, err := RunClients(context.Background(), shortScenario(t, ""), 1, []string{address})
		if !errors.As(err, &refused) || refused.Address != address {
			t.Errorf("%s was taken: %v", address, err)
		}
	}
}

// A slow api gateway hides nothing: times count from the intended sending, also when answers come one after another.
func TestTimesCountFromTheIntendedSending(t *testing.T) {
	leakcheck.Check(t)
	server, err := NewScriptedServer(func(m *http1.Message, _ int) string {
		time.Sleep(30 * time.Millisecond) // all of its connections wait for each other
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
	// Twice as many come as it can answer: what waits grows, and a closed loop would see 30 ms throughout.
	if median := results.Quantile("all", 0.5); median < 0.1 {
		t.Errorf("half of the answers within %.3f s", median)
	}
}
