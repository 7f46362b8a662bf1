package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"otterseam/tier/codes"
)

const (
	dialTimeout = 400 * time.Millisecond
	redialPause = 50 * time.Millisecond
)

// Serve accepts connections until the listener ends.
func Serve(listener net.Listener, handler Handler) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			if temporary, is := err.(net.Error); is && temporary.Timeout() {
				continue
			}
			return
		}
		conn := newConn(socket, handler)
		go conn.readLoop()
	}
}

// Dial opens a connection.
func Dial(ctx context.Context, address string, handler Handler) (*Conn, error) {
	call, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := dialHedged(call, func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return nil, codes.LinkBroken
	}
	if handler == nil {
		handler = func(Message) {}
	}
	conn := newConn(socket, handler)
	go conn.readLoop()
	return conn, nil
}

// Client keeps one connection to one address and opens it again when needed.
type Client struct {
	address string
	handler Handler

	mu       sync.Mutex
	conn     *Conn
	dialing  chan struct{} // closed when the dial under way has ended
	held     heldMessages  // what was sent during that dial
	failedAt time.Time
	redial   bool // a dial is due once the pause after a failed one has passed
	closed   bool
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
	c.held.add(kind, payload)
	if c.startDial() == nil {
		c.dialAfterPause()
	}
}

// dialAfterPause begins to open the connection once the pause after a failed dial has passed; the lock is held.
func (c *Client) dialAfterPause() {
	if c.redial {
		return
	}
	c.redial = true
	time.AfterFunc(redialPause-time.Since(c.failedAt), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.redial = false
		if c.conn == nil || !c.conn.isOpen() {
			c.startDial()
		}
	})
}

// Close ends the connection, also one that is being opened.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}

func (c *Conn) isOpen() bool {
	select {
	case <-c.closed:
		return false
	default:
		return true
	}
}

func (c *Client) connect(ctx context.Context) (*Conn, error) {
	c.mu.Lock()
	if c.conn != nil && c.conn.isOpen() {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	wait := c.startDial()
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

// startDial begins to open the connection unless a dial is under way or one failed a moment ago; the lock is held. It
// returns what to wait for, or nil.
func (c *Client) startDial() chan struct{} {
	if c.closed {
		return nil
	}
	if c.dialing != nil {
		return c.dialing
	}
	if time.Since(c.failedAt) < redialPause {
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
			c.held.sendOver(conn)
		}
		c.held.clear()
		c.mu.Unlock()
		close(done)
	}()
	return done
}

// Clients holds a client for each address.
type Clients struct {
	handler Handler
	mu      sync.Mutex
	byAddr  map[string]*Client
}

// NewClients makes an empty set; the handler is given to each client.
func NewClients(handler Handler) *Clients {
	return &Clients{handler: handler, byAddr: map[string]*Client{}}
}

// To returns the client of an address.
func (c *Clients) To(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.byAddr[address]
	if client == nil {
		client = NewClient(address, c.handler)
		c.byAddr[address] = client
	}
	return client
}
