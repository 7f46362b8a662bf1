package netproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	readSize      = 16 << 10 // bytes
	pipeSegments  = 64       // that wait in a pipe; the sender isn't read on past them
	enqueuePoll   = 50 * time.Millisecond
	dequeuePoll   = 100 * time.Millisecond
	truncatePause = 2 * time.Millisecond
)

// segment is what one read of a sender gave.
type segment struct {
	bytes   []byte
	arrived time.Time
	onPass  func() // called once what came before it has been passed on
	end     bool   // the sender sends no more
}

// pipe carries one direction of a connection.
type pipe struct {
	connection *connection
	direction  Direction
	segments   chan segment

	mu         sync.Mutex // guards all below
	truncate   bool       // half of the next segment is passed on, then the connection is reset
	discards   bool       // what comes is passed to nobody
	senderGone bool       // the end that it reads was closed by closeEnd
}

func newPipe(c *connection, direction Direction) *pipe {
	return &pipe{connection: c, direction: direction, segments: make(chan segment, pipeSegments)}
}

func (p *pipe) truncateNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.truncate = true
}

// discard has what comes passed to nobody from now on.
func (p *pipe) discard(senderGone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discards = true
	p.senderGone = senderGone
}

func (p *pipe) state() (discards, senderGone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.discards, p.senderGone
}

// readFrom takes what a sender sends until that ends.
func (p *pipe) readFrom(sender net.Conn) {
	for {
		buffer := make([]byte, readSize)
		n, err := sender.Read(buffer)
		if n > 0 && !p.enqueue(segment{bytes: buffer[:n], arrived: time.Now()}) {
			return
		}
		if err != nil {
			p.senderEnded(err)
			return
		}
	}
}

func (p *pipe) senderEnded(err error) {
	p.connection.setShut(p.direction)
	discards, gone := p.state()
	switch {
	case gone:
	case !errors.Is(err, io.EOF) && !discards:
		p.connection.close(true) // a reset on one side is one on the other
	default:
		p.enqueue(segment{end: true, arrived: time.Now()})
	}
}

// enqueue waits for room in the pipe; false: the connection has been closed meanwhile.
func (p *pipe) enqueue(s segment) bool {
	for {
		select {
		case p.segments <- s:
			return true
		case <-time.After(enqueuePoll):
			if p.connection.isClosed() {
				return false
			}
		}
	}
}

// writeTo passes on what has come, as the link's faults allow, until there is no more.
func (p *pipe) writeTo(receiver net.Conn) {
	for {
		select {
		case next := <-p.segments:
			if !p.pass(next, receiver) {
				return
			}
		case <-time.After(dequeuePoll):
			if p.connection.isClosed() {
				return
			}
		}
	}
}

// pass passes one segment on; false: it was the last one.
func (p *pipe) pass(next segment, receiver net.Conn) bool {
	c := p.connection
	if !c.link.waitToPass(p.direction, len(next.bytes), next.arrived, c.isClosed) {
		return false
	}
	p.mu.Lock()
	truncate := p.truncate
	discards := p.discards
	p.mu.Unlock()
	switch {
	case next.onPass != nil:
		if !c.isShut(p.direction.opposite()) { // else it was written to nobody
			next.onPass()
		}
		return true
	case truncate && len(next.bytes) > 0:
		_, _ = receiver.Write(next.bytes[:len(next.bytes)/2]) // the connection ends whether it gets there or not
		time.Sleep(truncatePause)                             // a reset at once would take back what was written
		c.close(true)
		return false
	case next.end:
		p.passEnd(receiver, discards)
		return false
	case discards:
		return true
	}
	if _, err := receiver.Write(next.bytes); err != nil {
		c.close(true)
		return false
	}
	return true
}

// passEnd tells the receiver that no more comes.
func (p *pipe) passEnd(receiver net.Conn, discards bool) {
	if discards { // the receiver is gone
		p.connection.close(false)
		return
	}
	if half, ok := receiver.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if closed already
	}
	p.connection.endSending()
}
