package server

import (
	"sync/atomic"

	"otterseam/gateway/http1"
)

// mostFreeLarge is how many large areas are kept for later use at most.
const mostFreeLarge = 16

// Buffer holds one message, read or about to be written, with its place in memory.
type Buffer struct {
	http1.Message
	Bytes []byte // where the message is, in the small area or in a large one

	small   []byte // the buffer's own area, http1.SmallBufferBytes
	isLarge bool   // Bytes is a large area, http1.MaxMessageBytes, lent by the pool
	inUse   bool
}

// BufferPool lends buffers for messages. Each has a small area of its own; one whose message does not fit is lent a large area
// until it is given back. The number of large areas is bounded, as a large one for each of many idle connections is more than a
// small machine has. A buffer has one owner at a time: whoever holds it passes it on whole or gives it back once. The pool is
// safe for concurrent use.
type BufferPool struct {
	free       chan *Buffer
	freeLarge  chan []byte
	largeInUse atomic.Int32
	maxLarge   int32
}

// NewBufferPool keeps at most maxFree buffers for later use; beyond them memory goes back to the collector. maxLarge is how many
// large areas are lent at once.
func NewBufferPool(maxFree, maxLarge int) *BufferPool {
	return &BufferPool{
		free:      make(chan *Buffer, maxFree),
		freeLarge: make(chan []byte, min(maxFree, maxLarge, mostFreeLarge)),
		maxLarge:  int32(maxLarge),
	}
}

// Get lends a buffer, ready for a message.
func (p *BufferPool) Get(isResponse bool) *Buffer {
	var b *Buffer
	select {
	case b = <-p.free:
	default:
		b = &Buffer{small: make([]byte, http1.SmallBufferBytes)}
	}
	b.Bytes = b.small
	b.inUse = true
	b.Reset(b.Bytes, isResponse)
	return b
}

// GetFollowing lends a buffer that holds what has come behind a whole message; n is how many bytes that is. nil: no large area
// is left for it.
func (p *BufferPool) GetFollowing(b *Buffer) (next *Buffer, n int) {
	next = p.Get(false)
	if len(b.Rest()) > len(next.Bytes) && !p.Grow(next, p.maxLarge) {
		p.Put(next)
		return nil, 0
	}
	return next, copy(next.Space(), b.Rest())
}

// Grow lends a large area to a buffer that is full, unless limit of them are lent.
func (p *BufferPool) Grow(b *Buffer, limit int32) bool {
	if b.isLarge || p.largeInUse.Load() >= limit {
		return false
	}
	p.largeInUse.Add(1)
	select {
	case b.Bytes = <-p.freeLarge:
	default:
		b.Bytes = make([]byte, http1.MaxMessageBytes)
	}
	b.isLarge = true
	b.MoveTo(b.Bytes)
	return true
}

// Put takes a buffer back; nil is nothing. It panics if the buffer was given back before.
func (p *BufferPool) Put(b *Buffer) {
	if b == nil {
		return
	}
	if !b.inUse {
		panic("a buffer was given back twice")
	}
	b.inUse = false
	if b.isLarge {
		p.largeInUse.Add(-1)
		select {
		case p.freeLarge <- b.Bytes:
		default:
		}
	}
	b.Bytes, b.isLarge = nil, false
	b.Reset(nil, false) // so that it keeps no memory alive but its own
	select {
	case p.free <- b:
	default:
	}
}
