package memorybudget

import (
	"errors"
	"testing"
	"time"
)

const testLimit = 4 << 20

var start = time.Unix(1_000_000, 0)

// open opens a claim with reserved bytes. *evictions counts the calls of its evict function.
func open(t *testing.T, b *Budget, bytes int64, at time.Time) (c *Claim, evictions *int) {
	t.Helper()
	c = &Claim{}
	evictions = new(int)
	b.Open(c, at, func() { *evictions++ })
	if wait, err := c.Reserve(bytes, at); wait != nil || err != nil {
		t.Fatalf("%d bytes: %v, %v", bytes, wait, err)
	}
	return c, evictions
}

func TestSmallRequestsUseWhatLargeOnesLeave(t *testing.T) {
	b := NewBudget(testLimit)
	large, _ := open(t, b, 3*testLimit/4, start)
	if err := large.Received(); err != nil {
		t.Fatal(err)
	}
	other := &Claim{}
	b.Open(other, start, nil)
	if wait, err := other.Reserve(smallMessageBytes+1, start); wait == nil || err != nil {
		t.Fatalf("a second large request doesn't wait: %v", err)
	}
	if _, err := other.Reserve(testLimit, start); !errors.Is(err, ErrSpent) {
		t.Fatalf("a request that never fits: %v", err)
	}
	if wait, err := other.Reserve(smallMessageBytes, start); wait != nil || err != nil {
		t.Fatalf("a small request: %v", err)
	}
	large.Release(1 << 20)
	if wait, err := other.Reserve(1<<19, start); wait != nil || err != nil {
		t.Fatalf("after a part was released: %v", err)
	}
	large.Close()
	other.Close()
	if b.Used() != 0 {
		t.Fatalf("%d bytes are left after all claims were closed", b.Used())
	}
}

// The request that has held most for longest yields, and neither the newest nor one that is complete.
func TestRequestThatHeldMostForLongestYields(t *testing.T) {
	b := NewBudget(testLimit)
	complete, _ := open(t, b, 1<<20, start)
	if err := complete.Received(); err != nil {
		t.Fatal(err)
	}
	stalled, stalledEvictions := open(t, b, 1<<20, start)
	_, smallEvictions := open(t, b, 1<<10, start)
	_, newerEvictions := open(t, b, 1<<20-1<<10, start.Add(time.Second))
	newest := &Claim{}
	now := start.Add(2 * time.Second)
	b.Open(newest, now, nil)
	wait, err := newest.Reserve(1<<20, now)
	if err != nil || wait == nil {
		t.Fatalf("%v, %v", wait, err)
	}
	if got := [3]int{*stalledEvictions, *smallEvictions, *newerEvictions}; got != [3]int{1, 0, 0} || complete.Evicted() {
		t.Fatalf("evictions of the stalled, the small and the newer request: %v", got)
	}
	if _, err := stalled.Reserve(1, now); !errors.Is(err, ErrEvicted) || !errors.Is(stalled.Received(), ErrEvicted) {
		t.Fatal("a request that yields goes on")
	}
	stalled.Close()
	<-wait
	newest.Waited()
	if wait, err := newest.Reserve(1<<20, now); wait != nil || err != nil {
		t.Fatalf("after the release: %v, %v", wait, err)
	}
}

func TestNobodyYieldsInVain(t *testing.T) {
	b := NewBudget(testLimit)
	complete, _ := open(t, b, 3<<20-100, start)
	if err := complete.Received(); err != nil {
		t.Fatal(err)
	}
	small, evictions := open(t, b, 100, start)
	other := &Claim{}
	now := start.Add(time.Second)
	b.Open(other, now, nil)
	if wait, err := other.Reserve(1<<20, now); wait == nil || err != nil || *evictions != 0 || small.Evicted() {
		t.Fatalf("%v, %d evictions", err, *evictions)
	}
	if _, err := small.Reserve(1, now); err != nil {
		t.Fatal(err)
	}
}

func TestNewRequestsDontYield(t *testing.T) {
	b := NewBudget(testLimit)
	_, evictions := open(t, b, 3*testLimit/4, start)
	other := &Claim{}
	b.Open(other, start, nil)
	if wait, err := other.Reserve(1<<20, start.Add(minEvictionAge/2)); wait == nil || err != nil || *evictions != 0 {
		t.Fatalf("%v, %d evictions", err, *evictions)
	}
}

func TestZeroClaimReservesNothing(t *testing.T) {
	var c Claim
	if wait, err := c.Reserve(1<<40, start); wait != nil || err != nil || c.Evicted() || c.Received() != nil {
		t.Fatal("a claim without a budget is limited")
	}
	c.Close()
}
