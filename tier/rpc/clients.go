package rpc

import "sync"

// Clients holds one client per address. It is safe for concurrent use.
type Clients struct {
	handler Handler

	mu      sync.Mutex
	clients map[string]*Client // by address
}

// NewClients returns an empty set. Each client uses the handler.
func NewClients(handler Handler) *Clients {
	return &Clients{handler: handler, clients: map[string]*Client{}}
}

// To returns the client for an address and creates it if needed.
func (c *Clients) To(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = NewClient(address, c.handler)
		c.clients[address] = client
	}
	return client
}
