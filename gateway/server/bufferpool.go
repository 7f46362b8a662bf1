package server

import (
	"sync/atomic"

	"otterseam/gateway/http1"
)

// maxFreeLarge is the maximum number of unused large arrays that are kept for reuse.
const maxFreeLarge = 16

// Buffer holds one message that was read or is about to be written, and its memory.
type Buffer struct {
	http1.Message
	Bytes []byte // the array that holds the message, small or large

	small   []byte // the buffer's own array of http1.SmallBufferBytes
	isLarge bool   // Bytes is a large array of http1.MaxMessageBytes, owned by the pool
	inUse   bool
}

// BufferPool provides buffers for messages. Each buffer has a small array of its own. A buffer whose message does not fit gets a
// large array until it is returned. The number of large arrays is limited, because a large array for each of many idle connections
// would exceed the memory of a small machine. A buffer has one owner at a time, which either passes it on or returns it exactly
// once. The pool is safe for concurrent use.
type BufferPool struct {
	free       chan *Buffer
	freeLarge  chan []byte
	largeInUse atomic.Int32
	maxLarge   int32
}

// NewBufferPool returns a pool that keeps at most maxFree unused buffers; the garbage collector frees the others. At most maxLarge
// large arrays are in use at a time.
func NewBufferPool(maxFree, maxLarge int) *BufferPool {
	return &BufferPool{
		free:      make(chan *Buffer, maxFree),
		freeLarge: make(chan []byte, min(maxFree, maxLarge, maxFreeLarge)),
		maxLarge:  int32(maxLarge),
	}
}

// Get returns a buffer that is ready for a message.
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

// GetFollowing returns a buffer that holds the bytes after the complete message in b, and the number of these bytes. It returns nil
// if they need a large array and none is available.
func (p *BufferPool) GetFollowing(b *Buffer) (next *Buffer, n int) {
	next = p.Get(false)
	if len(b.Rest()) > len(next.Bytes) && !p.Grow(next, p.maxLarge) {
		p.Put(next)
		return nil, 0
	}
	return next, copy(next.Space(), b.Rest())
}

// Grow moves the message in a full buffer to a large array, unless limit of them are in use.
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

// Put returns a buffer to the pool. A nil buffer is ignored. Put panics if the buffer was already returned.
func (p *BufferPool) Put(b *Buffer) {
	if b == nil {
		return
	}
	if !b.inUse {
		panic("buffer returned to the pool twice")
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
	b.Reset(nil, false) // so that it references no memory but its own
	select {
	case p.free <- b:
	default:
	}
}
