package memorybudget

import (
	"errors"
	"testing"
	"time"
)

func TestTryReserveMakesNobodyYield(t *testing.T) {
	b := NewBudget(testLimit)
	holder, evictions := open(t, b, 3*testLimit/4, start)
	c, _ := open(t, b, 1, start)
	if err := c.TryReserve(testLimit / 4); !errors.Is(err, ErrSpent) || *evictions != 0 || holder.Evicted() {
		t.Fatalf("%v, %d evictions", err, *evictions)
	}
	if err := c.TryReserve(testLimit/4 - 1); !errors.Is(err, ErrSpent) {
		t.Fatalf("a large message takes the quarter of small ones: %v", err)
	}
	holder.Close()
	if err := c.TryReserve(testLimit / 4); err != nil || b.Used() != testLimit/4+1 {
		t.Fatalf("%v, %d bytes used", err, b.Used())
	}
}

func TestMessagesOfTheMinimumDontYield(t *testing.T) {
	const minimum = 16 << 10
	b := NewBudget(8 * minimum)
	b.MinEvictionBytes = minimum
	var holders []*Claim
	for range 7 {
		holder, _ := open(t, b, minimum, start)
		holders = append(holders, holder)
	}
	large, evictions := open(t, b, minimum, start)
	c := &Claim{}
	now := start.Add(time.Minute)
	b.Open(c, now, nil)
	if wait, err := c.Reserve(minimum, now); wait == nil || err != nil || *evictions != 0 {
		t.Fatalf("%v, %d evictions", err, *evictions)
	}
	holders[0].Close()
	c.Waited()
	if wait, err := large.Reserve(1, now); wait != nil || err != nil {
		t.Fatal(err)
	}
	if wait, err := c.Reserve(minimum, now); wait == nil || err != nil || *evictions != 1 {
		t.Fatalf("the message above the minimum: %v, %d evictions", err, *evictions)
	}
}

func TestAwaitEndsWhenMemoryIsReleased(t *testing.T) {
	b := NewBudget(testLimit)
	holder := &Claim{}
	b.Open(holder, time.Now(), nil)
	if err := holder.Await(testLimit/2, 0); err != nil {
		t.Fatal(err)
	}
	c := &Claim{}
	b.Open(c, time.Now(), nil)
	if err := c.Await(testLimit/2, time.Nanosecond); !errors.Is(err, ErrSpent) {
		t.Fatal(err)
	}
	reserved := make(chan error)
	go func() { reserved <- c.Await(testLimit/2, time.Minute) }()
	holder.Close()
	if err := <-reserved; err != nil {
		t.Fatal(err)
	}
}
