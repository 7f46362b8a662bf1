package rpc

import (
	"context"
	"sync"
	"time"

	"otterseam/internal/bytebudget"
	"otterseam/tier/codes"
)

// redialDelay is how long a client waits after a failed dial before the next one.
const redialDelay = 50 * time.Millisecond

// Client maintains one connection to one address and reopens it when needed.
type Client struct {
	address string
	handler Handler
	frames  *bytebudget.Budget // limits the frames that are received; nil for no limit

	mu            sync.Mutex      // guards the fields below
	conn          *Conn           // nil until the first dial succeeds; may have ended
	dialing       chan struct{}   // closed when the current dial has ended; nil if there is none
	pending       pendingMessages // one-way messages that wait for a dial
	failedAt      time.Time       // time of the last failed dial
	redialPending bool            // a dial is scheduled after redialDelay
	closed        bool
}

// NewClient returns a client that dials when first used. The handler receives the calls and one-way messages of the peer.
func NewClient(address string, handler Handler) *Client {
	return &Client{address: address, handler: handler}
}

// Address returns the address that the client connects to.
func (c *Client) Address() string { return c.address }

// Call sends a call over the connection and waits for the answer.
func (c *Client) Call(ctx context.Context, kind Kind, payload []byte) ([]byte, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	return conn.Call(ctx, kind, payload)
}

// Send sends a one-way message. Without a connection it starts a dial, after redialDelay if the last dial has just failed, and keeps the
// message until then if there is room. Messages that are kept when the dial fails are dropped.
func (c *Client) Send(kind Kind, payload []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.isOpen() {
		c.conn.Send(kind, payload)
		return
	}
	if c.closed {
		return
	}
	c.pending.add(kind, payload)
	if c.startDialLocked() == nil {
		c.dialAfterDelayLocked()
	}
}

// QueuedBytes returns how many bytes wait to be written to the open connection, or 0 if there is none.
func (c *Client) QueuedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return 0
	}
	return c.conn.queuedBytes()
}

// dialAfterDelayLocked schedules a dial for the time when redialDelay has passed since the last failed one.
func (c *Client) dialAfterDelayLocked() {
	if c.redialPending {
		return
	}
	c.redialPending = true
	time.AfterFunc(redialDelay-time.Since(c.failedAt), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.redialPending = false
		if c.conn == nil || !c.conn.isOpen() {
			c.startDialLocked()
		}
	})
}

// Close closes the connection, also one that is being opened. The client opens no further connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}

// connect returns the open connection, or dials and waits for a new one.
func (c *Client) connect(ctx context.Context) (*Conn, error) {
	c.mu.Lock()
	if c.conn != nil && c.conn.isOpen() {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	wait := c.startDialLocked()
	c.mu.Unlock()
	if wait == nil {
		return nil, codes.LinkBroken
	}
	select {
	case <-wait:
	case <-ctx.Done():
		return nil, codes.Timeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.isOpen() {
		return c.conn, nil
	}
	return nil, codes.LinkBroken
}

// startDialLocked starts a dial unless one is in progress, one failed less than redialDelay ago, or the client is closed. It returns a
// channel that is closed when the dial in progress ends, or nil if there is none. The dial does not end with the call that started it,
// as other calls wait for it too.
//
//nolint:contextcheck,nolintlint // a caller's context must not end the dial; contextcheck reads this directive itself, which nolintlint cannot detect
func (c *Client) startDialLocked() chan struct{} {
	if c.closed {
		return nil
	}
	if c.dialing != nil {
		return c.dialing
	}
	if time.Since(c.failedAt) < redialDelay {
		return nil
	}
	done := make(chan struct{})
	c.dialing = done
	go func() {
		conn, err := dialWithin(context.Background(), c.address, c.handler, c.frames)
		c.mu.Lock()
		c.dialing = nil
		switch {
		case err != nil:
			c.failedAt = time.Now()
		case c.closed:
			conn.Close()
		default:
			c.conn = conn
			c.pending.sendOver(conn)
		}
		c.pending.clear()
		c.mu.Unlock()
		close(done)
	}()
	return done
}
