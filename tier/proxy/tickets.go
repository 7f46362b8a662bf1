package proxy

import (
	"math/rand/v2"
	"sync/atomic"

	"otterseam/tier/programs"
)

// tickets numbers the turns that this process begins.
type tickets struct {
	gateway uint64
	last    atomic.Uint64
}

func newTickets() *tickets { return &tickets{gateway: rand.Uint64() | 1} }

// next is the ticket of another turn.
func (t *tickets) next() programs.Ticket {
	return programs.Ticket{Gateway: t.gateway, Number: t.last.Add(1)}
}
