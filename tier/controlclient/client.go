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
	retryInterval  = lease.PrimaryRetryInterval * time.Millisecond
)

// Client calls the primary of control, wherever it is. It may be used from several goroutines.
type Client struct {
	clients   *rpc.Clients
	addresses func() []string

	mu       sync.Mutex // guards primary and position
	primary  string     // address that last answered as the primary, or was named as such; empty if none is known
	position int        // which of the addresses is asked while no primary is known
}

// New makes a client; addresses returns where control processes may be.
func New(clients *rpc.Clients, addresses func() []string) *Client {
	return &Client{clients: clients, addresses: addresses}
}

// Call asks the primary and goes on to other control processes until one answers for it or the context ends, which gives
// codes.Timeout. A call that got no clear answer is made again, so it has to be idempotent. With a code of the primary's as the
// error comes the body of its answer.
func (c *Client) Call(ctx context.Context, kind rpc.Kind, payload []byte) ([]byte, error) {
	for {
		result, err := c.CallOnce(ctx, kind, payload)
		if err == nil || !isRetryable(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, codes.Timeout
		case <-time.After(retryInterval):
		}
	}
}

// CallOnce asks one control process: the primary, if it is known. A call that got no clear answer is not made again; the next one
// goes elsewhere. The error of a process that is not the primary is a NotPrimaryError.
func (c *Client) CallOnce(ctx context.Context, kind rpc.Kind, payload []byte) ([]byte, error) {
	address := c.target()
	if address == "" {
		return nil, codes.Unavailable
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, err := c.clients.To(address).Call(attempt, kind, payload)
	if errors.Is(err, codes.NotPrimary) {
		err = &NotPrimaryError{Primary: string(result)}
	}
	if err == nil || !isRetryable(err) {
		c.rememberPrimary(address)
	} else {
		c.switchTarget(address, err)
	}
	return result, err
}

// target is whom to ask next; empty if no address is known.
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

func (c *Client) rememberPrimary(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primary = address
}

// switchTarget turns to where the answer points, or else to the next address.
func (c *Client) switchTarget(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var notPrimary *NotPrimaryError
	if errors.As(err, &notPrimary) && notPrimary.Primary != "" && notPrimary.Primary != address {
		c.primary = notPrimary.Primary
		return
	}
	c.primary = ""
	c.position++
}
