package policy

import (
	"strings"
	"testing"
)

func TestDrainingHostGetsNoNewAttempt(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "leaving"}}, false)
	for range 6 {
		if inv := f.accept(1, 2); len(inv.Attempts) > 0 && inv.Attempts[0].Host.Addr == "a" {
			t.Fatal("sent to a draining host")
		}
	}
}

func TestHostsWithoutConnectionAreAvoided(t *testing.T) {
	f := newHarnessOf(t, Plan{Name: "p"}, 300)
	list := []HostEntry{{Addr: "in", Zone: "z", State: "active"}}
	for _, a := range strings.Split("abcdefghijklmnopqrst", "") {
		list = append(list, HostEntry{Addr: a, Zone: "z", State: "active"})
	}
	f.gateway.UpdateHosts(f.now, list, true)
	triedHosts := map[*Host]bool{}
	for range 300 {
		inv := f.accept(1, 2)
		for inv.inFlight > 0 {
			attempt := inv.Attempts[len(inv.Attempts)-1]
			if triedHosts[attempt.Host] = true; attempt.Host.Addr == "in" {
				f.end(inv, Succeeded)
			} else {
				f.end(inv, NoConnection)
			}
		}
		f.wait(0.05)
	}
	if bad := len(f.attempts) - 300; bad > 150 {
		t.Fatalf("%d attempts without a connection, %d hosts tried", bad, len(triedHosts))
	}
}
