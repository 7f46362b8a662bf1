package rpc

import "sync"

// Clients holds a client for each address. It may be used from several goroutines.
type Clients struct {
	handler Handler

	mu      sync.Mutex
	clients map[string]*Client // by address
}

// NewClients makes an empty set; the handler is given to each client.
func NewClients(handler Handler) *Clients {
	return &Clients{handler: handler, clients: map[string]*Client{}}
}

// To returns the client of an address.
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
