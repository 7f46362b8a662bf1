package policy

import (
	"testing"

	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
)

func TestSilentCounterIsBridgedByLocalShareAndReportedLater(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(1, 2)
	f.replyTotal(9) // 8 of them by others
	f.wait(3)
	admitted := 0.0
	for range 30 { // 6 s without the counter at 5 units/s, where the plan allows 2
		inv := f.accept(1, 2)
		f.timeOutCalls()
		if len(inv.Attempts) > 0 {
			admitted++
			f.end(inv, Succeeded)
		}
		f.wait(0.2)
	}
	if admitted < 3 || admitted > 17 { // the whole quota is 10 + 12
		t.Fatalf("%v units admitted without the counter", admitted)
	}
	f.accept(1, 2)
	f.replyTotal(f.calls[f.replied].amount) // a new window without the units admitted meanwhile
	f.wait(1)
	if reported := f.calls[len(f.calls)-1].amount; reported < admitted/2 {
		t.Fatalf("admitted %v units, reported %v", admitted, reported)
	}
}

func TestPeerMessageCutsLocalAdmissions(t *testing.T) {
	f := newHarnessOf(t, Plan{Name: "p", Rate: 20, Burst: 100}, 100)
	f.gateway.counter.limiter = overload.NewCallLimiter(false, 0)
	admitted := func() (n int) {
		for range 200 {
			f.wait(0.1)
			if f.admits(1, 1) {
				n++
			}
		}
		return n
	}
	before := admitted()
	for range 4 {
		f.gateway.PeerMessage(f.now, 0, "=p c")
		f.gateway.PeerMessage(f.now, 0, "=q c") // an unknown plan and an invalid message are ignored
		f.gateway.PeerMessage(f.now, 0, "= ")
		f.wait(1.1)
	}
	if cut := admitted(); before < 190 || cut > before*2/3 || cut == 0 {
		t.Fatalf("%d admitted before peers reported the customer over its quota, %d after", before, cut)
	}
}

// Without calls a concurrency quota of two once was divided into one slot for each of two API gateways, although the other
// rarely had a slot open.
func TestConcurrencyQuotaWithoutCallsUsesMeanSlotsOfOthers(t *testing.T) {
	p := Plan{Name: "p", MaxConcurrent: 2}
	for others, want := range map[float64]int{0: 1, 1: 0} {
		f := newHarness(t, p)
		for range 5 {
			inv := f.accept(1, 2)
			f.replyTotal((1 + others) * p.slotUnit())
			f.wait(0.1)
			f.end(inv, Succeeded)
			f.replyTotal(others * p.slotUnit())
		}
		f.accept(1, 2)
		f.replyTotal((1 + others) * p.slotUnit())
		f.gateway.counter.limiter.Tokens, f.gateway.counter.limiter.Rate, f.gateway.counter.limiter.UpdatedAt = 0, 0, f.now
		f.now += 0.5
		f.wantAttempts(f.accept(1, 2), want)
		f.wantAttempts(f.accept(1, 2), 0)
	}
}

// While the counter was slow, each of four API gateways once had one slot open, so that a customer with a concurrency quota of two
// had four. The ratio of the others' slots to this instance's in the last totals keeps the sum near the quota.
func TestBusyConcurrencyQuotaWithoutCallsIsSharedByUse(t *testing.T) {
	p := Plan{Name: "p", MaxConcurrent: 2}
	for others, want := range map[float64]float64{0: 1.5, 3: 0.5} { // the others' slots per slot of this instance
		f := newHarnessOf(t, p, 4)
		inv := f.accept(1, 4)
		f.replyTotal(p.slotUnit())
		f.end(inv, Succeeded)
		f.replyTotal(0)
		for range 30 { // total: the slot of this call, another one of this instance, and the others' slots
			f.gateway.applyTotal(f.now, &counterCall{customer: inv.customer, invocation: &Invocation{operation: inv.operation}, slots: 1, countedSlots: 2}, (2+others)*p.slotUnit())
		}
		f.gateway.counter.limiter.Tokens, f.gateway.counter.limiter.Rate, f.gateway.counter.limiter.UpdatedAt = -1e6, 0, f.now
		openSum, attempts := 0, 2000
		var invocations []*Invocation
		for range attempts { // one every 10 ms, answered after 50 ms
			invocations = append(invocations, f.accept(1, 4))
			if n := len(invocations); n > 5 && invocations[n-6].inFlight > 0 {
				f.end(invocations[n-6], Succeeded)
			}
			openSum += f.gateway.customers.byID["p c"].slots.open
			f.wait(0.01)
		}
		if mean := float64(openSum) / float64(attempts); mean < want-0.3 || mean > want+0.3 {
			t.Errorf("others hold %.0f slots per slot here: a mean of %.2f open, want about %.1f", others, mean, want)
		}
	}
}

// A customer far under its quota sends most requests to one API gateway. Without calls it once was throttled there by an even
// share of its quota although most of the quota was unused. A customer recently found over its quota gets no more than an even
// share.
func TestCustomerFarFromQuotaIsAdmittedWithoutCalls(t *testing.T) {
	for _, overQuota := range []bool{false, true} {
		f := newHarnessOf(t, Plan{Name: "p", Rate: 10, Burst: 60}, 300)
		f.gateway.counter.limiter = overload.NewCallLimiter(false, 0)
		if overQuota {
			f.gateway.PeerMessage(f.now, 0, "=p c")
			f.wait(1)
		}
		admitted := 0.0
		for range 75 { // 3 units per 1.25 s: a quarter of the quota, where the share is a sixth
			f.wait(1.25)
			if f.admits(3, 6) {
				admitted++
			}
		}
		if !overQuota && admitted < 73 || overQuota && admitted > 68 {
			t.Fatalf("over its quota %v: %v of 75 admitted", overQuota, admitted)
		}
	}
}

// Without calls a customer's quota is divided by the number of live API gateways. With two of the four permanently down, each of
// the others admits the square root of two times its share. Hard ceilings are still divided by all four.
func TestLocalShareFollowsLiveGateways(t *testing.T) {
	countAdmitted := func(p Plan, peers *membership.Detector) (n int) {
		f := newHarnessOf(t, p, 4)
		f.gateway.instance.Peers = peers
		f.gateway.counter.limiter = overload.NewCallLimiter(false, 0)
		for range 400 {
			f.wait(0.05)
			inv := f.accept(1, 4)
			if len(inv.Attempts) > 0 {
				n++
				f.gateway.AttemptEnded(f.now, inv.Attempts[0], AttemptResult{Outcome: Succeeded, Final: true, Duration: 0.01})
			}
		}
		return n
	}
	halfAlive := func() *membership.Detector { // the detector of one of four gateways that receives messages from only one other
		me := membership.New(membership.Config{Self: 0, Members: 4, MessageRate: 60, Part: 0.1, Seed: 1})
		other := membership.New(membership.Config{Self: 1, Members: 4, MessageRate: 60, Part: 0.1, Seed: 2})
		for now := 980.0; now < 1000; now += 0.05 {
			for _, l := range other.Tick(now) {
				me.Receive(now, 1, l.Text)
			}
			for _, l := range me.Tick(now) {
				other.Receive(now, 0, l.Text)
			}
		}
		return me
	}
	if n := halfAlive().AliveCount(); n != 2 {
		t.Fatalf("%d gateways are alive, want 2", n)
	}
	p := Plan{Name: "p", Rate: 20, Burst: 20}
	withoutPeers, withPeers := countAdmitted(p, nil), countAdmitted(p, halfAlive())
	if r := float64(withPeers) / float64(withoutPeers); r < 1.3 || r > 1.5 {
		t.Errorf("%d admitted by configured gateways, %d by live ones", withoutPeers, withPeers)
	}
	p = Plan{Name: "p", CeilingRate: 20, CeilingBurst: 20}
	if withoutPeers, withPeers = countAdmitted(p, nil), countAdmitted(p, halfAlive()); withoutPeers != withPeers {
		t.Errorf("under a hard ceiling %d admitted by configured gateways, %d by live ones", withoutPeers, withPeers)
	}
}
