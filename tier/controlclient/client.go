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

// Client calls the primary of control and finds it if necessary. It is safe for concurrent use.
type Client struct {
	clients   *rpc.Clients
	addresses func() []string

	mu       sync.Mutex // guards primary and position
	primary  string     // address that last answered as the primary or was returned as its address; empty if unknown
	position int        // index, modulo their number, of the address to call while the primary is unknown
}

// New returns a client. addresses returns the addresses of possible control processes.
func New(clients *rpc.Clients, addresses func() []string) *Client {
	return &Client{clients: clients, addresses: addresses}
}

// Call calls the primary. It retries at other control processes until the primary answers, or returns codes.Timeout when the context
// ends. A call without a definite answer is repeated, so it has to be idempotent. If the primary answers with a code, Call returns the
// code as the error together with the body of the answer.
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

// CallOnce calls one control process, which is the primary if it is known. A call without a definite answer is not repeated, but the next
// call goes to another process. If the process is not the primary, the error is a *NotPrimaryError.
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

// target returns the address to call next. It is empty if no address is known.
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

// switchTarget makes the next call go to the primary that the answer names or, if it names none, to the next address.
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
