// Package gateway is the api gateway on sockets, built round the deciding module.
//
// This file owns the buffers: all of one size, taken here and given back here, used again from a bounded pool. It
// must never hand one buffer to two owners; whoever holds one passes it on whole or gives it back once.
package gateway

import "otterseam/http1"

// Buffer holds one message, read or about to be written, with its place in memory.
type Buffer struct {
	http1.Message
	Bytes []byte
	lent  bool
}

type Buffers struct{ kept chan *Buffer }

// NewBuffers keeps at most so many for later use; beyond them memory goes back to the collector.
func NewBuffers(most int) *Buffers { return &Buffers{kept: make(chan *Buffer, most)} }

func (p *Buffers) Take() *Buffer {
	var b *Buffer
	select {
	case b = <-p.kept:
	default:
		b = &Buffer{Bytes: make([]byte, http1.Room)}
	}
	b.lent = true
	return b
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
	select {
	case p.kept <- b:
	default:
	}
}
