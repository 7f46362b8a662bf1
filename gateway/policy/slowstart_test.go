package policy

import (
	"testing"

	"otterseam/internal/rng"
)

func TestStartingHostGetsItsBudget(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active", StartedAt: f.now}}, true)
	f.gateway.meanLatency = 0.01
	for range 300 { // 3 s, each answered after 10 ms
		f.accept(1, 2)
		f.wait(0.01)
		f.answerAll()
	}
	n := len(f.attempts)
	// Overload factor 2 x capacity 0.2 to 0.44 x two cores, a third of it for this API gateway: at most 128 attempts of 10 ms.
	if n < 20 || n > 128 {
		t.Fatalf("%d attempts to a starting host in 3 s", n)
	}
}

func TestStartingHostGetsItsBudgetFromThreeHundredGateways(t *testing.T) {
	n := 0
	for seed := range uint64(300) {
		f := newHarnessOf(t, Plan{Name: "p"}, 300)
		f.gateway.random = rng.New("%d ", seed)
		f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "c", Zone: "z", State: "active", StartedAt: f.now}}, true)
		for range 10 {
			f.accept(1, 2)
			f.wait(0.1)
		}
		n += len(f.attempts)
	}
	// Two cores at 0.2 to 0.28 of their capacity for 1 s: 2 to 3 attempts of 0.2 s.
	if n > 8 {
		t.Fatalf("%d attempts from 300 API gateways in the first second", n)
	}
}

// Connections to a starting host may be established late and at the same time. Attempts that were chosen one at a time must also
// be sent one at a time.
func TestConfirmSendSpacesAttemptsToStartingHost(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active", StartedAt: f.now}}, true)
	var waiting []*Attempt
	for len(waiting) < 3 {
		inv := f.accept(1, 1)
		f.wait(1)
		waiting = append(waiting, inv.Attempts...)
	}
	admitted := 0
	for range 2 {
		for _, attempt := range waiting {
			if f.gateway.ConfirmSend(f.now, attempt) {
				admitted++
			}
		}
	}
	if admitted != 1 {
		t.Fatalf("%d of %d attempts were confirmed at the same time, want 1", admitted, len(waiting))
	}
	f.now += 2
	if !f.gateway.ConfirmSend(f.now, waiting[1]) {
		t.Fatal("the next attempt is not confirmed when it is due")
	}
}
