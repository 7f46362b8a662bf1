package policy

import "testing"

func TestHostLimitFallsWithSlowAnswers(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.warmUp(10)
	h := f.gateway.hosts.byAddr["a"]
	f.gateway.hosts.ordered = []*Host{h}
	for range 30 {
		inv := f.accept(1, 2)
		f.now += 0.5
		f.end(inv, Succeeded)
	}
	if h.limit > 1 {
		t.Fatalf("a limit of %.1f slots after slow answers", h.limit)
	}
}

func TestPerHostLimitFallsWhenAllHostsAreOverloaded(t *testing.T) {
	f := newHarnessOf(t, Plan{Name: "p"}, 20) // one attempt from each would overload two hosts
	for range 400 {
		f.accept(1, 2)
		f.wait(0.05)
		for _, attempt := range f.attempts {
			if attempt.Invocation.inFlight > 0 && f.now-attempt.sentAt > 0.8 {
				f.end(attempt.Invocation, Succeeded)
			}
		}
	}
	if f.gateway.concurrency.perHost > 3 {
		t.Fatalf("a limit of %.1f attempts per host", f.gateway.concurrency.perHost)
	}
}

func TestHostLimitStaysLowWhileHostIsOverloaded(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	h := f.gateway.hosts.byAddr["a"]
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active"}}, true)
	f.warmUp(200)
	for range 600 {
		inv := f.accept(1, 2)
		f.now += 0.06 // three times the host's best latency
		f.end(inv, Succeeded)
	}
	if h.limit > 1.2 {
		t.Fatalf("a limit of %.1f slots after a long overload", h.limit)
	}
}
