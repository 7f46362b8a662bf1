package policy

import "testing"

// A retry requires proof that nothing has run, or an operation that may run again. A retry of an operation deduplicated by zone
// must stay in its zone.
func TestRetryByEffectAndOutcome(t *testing.T) {
	const fails, retries, mayRetry = "fails", "retries", "retries where the host's zone allows it"
	for _, c := range []struct {
		operation string
		outcome   Outcome
		want      string
	}{
		{"read", Rejected, retries},
		{"read", Failed, retries},
		{"read", TimedOut, retries},
		{"read", Reset, retries},
		{"read", Cancelled, retries},
		{"read", NoConnection, retries},
		{"mark", Rejected, mayRetry},
		{"mark", NoConnection, mayRetry},
		{"mark", NotSent, mayRetry},
		{"mark", Failed, mayRetry},
		{"mark", TimedOut, mayRetry},
		{"once", Rejected, retries},
		{"once", NoConnection, retries},
		{"once", NotSent, retries},
		{"once", Failed, fails},
		{"once", TimedOut, fails},
		{"once", Reset, fails},
		{"once", Cancelled, fails},
	} {
		t.Run(c.operation+" "+string(rune(c.outcome)), func(t *testing.T) {
			f := newHarness(t, Plan{Name: "p"})
			inv := f.acceptOperation(c.operation, 1, 2)
			f.wantAttempts(inv, 1)
			f.end(inv, c.outcome)
			retried := len(inv.Attempts) == 2
			if c.want != mayRetry && retried != (c.want == retries) {
				t.Errorf("%d attempts, %+v", len(inv.Attempts), f.decisions[inv])
			}
			if f.decisions[inv].Action == Throttle {
				t.Errorf("throttled: %+v", f.decisions[inv])
			}
			if c.want == fails && f.decisions[inv].Action != Fail {
				t.Errorf("want a failure, got %+v", f.decisions[inv])
			}
			proved := c.outcome.neverRan()
			if c.want == mayRetry && !proved && retried && inv.Attempts[0].Host.zone != inv.Attempts[1].Host.zone {
				t.Error("a deduplicated retry left its zone")
			}
		})
	}
}

func TestDeduplicatedFailsAfterItsWindow(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	inv := f.acceptOperation("mark", 1, 2)
	f.gateway.operations["mark"].LatencyTarget, inv.targetAt = 4, f.now+4
	f.now += 2.1 // its deduplication window is 2 s
	f.end(inv, Failed)
	f.wantAttempts(inv, 1)
	if f.decisions[inv].Action != Fail {
		t.Fatalf("want Fail, got %+v", f.decisions[inv])
	}
}

// A retry of a deduplicated operation may wait for its connection until its deduplication window has ended.
func TestConfirmSendRefusesRetryAfterDedupWindow(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	f.gateway.UpdateHosts(f.now, []HostEntry{{Addr: "a", Zone: "z", State: "active"}, {Addr: "b", Zone: "z", State: "active"}}, true)
	inv := f.acceptOperation("mark", 1, 1)
	first := inv.Attempts[0]
	if !f.gateway.ConfirmSend(f.now, first) {
		t.Fatal("the first attempt is not confirmed")
	}
	f.now += 0.3
	f.end(inv, Reset)
	f.wait(0.1)
	f.wantAttempts(inv, 2)
	again := inv.Attempts[1]
	if f.now = first.sentAt + 1.99; !f.gateway.ConfirmSend(f.now, again) {
		t.Error("a retry within the window is not confirmed")
	}
	if f.now = first.sentAt + 2; f.gateway.ConfirmSend(f.now, again) {
		t.Error("a retry after the window is confirmed")
	}
}
