package policy

import "testing"

// Customers and hosts once were kept forever. Removed hosts also counted as unused, so that after some time no host could be
// ejected.
func TestIdleCustomersAndRemovedHostsAreEvicted(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.accept(4, 2)
	f.replyTotal(4)
	f.end(inv, Succeeded)
	for range 30 {
		f.wait(1)
		f.timeOutCalls()
	}
	if len(f.gateway.customers.byID)+len(f.gateway.customers.ordered) > 0 {
		t.Fatalf("%d customers are kept with a full burst and no slot open", len(f.gateway.customers.byID))
	}
	inv = f.accept(4, 2)
	f.replyTotal(4)
	attempt := inv.Attempts[0]
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "c", Zone: "z", State: "active"}}, true)
	if len(f.gateway.hosts.ordered) != 2 || f.gateway.hosts.byAddr[attempt.Host.Addr] != attempt.Host {
		t.Fatalf("%d hosts, want the new one and the one with an attempt in flight", len(f.gateway.hosts.ordered))
	}
	f.end(inv, Succeeded)
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "c", Zone: "z", State: "active"}}, false)
	if len(f.gateway.hosts.ordered) != 1 || len(f.gateway.hosts.byAddr) != 1 {
		t.Fatalf("%d hosts are kept, want one", len(f.gateway.hosts.ordered))
	}
}
