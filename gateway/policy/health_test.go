package policy

import (
	"slices"
	"testing"
)

func TestSilentHostIsEjectedAndItsAttemptsAreCancelled(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.warmUp(40)
	inv := f.accept(1, 2)
	h := inv.Attempts[0].Host
	f.wait(0.9)
	if !h.health.ejected || len(f.cancelled) != 1 || f.peerMessages[0] != "-"+h.Addr {
		t.Fatalf("ejected %v, %d attempts cancelled, messages %q", h.health.ejected, len(f.cancelled), f.peerMessages)
	}
	f.end(inv, Cancelled)
	f.wantAttempts(inv, 2)
	if inv.Attempts[1].Host == h {
		t.Fatal("the retry was sent to the silent host")
	}
}

func TestEjectedHostIsReadmittedByPeerOrProbe(t *testing.T) {
	for _, message := range []string{"+a", ""} {
		f := newHarness(t, Plan{Name: "p"})
		f.warmUp(20)
		h := f.gateway.hosts.byAddr["a"]
		f.gateway.eject(f.now, h, "by the test")
		f.gateway.PeerMessage(f.now, 0, "+nobody")
		f.gateway.PeerMessage(f.now, 0, "\x00")
		f.gateway.PeerMessage(f.now, 0, message)
		if h.health.ejected != (message == "") {
			t.Fatalf("ejected %v after %q", h.health.ejected, message)
		}
		f.wait(1.1)
		inv := f.accept(1, 2)
		if message == "" && inv.Attempts[0].Host != h {
			t.Fatal("the ejected host was not probed")
		}
		f.end(inv, Succeeded)
		if h.health.ejected {
			t.Fatal("a successful answer did not readmit the host")
		}
	}
}

func TestNoHostIsEjectedWhenAllAreSlow(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.warmUp(20)
	f.gateway.hosts.byAddr["b"].health.answerGap = f.gateway.hosts.byAddr["a"].health.answerGap
	for range 8 { // all slots of both
		f.accept(1, 2)
	}
	f.wait(3)
	for _, h := range f.gateway.hosts.ordered {
		if h.health.ejected {
			t.Fatalf("host %s ejected: %q", h.Addr, f.logs)
		}
	}
}

func TestFailuresInARowEjectHost(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	h := f.gateway.hosts.byAddr["a"]
	for range 20 {
		f.wait(0.2)
		inv := f.acceptOperation("once", 1, 2)
		if inv.Attempts[0].Host == h {
			f.end(inv, Failed)
		} else {
			f.end(inv, Succeeded)
		}
	}
	if !h.health.ejected {
		t.Fatal("still in use")
	}
}

func TestFailingHostsAreBackedOffFromWhenNoneMayBeEjected(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	for range 200 { // 2 s; both hosts refuse connections
		inv := f.accept(1, 2)
		for len(inv.Attempts) > 0 && inv.inFlight > 0 {
			f.end(inv, NoConnection)
		}
		f.wait(0.01)
	}
	if n := len(f.attempts); n < 4 || n > 60 {
		t.Fatalf("%d attempts in 2 s to hosts that refuse connections", n)
	}
}

func TestTimeoutsInARowEjectHost(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	h := f.gateway.hosts.byAddr["a"]
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active"}, {Addr: "b", Zone: "y", State: "leaving"}}, true)
	f.warmUp(5)
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "b", Zone: "y", State: "active"}}, false)
	for range 3 { // one at a time, so that the silence is measured anew from each
		inv := &Invocation{operation: f.gateway.operations["once"], customer: f.gateway.customers.ordered[0], targetAt: f.now + 1, deadline: f.now + 4}
		f.gateway.send(f.now, inv, h)
		f.now += 0.1
		f.gateway.AttemptEnded(f.now, inv.Attempts[0], AttemptResult{Outcome: TimedOut, Duration: 0.1})
	}
	if !h.health.ejected {
		t.Fatal("still in use")
	}
}

// A host must not be ejected for one attempt on a broken connection. Previously, the stuck attempt made its host count as silent
// when no other attempt was in flight for a moment.
func TestOneStuckAttemptDoesNotEjectHost(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.gateway.UpdateHosts(f.now, []HostEntry{
		{Addr: "a", Zone: "z", State: "active"},
		{Addr: "b", Zone: "z", State: "active"},
		{Addr: "c", Zone: "z", State: "active"},
	}, true)
	f.warmUp(30)
	stuck := f.acceptOperation("once", 1, 2)
	h := stuck.Attempts[0].Host
	for range 30 { // all other attempts are answered
		one, two, three := f.accept(1, 2), f.accept(1, 2), f.accept(1, 2)
		f.now += 0.02
		f.end(one, Succeeded)
		f.end(two, Succeeded)
		f.end(three, Succeeded)
	}
	if h.health.lastAnswerAt <= stuck.Attempts[0].sentAt {
		t.Fatal("test setup: the host has not answered any later attempt")
	}
	h.limit = 4
	if f.wait(0.5); h.health.ejected {
		t.Fatalf("ejected: %q", f.logs)
	}
	limitBefore, slownessBefore := h.limit, h.latency.slowness // the time-out of the stuck attempt must change neither
	if f.end(stuck, TimedOut); h.limit != limitBefore || h.latency.slowness != slownessBefore || h.health.failures > 0 {
		t.Fatalf("limit %.1f, previously %.1f; slowness %.2f, previously %.2f; %d failures", h.limit, limitBefore, h.latency.slowness, slownessBefore, h.health.failures)
	}
	for range 9 { // now the hosts are silent
		f.acceptOperation("once", 1, 2)
	}
	if f.wait(1); !slices.ContainsFunc(f.gateway.hosts.ordered, func(h *Host) bool { return h.health.suspicion > 12 }) {
		t.Fatal("the silence of a host is not detected")
	}
}

// A broken connection once caused the ejection of its host if the host had only one slot, since the attempt on it was the only
// evidence. A second attempt of a repeatable operation must be sent first, to tell a silent host from a broken connection.
func TestDoubtfulHostGetsOneMoreAttemptBeforeEjection(t *testing.T) {
	for _, answered := range []bool{true, false} {
		f := newHarness(t, Plan{Name: "p"})
		f.warmUp(40)
		for _, h := range f.gateway.hosts.ordered {
			h.limit, h.health.answerGap = 1, 0.02
		}
		stuck := f.acceptOperation("once", 1, 2)
		h := stuck.Attempts[0].Host
		f.wait(0.3)
		other := f.accept(1, 2) // takes the other host's slot
		unsafe := f.acceptOperation("once", 1, 2)
		f.wantAttempts(unsafe, 0)
		second := f.accept(1, 2)
		f.wantAttempts(second, 1)
		if second.Attempts[0].Host != h || h.health.ejected {
			t.Fatalf("sent to %s, want %s; ejected %v", second.Attempts[0].Host.Addr, h.Addr, h.health.ejected)
		}
		f.end(other, Succeeded)
		if answered {
			f.end(second, Succeeded)
		}
		if f.wait(0.2); h.health.ejected == answered {
			t.Fatalf("answered %v, ejected %v: %q", answered, h.health.ejected, f.logs)
		}
	}
}
