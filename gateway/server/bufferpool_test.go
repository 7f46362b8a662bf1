package server

import (
	"testing"
)

func TestPutPanicsOnDoubleReturn(t *testing.T) {
	p := NewBufferPool(1, 1)
	b := p.Get(false)
	p.Put(b)
	defer func() {
		if recover() == nil {
			t.Fatal("no panic on a second Put")
		}
	}()
	p.Put(b)
}

func TestLargeBuffersAreBounded(t *testing.T) {
	p := NewBufferPool(4, 1)
	a, b := p.Get(false), p.Get(false)
	if !p.Grow(a, 1) || p.Grow(b, 1) {
		t.Fatal("want exactly one large array available")
	}
	p.Put(a)
	if !p.Grow(b, 1) {
		t.Fatal("the returned large array is not available again")
	}
}
