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
	messageQueue         = 4096 // messages to one peer
	snapshotQueue        = 256  // snapshots to one peer
	peerDialTimeout      = time.Second
	minDialPause         = 10 * time.Millisecond
	maxDialPause         = 200 * time.Millisecond
	messageWriteTimeout  = 2 * time.Second
	snapshotChunkBytes   = 32 << 10
	snapshotBurstBytes   = 64 << 10 // that the rate limit lets through at once
	snapshotWriteTimeout = 5 * time.Second
	snapshotEndTimeout   = 5 * time.Second // for the peer to have read all
)

// peerStream is the way to one peer: a connection for messages, and further ones for snapshots, which go at a bounded rate.
type peerStream struct {
	transport *transport
	number    int
	messages  chan []byte // encoded frames
	snapshots chan []byte // likewise
	limiter   *rate.Limiter

	mu      sync.Mutex
	address string
}

// newPeerStream makes the stream to a peer. snapshotRate is in bytes a second.
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

// dial opens a connection, which the transport's set closes.
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

// runMessages has one connection after another. If one ends and nobody listens any more, the peer's process has ended, which
// the node need not wait to find out by its silence.
func (p *peerStream) runMessages() error {
	t, pause, wasConnected := p.transport, minDialPause, false
	for t.ctx.Err() == nil {
		conn, err := p.dial()
		if err == nil {
			p.sendMessages(conn)
			pause, wasConnected = minDialPause, true
			continue
		}
		if wasConnected && errors.Is(err, syscall.ECONNREFUSED) {
			wasConnected = false
			t.server.enqueue(func() { t.server.node.PeerDown(t.server.now(), p.number) })
		}
		p.discardMessages()
		select {
		case <-t.ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxDialPause)
	}
	return nil
}

// discardMessages drops what is queued: it was for the connection before.
func (p *peerStream) discardMessages() {
	for {
		select {
		case <-p.messages:
		default:
			return
		}
	}
}

// sendMessages sends what is queued on one connection until it ends, and closes it.
func (p *peerStream) sendMessages(conn net.Conn) {
	t := p.transport
	defer t.conns.close(conn)
	ended := make(chan struct{})
	t.group.Go(func() error {
		_, _ = io.Copy(io.Discard, conn) // nothing is sent back: this ends when the other end does
		close(ended)
		return nil
	})
	hello, err := t.server.node.Hello().AppendTo(nil) // its content never changes
	if err != nil {
		return
	}
	// An error of a write stays with the buffer, and is returned by the next flush.
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

// runSnapshots sends snapshots one after another, each on a connection of its own.
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

// sendSnapshot sends one snapshot at the allowed rate, and waits until the peer has read all of it.
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
	// The peer closes its end once it has read all.
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(snapshotEndTimeout))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return fmt.Errorf("the copy may not have got there: %w", err)
	}
	return nil
}

// sendLimited writes a frame at the allowed rate.
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
