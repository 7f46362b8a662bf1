package rpc

import (
	"sync"

	"otterseam/internal/bytebudget"
)

// Clients holds one client per address. It is safe for concurrent use.
type Clients struct {
	handler Handler
	frames  *bytebudget.Budget // shared by all clients; nil for no limit

	mu      sync.Mutex
	clients map[string]*Client // by address
}

// NewClients returns an empty set. Each client uses the handler.
func NewClients(handler Handler) *Clients {
	return &Clients{handler: handler, clients: map[string]*Client{}}
}

// NewClientsWithin is like NewClients. The frames that all clients receive stay within a budget.
func NewClientsWithin(handler Handler, frames *bytebudget.Budget) *Clients {
	clients := NewClients(handler)
	clients.frames = frames
	return clients
}

// To returns the client for an address and creates it if needed.
func (c *Clients) To(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = NewClient(address, c.handler)
		client.frames = c.frames
		c.clients[address] = client
	}
	return client
}
