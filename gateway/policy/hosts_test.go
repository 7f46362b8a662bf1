package policy

import "testing"

// Customers and hosts that came once were kept for good; the hosts gone also counted as ejected, so that after some
// time none could be.
func TestIdleCustomersAndGoneHostsAreForgotten(t *testing.T) {
	f := newHarness(t, smallPlan)
	inv := f.accept(4, 2)
	f.replyTotal(4)
	f.end(inv, Succeeded)
	for range 30 {
		f.wait(1)
		f.timeOutCalls()
	}
	if len(f.gateway.customers.byID)+len(f.gateway.customers.ordered) > 0 {
		t.Fatalf("%d customers are kept, a full burst and nothing out", len(f.gateway.customers.byID))
	}
	inv = f.accept(4, 2)
	f.replyTotal(4)
	d := inv.Attempts[0]
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "c", Zone: "z", State: "active"}}, true)
	if len(f.gateway.hosts.ordered) != 2 || f.gateway.hosts.byAddr[d.Host.Addr] != d.Host {
		t.Fatalf("%d hosts: want the new one and the one with a attempt out", len(f.gateway.hosts.ordered))
	}
	f.end(inv, Succeeded)
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "c", Zone: "z", State: "active"}}, false)
	if len(f.gateway.hosts.ordered) != 1 || len(f.gateway.hosts.byAddr) != 1 {
		t.Fatalf("%d hosts are kept", len(f.gateway.hosts.ordered))
	}
}
