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
		t.Fatalf("ejected %v, cancels %d, told %q", h.health.ejected, len(f.cancelled), f.peerMessages)
	}
	f.end(inv, Cancelled)
	f.wantAttempts(inv, 2)
	if inv.Attempts[1].Host == h {
		t.Fatal("sent again to the silent host")
	}
}

func TestEjectedHostIsReadmittedByPeerOrProbe(t *testing.T) {
	for _, word := range []string{"+a", ""} {
		f := newHarness(t, Plan{Name: "p"})
		f.warmUp(20)
		h := f.gateway.hosts.byAddr["a"]
		f.gateway.eject(f.now, h, "by the test")
		f.gateway.PeerMessage(f.now, 0, "+nobody")
		f.gateway.PeerMessage(f.now, 0, "\x00")
		f.gateway.PeerMessage(f.now, 0, word)
		if h.health.ejected != (word == "") {
			t.Fatalf("ejected %v after %q", h.health.ejected, word)
		}
		f.wait(1.1)
		inv := f.accept(1, 2)
		if word == "" && inv.Attempts[0].Host != h {
			t.Fatal("no probe")
		}
		f.end(inv, Succeeded)
		if h.health.ejected {
			t.Fatal("a good answer did not bring it back")
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
	for range 200 { // 2 s, both hosts refuse at once
		inv := f.accept(1, 2)
		for len(inv.Attempts) > 0 && inv.inFlight > 0 {
			f.end(inv, NoConnection)
		}
		f.wait(0.01)
	}
	if n := len(f.attempts); n < 4 || n > 60 {
		t.Fatalf("%d attempts in 2 s to hosts that refuse", n)
	}
}

func TestTimeoutsInARowEjectHost(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	h := f.gateway.hosts.byAddr["a"]
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active"}, {Addr: "b", Zone: "y", State: "leaving"}}, true)
	f.warmUp(5)
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "b", Zone: "y", State: "active"}}, false)
	for range 3 { // one at a time, so that its silence begins anew with each
		inv := &Invocation{operation: f.gateway.operations["once"], customer: f.gateway.customers.ordered[0], targetAt: f.now + 1, deadline: f.now + 4}
		f.gateway.send(f.now, inv, h)
		f.now += 0.1
		f.gateway.AttemptEnded(f.now, inv.Attempts[0], AttemptResult{Outcome: TimedOut, Duration: 0.1})
	}
	if !h.health.ejected {
		t.Fatal("still in use")
	}
}

// One connection fell silent under its attempt, and with no other work for a moment its host counted as silent too.
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
	for range 30 { // all else is answered
		one, two, three := f.accept(1, 2), f.accept(1, 2), f.accept(1, 2)
		f.now += 0.02
		f.end(one, Succeeded)
		f.end(two, Succeeded)
		f.end(three, Succeeded)
	}
	if h.health.lastAnswerAt <= stuck.Attempts[0].sentAt {
		t.Fatal("the host has answered nothing since: no story")
	}
	h.limit = 4
	if f.wait(0.5); h.health.ejected {
		t.Fatalf("ejected: %q", f.logs)
	}
	places, slow := h.limit, h.latency.slowness // nor is it slow, or to be sent less, when that one is given up
	if f.end(stuck, TimedOut); h.limit != places || h.latency.slowness != slow || h.health.failures > 0 {
		t.Fatalf("%.1f slots after %.1f, slow %.2f after %.2f, %d failures", h.limit, places, h.latency.slowness, slow, h.health.failures)
	}
	for range 9 { // it really is silent now
		f.acceptOperation("once", 1, 2)
	}
	if f.wait(1); !slices.ContainsFunc(f.gateway.hosts.ordered, func(h *Host) bool { return h.health.suspicion > 12 }) {
		t.Fatal("silence is no longer seen")
	}
}

// A connection that fell silent took its host with it, wherever the host had one slot here: the one attempt was all its
// silence. One more, which may run again, tells the two apart.
func TestDoubtfulHostGetsOneMoreAttemptBeforeEjection(t *testing.T) {
	for _, good := range []bool{true, false} {
		f := newHarness(t, Plan{Name: "p"})
		f.warmUp(40)
		for _, h := range f.gateway.hosts.ordered {
			h.limit, h.health.answerGap = 1, 0.02
		}
		stuck := f.acceptOperation("once", 1, 2)
		h := stuck.Attempts[0].Host
		f.wait(0.3)
		other := f.accept(1, 2) // takes the other host's place
		unsafe := f.acceptOperation("once", 1, 2)
		f.wantAttempts(unsafe, 0)
		beside := f.accept(1, 2)
		f.wantAttempts(beside, 1)
		if beside.Attempts[0].Host != h || h.health.ejected {
			t.Fatalf("went to %s, not %s; ejected %v", beside.Attempts[0].Host.Addr, h.Addr, h.health.ejected)
		}
		f.end(other, Succeeded)
		if good {
			f.end(beside, Succeeded)
		}
		if f.wait(0.2); h.health.ejected == good {
			t.Fatalf("answered %v, ejected %v: %q", good, h.health.ejected, f.logs)
		}
	}
}
