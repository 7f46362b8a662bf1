package rpc

import (
	"context"
	"sync"
	"time"

	"otterseam/tier/codes"
)

// redialDelay is how long a client waits after a failed dial before the next one.
const redialDelay = 50 * time.Millisecond

// Client keeps one connection to one address and opens it again when needed.
type Client struct {
	address string
	handler Handler

	mu            sync.Mutex      // guards all below
	conn          *Conn           // nil until the first dial has succeeded; may have ended since
	dialing       chan struct{}   // closed when the dial under way has ended; nil if there is none
	pending       pendingMessages // what was sent during that dial
	failedAt      time.Time       // when a dial failed last
	redialPending bool            // a dial is due once the pause after a failed one has passed
	closed        bool
}

// NewClient makes a client; it dials when first used. The handler takes what the other end sends unasked.
func NewClient(address string, handler Handler) *Client {
	return &Client{address: address, handler: handler}
}

// Address is where the client connects to.
func (c *Client) Address() string { return c.address }

// Call sends a call over the connection and waits for the answer.
func (c *Client) Call(ctx context.Context, kind Kind, payload []byte) ([]byte, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	return conn.Call(ctx, kind, payload)
}

// Send sends a one-way message. Without a connection it begins to open one, after a pause if a dial failed a moment ago, and holds
// the message until then if there is room. What is held when the dial fails is dropped.
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

// dialAfterDelayLocked begins to open the connection once the pause after a failed dial has passed.
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

// Close ends the connection, also one that is being opened. The client opens none afterwards.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}

// connect returns the open connection, or waits for one.
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

// startDialLocked begins to open the connection unless a dial is under way or one failed a moment ago. It returns what to
// wait for, or nil. The dial outlives the call that began it, as other calls wait for it too.
//
//nolint:contextcheck,nolintlint // no caller's context is to end the dial; contextcheck reads this itself, which nolintlint cannot see
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
		conn, err := Dial(context.Background(), c.address, c.handler)
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
