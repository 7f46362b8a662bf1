package policy

import "testing"

func TestHighestPriorityLeavesQueueFirst(t *testing.T) {
	f := newHarness(t, Plan{Name: "p"})
	var first *Invocation
	for range 8 { // four slots at each of two hosts
		first = f.accept(1, 2)
	}
	cheap, valuable := f.accept(1, 2), f.acceptOperation("once", 1, 2)
	f.wantAttempts(cheap, 0)
	f.end(first, Succeeded)
	f.wantAttempts(valuable, 1)
	f.wantAttempts(cheap, 0)
	f.wait(0.6)
	if f.decisions[cheap].Action != Throttle {
		t.Fatalf("want Throttle before the client's deadline, got %+v", f.decisions[cheap])
	}
}
