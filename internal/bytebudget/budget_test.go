package bytebudget

import (
	"context"
	"errors"
	"testing"
)

func TestLargePiecesShareTheBudget(t *testing.T) {
	b := New(3 * LargeBytes)
	releaseFirst, ok := b.TryAcquire(2 * LargeBytes)
	if !ok {
		t.Fatal("the first piece doesn't fit")
	}
	if _, ok := b.TryAcquire(2 * LargeBytes); ok {
		t.Fatal("a second piece fits")
	}
	if _, ok := b.TryAcquire(LargeBytes - 1); !ok {
		t.Fatal("a small piece doesn't fit")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := b.Acquire(ended, 2*LargeBytes); !errors.Is(err, context.Canceled) {
		t.Fatalf("after the context ended: %v", err)
	}
	releaseFirst()
	release, err := b.Acquire(context.Background(), 10*b.Bytes())
	if err != nil {
		t.Fatalf("a piece larger than the budget, alone: %v", err)
	}
	if _, ok := b.TryAcquire(LargeBytes); ok {
		t.Fatal("another piece fits beside it")
	}
	release()
	if _, ok := b.TryAcquire(3 * LargeBytes); !ok {
		t.Fatal("the budget was not given back whole")
	}
}
