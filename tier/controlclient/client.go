package controlclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/lease"
	"otterseam/tier/rpc"
)

const (
	attemptTimeout = lease.PrimaryAttemptTimeout * time.Millisecond
	attemptPause   = lease.PrimaryRetryInterval * time.Millisecond
)

// Client calls the control primary, wherever it is.
type Client struct {
	clients   *rpc.Clients
	addresses func() []string

	mu       sync.Mutex
	primary  string
	position int
}

// New makes a client; addresses returns where control processes may be.
func New(clients *rpc.Clients, addresses func() []string) *Client {
	return &Client{clients: clients, addresses: addresses}
}

// Call asks the primary and goes on to other control processes until one answers for it or the context ends. A call that got
// no clear answer is made again, so it has to be idempotent.
func (c *Client) Call(ctx context.Context, kind rpc.Kind, payload []byte) ([]byte, error) {
	for {
		result, err := c.CallOnce(ctx, kind, payload)
		if err == nil || !tryElsewhere(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, codes.Timeout
		case <-time.After(attemptPause):
		}
	}
}

// CallOnce asks one control process: the primary, if it is known. A call that got no clear answer is not made again; the next one goes
// elsewhere.
func (c *Client) CallOnce(ctx context.Context, kind rpc.Kind, payload []byte) ([]byte, error) {
	address := c.target()
	if address == "" {
		return nil, codes.Unavailable
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, err := c.clients.To(address).Call(attempt, kind, payload)
	if err == nil || !tryElsewhere(err) {
		c.remember(address)
	} else {
		c.forget(address, err, result)
	}
	return result, err
}

func tryElsewhere(err error) bool {
	for _, code := range []codes.Code{codes.NotPrimary, codes.Timeout, codes.LinkBroken, codes.Unavailable} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.primary != "" {
		return c.primary
	}
	addresses := c.addresses()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[c.position%len(addresses)]
}

func (c *Client) remember(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primary = address
}

// forget turns to where the answer points, or else to the next address.
func (c *Client) forget(address string, err error, hint []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, codes.NotPrimary) && len(hint) > 0 && string(hint) != address {
		c.primary = string(hint)
		return
	}
	c.primary = ""
	c.position++
}
