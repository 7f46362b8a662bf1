// Package server is the api gateway on sockets, built round the deciding module.
//
// This file owns the buffers: taken here and given back here, used again from bounded pools. Each is small; one whose
// message does not fit is lent a large room until it is given back, and of these only so many are out at once. It must
// never hand one buffer to two owners; whoever holds one passes it on whole or gives it back once.
package server

import (
	"sync/atomic"

	"otterseam/gateway/http1"
)

// Buffer holds one message, read or about to be written, with its place in memory.
type Buffer struct {
	http1.Message
	Bytes   []byte
	own     []byte // its own
	isLarge bool   // Bytes are a large room
	inUse   bool
}

// Buffers guards against memory that grows with connections: a large room each, most of them idle, is what a small
// machine has not got.
type BufferPool struct {
	free       chan *Buffer
	freeLarge  chan []byte
	largeInUse atomic.Int32 // large rooms lent
	maxLarge   int32
}

// NewBuffers keeps at most so many for later use; beyond them memory goes back to the collector. most is how many large
// rooms are lent at once.
func NewBufferPool(maxFree, maxLarge int) *BufferPool {
	return &BufferPool{free: make(chan *Buffer, maxFree), freeLarge: make(chan []byte, min(maxFree, maxLarge, 16)), maxLarge: int32(maxLarge)}
}

// Take lends a buffer, ready for a message.
func (p *BufferPool) Get(isResponse bool) *Buffer {
	var b *Buffer
	select {
	case b = <-p.free:
	default:
		b = &Buffer{own: make([]byte, http1.SmallBufferBytes)}
	}
	b.Bytes, b.inUse = b.own, true
	b.Reset(b.Bytes, isResponse)
	return b
}

// Follow lends a buffer for what follows a whole message, and says how many bytes of it have come; nil: no room.
func (p *BufferPool) GetFollowing(b *Buffer) (next *Buffer, n int) {
	next = p.Get(false)
	if len(b.Rest()) > len(next.Bytes) && !p.Grow(next, p.maxLarge) {
		p.Put(next)
		return nil, 0
	}
	return next, copy(next.Space(), b.Rest())
}

// Grow lends a large room to a buffer that is full, unless so many are out.
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

// Give takes a buffer back; nil is nothing.
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
	b.Reset(nil, false) // keeps no room alive but its own
	select {
	case p.free <- b:
	default:
	}
}
