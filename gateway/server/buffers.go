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
	Bytes []byte
	small []byte // its own
	large bool   // Bytes are a large room
	lent  bool
}

// Buffers guards against memory that grows with connections: a large room each, most of them idle, is what a small
// machine has not got.
type Buffers struct {
	kept  chan *Buffer
	large chan []byte
	out   atomic.Int32 // large rooms lent
	most  int32
}

// NewBuffers keeps at most so many for later use; beyond them memory goes back to the collector. most is how many large
// rooms are lent at once.
func NewBuffers(kept, most int) *Buffers {
	return &Buffers{kept: make(chan *Buffer, kept), large: make(chan []byte, min(kept, most, 16)), most: int32(most)}
}

// Take lends a buffer, ready for a message.
func (p *Buffers) Take(response bool) *Buffer {
	var b *Buffer
	select {
	case b = <-p.kept:
	default:
		b = &Buffer{small: make([]byte, http1.SmallBufferBytes)}
	}
	b.Bytes, b.lent = b.small, true
	b.Reset(b.Bytes, response)
	return b
}

// Follow lends a buffer for what follows a whole message, and says how many bytes of it have come; nil: no room.
func (p *Buffers) Follow(b *Buffer) (next *Buffer, n int) {
	next = p.Take(false)
	if len(b.Rest()) > len(next.Bytes) && !p.Grow(next, p.most) {
		p.Give(next)
		return nil, 0
	}
	return next, copy(next.Space(), b.Rest())
}

// Grow lends a large room to a buffer that is full, unless so many are out.
func (p *Buffers) Grow(b *Buffer, most int32) bool {
	if b.large || p.out.Load() >= most {
		return false
	}
	p.out.Add(1)
	select {
	case b.Bytes = <-p.large:
	default:
		b.Bytes = make([]byte, http1.MaxMessageBytes)
	}
	b.large = true
	b.MoveTo(b.Bytes)
	return true
}

// Give takes a buffer back; nil is nothing.
func (p *Buffers) Give(b *Buffer) {
	if b == nil {
		return
	}
	if !b.lent {
		panic("a buffer was given back twice")
	}
	b.lent = false
	if b.large {
		p.out.Add(-1)
		select {
		case p.large <- b.Bytes:
		default:
		}
	}
	b.Bytes, b.large = nil, false
	b.Reset(nil, false) // keeps no room alive but its own
	select {
	case p.kept <- b:
	default:
	}
}
