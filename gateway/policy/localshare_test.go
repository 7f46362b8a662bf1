package policy

import (
	"testing"

	"otterseam/gateway/membership"
	"otterseam/gateway/overload"
)

func TestSilentCounterIsBridgedByLocalShareAndReportedLater(t *testing.T) {
	f := newHarness(t, smallPlan)
	f.accept(1, 2)
	f.replyTotal(9) // 8 by others
	f.wait(3)
	admitted := 0.0
	for range 30 { // 6 s of silence at 5 units a second, where the plan fills 2
		inv := f.accept(1, 2)
		f.timeOutCalls()
		if len(inv.Attempts) > 0 {
			admitted++
			f.end(inv, Succeeded)
		}
		f.wait(0.2)
	}
	if admitted < 3 || admitted > 17 { // the whole quota would be 10 + 12
		t.Fatalf("%v units admitted without the counter", admitted)
	}
	f.accept(1, 2)
	f.replyTotal(f.calls[f.replied].amount) // a new window, and nothing of the silence was added
	f.wait(1)
	if owed := f.calls[len(f.calls)-1].amount; owed < admitted/2 {
		t.Fatalf("admitted %v, told %v", admitted, owed)
	}
}

func TestPeerMessageCutsLocalAdmissions(t *testing.T) {
	f := newHarnessOf(t, Plan{Name: "p", Rate: 20, Burst: 100}, 100)
	f.gateway.counter.limiter = overload.NewCallLimiter(false, 0)
	admitted := func() (n int) {
		for range 200 {
			f.wait(0.1)
			if f.passes(1, 1) {
				n++
			}
		}
		return n
	}
	all := admitted()
	for range 4 {
		f.gateway.PeerMessage(f.now, 0, "=p c")
		f.gateway.PeerMessage(f.now, 0, "=q c") // an unknown plan, and nonsense: dropped
		f.gateway.PeerMessage(f.now, 0, "= ")
		f.wait(1.1)
	}
	if cut := admitted(); all < 190 || cut > all*2/3 || cut == 0 {
		t.Fatalf("%d admitted before peers said it was over, %d after", all, cut)
	}
}

// Without a call a concurrency quota of two was one for each of two API gateways, though the other has seldom anything out.
func TestConcurrencyQuotaWithoutCallsGoesByUsualSlotsOfOthers(t *testing.T) {
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

// Each of four API gateways admitted one at any time while the counter was late, and a customer with a concurrency quota of two had
// four out. What totals last told of the others, for each place here, keeps all together near the cap.
func TestBusyConcurrencyQuotaWithoutCallsIsSharedByUse(t *testing.T) {
	p := Plan{Name: "p", MaxConcurrent: 2}
	for others, want := range map[float64]float64{0: 1.5, 3: 0.5} { // their slots for each one here
		f := newHarnessOf(t, p, 4)
		inv := f.accept(1, 4)
		f.replyTotal(p.slotUnit())
		f.end(inv, Succeeded)
		f.replyTotal(0)
		for range 30 { // totals: one slot held here beside the one that is tried for, and the others'
			f.gateway.applyTotal(f.now, &counterCall{customer: inv.customer, invocation: &Invocation{operation: inv.operation}, slots: 1, countedSlots: 2}, (2+others)*p.slotUnit())
		}
		f.gateway.counter.limiter.Tokens, f.gateway.counter.limiter.Rate, f.gateway.counter.limiter.UpdatedAt = -1e6, 0, f.now
		out, tries := 0, 2000
		var at []*Invocation
		for range tries { // one every 10 ms, served in 50 ms
			at = append(at, f.accept(1, 4))
			if n := len(at); n > 5 && at[n-6].inFlight > 0 {
				f.end(at[n-6], Succeeded)
			}
			out += f.gateway.customers.byID["p c"].slots.open
			f.wait(0.01)
		}
		if mean := float64(out) / float64(tries); mean < want-0.3 || mean > want+0.3 {
			t.Errorf("others hold %.0f for each here: %.2f out in the mean, want about %.1f", others, mean, want)
		}
	}
}

// A customer far under its quota came in mostly through one API gateway: without calls it was throttled there by an even
// share of its quota though most of it was unused. One that a total of late showed to be over gets no more than that.
func TestCustomerFarFromQuotaIsAdmittedWithoutCalls(t *testing.T) {
	for _, known := range []bool{false, true} {
		f := newHarnessOf(t, Plan{Name: "p", Rate: 10, Burst: 60}, 300)
		f.gateway.counter.limiter = overload.NewCallLimiter(false, 0)
		if known {
			f.gateway.PeerMessage(f.now, 0, "=p c")
			f.wait(1)
		}
		admitted := 0.0
		for range 75 { // 3 units each 1.25 s, a quarter of its quota, where its share is a sixth
			f.wait(1.25)
			if f.passes(3, 6) {
				admitted++
			}
		}
		if !known && admitted < 73 || known && admitted > 68 {
			t.Fatalf("known to be over %v: %v of 75 admitted", known, admitted)
		}
	}
}

// Without a call a customer's quota is shared by who is there: with half of the four gone for good, each lets in the root of
// two times its part, and the hard ceiling goes on being divided by all four.
func TestLocalShareFollowsLiveGateways(t *testing.T) {
	letIn := func(p Plan, peers *membership.Detector) (n int) {
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
	half := func() *membership.Detector { // one of four that has heard of one other only
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
	if n := half().AliveCount(); n != 2 {
		t.Fatalf("%d are there", n)
	}
	p := Plan{Name: "p", Rate: 20, Burst: 20}
	alone, two := letIn(p, nil), letIn(p, half())
	if r := float64(two) / float64(alone); r < 1.3 || r > 1.5 {
		t.Errorf("%d admitted by the list, %d by who is there", alone, two)
	}
	p = Plan{Name: "p", CeilingRate: 20, CeilingBurst: 20}
	if alone, two = letIn(p, nil), letIn(p, half()); alone != two {
		t.Errorf("under a ceiling %d and %d", alone, two)
	}
}
