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
		t.Fatalf("%.1f slots", h.limit)
	}
}

func TestPerHostLimitFallsWhenAllHostsArePressed(t *testing.T) {
	f := newHarnessOf(t, Plan{Name: "p"}, 20) // one attempt from each would crowd two hosts
	for range 400 {
		f.accept(1, 2)
		f.wait(0.05)
		for _, d := range f.attempts {
			if d.Invocation.inFlight > 0 && f.now-d.sentAt > 0.8 {
				f.end(d.Invocation, Succeeded)
			}
		}
	}
	if f.gateway.concurrency.perHost > 3 {
		t.Fatalf("%.1f a host from all", f.gateway.concurrency.perHost)
	}
}

func TestHostLimitStaysLowWhileHostIsPressed(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	h := f.gateway.hosts.byAddr["a"]
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active"}}, true)
	f.warmUp(200)
	for range 600 {
		inv := f.accept(1, 2)
		f.now += 0.06 // three times its best
		f.end(inv, Succeeded)
	}
	if h.limit > 1.2 {
		t.Fatalf("%.1f slots after a long press", h.limit)
	}
}
