package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

const (
	messageQueue         = 4096 // messages queued for one peer
	snapshotQueue        = 256  // snapshots queued for one peer
	peerDialTimeout      = time.Second
	minRedialDelay       = 10 * time.Millisecond
	maxRedialDelay       = 200 * time.Millisecond
	messageWriteTimeout  = 2 * time.Second
	snapshotChunkBytes   = 32 << 10
	snapshotBurstBytes   = 64 << 10 // burst of the rate limiter
	snapshotWriteTimeout = 5 * time.Second
	snapshotAckTimeout   = 5 * time.Second // for the peer to read the whole snapshot after it was written
)

// peerStream sends to one peer: messages on one connection, and each snapshot on a further connection at a limited rate.
type peerStream struct {
	transport *transport
	number    int
	messages  chan []byte // encoded frames
	snapshots chan []byte // encoded frames
	limiter   *rate.Limiter

	mu      sync.Mutex
	address string
}

// newPeerStream returns a stream to a peer. snapshotRate is in bytes/s.
func newPeerStream(t *transport, number int, address string, snapshotRate float64) *peerStream {
	return &peerStream{
		transport: t,
		number:    number,
		address:   address,
		messages:  make(chan []byte, messageQueue),
		snapshots: make(chan []byte, snapshotQueue),
		limiter:   rate.NewLimiter(rate.Limit(snapshotRate), snapshotBurstBytes),
	}
}

func (p *peerStream) setAddress(address string) {
	p.mu.Lock()
	p.address = address
	p.mu.Unlock()
}

// dial opens a connection and adds it to the transport's connSet, which closes it.
func (p *peerStream) dial() (net.Conn, error) {
	p.mu.Lock()
	address := p.address
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(p.transport.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if !p.transport.conns.add(conn) {
		return nil, context.Canceled
	}
	return conn, nil
}

// runMessages sends messages, and reconnects when a connection ends. If the peer then refuses the connection, its process has
// ended. The node is notified, so that it need not wait for the peer to time out.
func (p *peerStream) runMessages() error {
	t, delay, wasConnected := p.transport, minRedialDelay, false
	for t.ctx.Err() == nil {
		conn, err := p.dial()
		if err == nil {
			p.sendMessages(conn)
			delay, wasConnected = minRedialDelay, true
			continue
		}
		if wasConnected && errors.Is(err, syscall.ECONNREFUSED) {
			wasConnected = false
			t.server.enqueue(func() { t.server.node.PeerDown(t.server.now(), p.number) })
		}
		p.discardMessages()
		select {
		case <-t.ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
	return nil
}

// discardMessages drops all queued messages. They were meant for the previous connection.
func (p *peerStream) discardMessages() {
	for {
		select {
		case <-p.messages:
		default:
			return
		}
	}
}

// sendMessages sends queued messages on one connection until the connection ends, and closes it.
func (p *peerStream) sendMessages(conn net.Conn) {
	t := p.transport
	defer t.conns.close(conn)
	ended := make(chan struct{})
	t.group.Go(func() error {
		_, _ = io.Copy(io.Discard, conn) // the peer sends nothing; this returns when it closes the connection
		close(ended)
		return nil
	})
	hello, err := t.server.node.Hello().AppendTo(nil) // constant, so safe to read outside the event loop
	if err != nil {
		return
	}
	// bufio.Writer keeps the error of a write, and the next Flush returns it.
	w := bufio.NewWriterSize(conn, streamBuffer)
	_, _ = w.Write(hello)
	for {
		if w.Flush() != nil {
			return
		}
		select {
		case <-ended:
			return
		case <-t.ctx.Done():
			return
		case message := <-p.messages:
			_ = conn.SetWriteDeadline(time.Now().Add(messageWriteTimeout))
			_, _ = w.Write(message)
			for n := len(p.messages); n > 0; n-- {
				_, _ = w.Write(<-p.messages)
			}
		}
	}
}

// runSnapshots sends queued snapshots one after another, each on its own connection.
func (p *peerStream) runSnapshots() error {
	t := p.transport
	for {
		select {
		case <-t.ctx.Done():
			return nil
		case snapshot := <-p.snapshots:
			if p.sendSnapshot(snapshot) != nil {
				t.server.enqueue(func() { t.server.node.SnapshotFailed(t.server.now(), p.number) })
			}
		}
	}
}

// sendSnapshot sends one snapshot at the limited rate, and waits until the peer has read all of it.
func (p *peerStream) sendSnapshot(snapshot []byte) error {
	t := p.transport
	conn, err := p.dial()
	if err != nil {
		return err
	}
	defer t.conns.close(conn)
	hello, err := t.server.node.Hello().AppendTo(nil)
	if err != nil {
		return err
	}
	for _, frame := range [][]byte{hello, snapshot} {
		if err := p.sendLimited(conn, frame); err != nil {
			return err
		}
	}
	// The peer closes its side after it has read everything.
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(snapshotAckTimeout))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return fmt.Errorf("peer may not have received the snapshot: %w", err)
	}
	return nil
}

// sendLimited writes a frame at the limited rate.
func (p *peerStream) sendLimited(conn net.Conn, frame []byte) error {
	for len(frame) > 0 {
		n := min(len(frame), snapshotChunkBytes)
		if err := p.limiter.WaitN(p.transport.ctx, n); err != nil {
			return err
		}
		_ = conn.SetWriteDeadline(time.Now().Add(snapshotWriteTimeout))
		if _, err := conn.Write(frame[:n]); err != nil {
			return err
		}
		frame = frame[n:]
	}
	return nil
}
