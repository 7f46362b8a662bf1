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
	pipeSegments  = 64       // capacity of a pipe; while it is full, no more data is read from the sender
	enqueuePoll   = 50 * time.Millisecond
	dequeuePoll   = 100 * time.Millisecond
	truncatePause = 2 * time.Millisecond
)

// segment is the data of one read or write of a sender, or a marker between data.
type segment struct {
	bytes   []byte
	arrived time.Time
	onPass  func() // called after the data before it has been forwarded
	end     bool   // the sender has finished sending
}

// pipe carries one direction of a connection.
type pipe struct {
	connection *connection
	direction  Direction
	segments   chan segment

	mu         sync.Mutex // guards all below
	truncate   bool       // half of the next segment is forwarded, then the connection is reset
	discarding bool       // incoming data is dropped
	senderGone bool       // the sending end was closed by closeEnd
}

func newPipe(c *connection, direction Direction) *pipe {
	return &pipe{connection: c, direction: direction, segments: make(chan segment, pipeSegments)}
}

func (p *pipe) truncateNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.truncate = true
}

// discard makes the pipe drop incoming data. senderGone means that the sending end is the closed one.
func (p *pipe) discard(senderGone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discarding = true
	p.senderGone = senderGone
}

func (p *pipe) state() (discarding, senderGone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.discarding, p.senderGone
}

// readFrom reads from a sender into the pipe until the sender or the connection ends.
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
	p.connection.setFinished(p.direction)
	discarding, gone := p.state()
	switch {
	case gone:
	case !errors.Is(err, io.EOF) && !discarding:
		p.connection.close(true) // a reset on one side is forwarded to the other
	default:
		p.enqueue(segment{end: true, arrived: time.Now()})
	}
}

// enqueue adds a segment, waiting while the pipe is full. It returns false if the connection is closed meanwhile.
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

// writeTo forwards the segments to a receiver, subject to the link's faults, until the last one or the end of the connection.
func (p *pipe) writeTo(receiver net.Conn) {
	for {
		select {
		case next := <-p.segments:
			if !p.forward(next, receiver) {
				return
			}
		case <-time.After(dequeuePoll):
			if p.connection.isClosed() {
				return
			}
		}
	}
}

// forward writes one segment to the receiver. It returns false after the last one and when the connection has ended.
func (p *pipe) forward(next segment, receiver net.Conn) bool {
	c := p.connection
	if !c.link.waitToForward(p.direction, len(next.bytes), next.arrived, c.isClosed) {
		return false
	}
	p.mu.Lock()
	truncate := p.truncate
	discarding := p.discarding
	p.mu.Unlock()
	switch {
	case next.onPass != nil:
		if !c.isFinished(p.direction.opposite()) { // otherwise there is no reader for the data
			next.onPass()
		}
		return true
	case truncate && len(next.bytes) > 0:
		_, _ = receiver.Write(next.bytes[:len(next.bytes)/2]) // the connection is closed whether this succeeds or not
		time.Sleep(truncatePause)                             // an immediate reset would discard the written data
		c.close(true)
		return false
	case next.end:
		p.forwardEnd(receiver, discarding)
		return false
	case discarding:
		return true
	}
	if _, err := receiver.Write(next.bytes); err != nil {
		c.close(true)
		return false
	}
	return true
}

// forwardEnd forwards the end of the data to the receiver.
func (p *pipe) forwardEnd(receiver net.Conn, discarding bool) {
	if discarding { // the receiving end was closed
		p.connection.close(false)
		return
	}
	if half, ok := receiver.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails only if closed already
	}
	p.connection.endDirection()
}
