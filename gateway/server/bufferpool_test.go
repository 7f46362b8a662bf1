package server

import (
	"testing"
)

func TestBufferGivenBackTwiceIsNoticed(t *testing.T) {
	p := NewBufferPool(1, 1)
	b := p.Get(false)
	p.Put(b)
	defer func() {
		if recover() == nil {
			t.Fatal("not noticed")
		}
	}()
	p.Put(b)
}

func TestLargeBuffersAreBounded(t *testing.T) {
	p := NewBufferPool(4, 1)
	a, b := p.Get(false), p.Get(false)
	if !p.Grow(a, 1) || p.Grow(b, 1) {
		t.Fatal("one large room, and no more, was to be had")
	}
	p.Put(a)
	if !p.Grow(b, 1) {
		t.Fatal("the room given back is not lent again")
	}
}
