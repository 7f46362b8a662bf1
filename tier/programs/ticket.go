package programs

import "otterseam/tier/codec"

// Ticket is a sequence number for the turns that one incarnation of a gateway begins. With it a shard recognizes a call for a turn
// that was settled long ago, however late the call arrives, without storing the turn: for each gateway it stores only the highest
// number among the settled turns that it no longer stores. Tickets depend on no clock.
type Ticket struct {
	Gateway uint64 // random number that the gateway's process generates at its start; 0 for a call without a ticket
	Number  uint64 // increases with each turn of the gateway
}

func (t Ticket) encode(e *codec.Encoder) {
	e.Uint64(t.Gateway)
	e.Uint64(t.Number)
}

func decodeTicket(d *codec.Decoder) Ticket {
	return Ticket{Gateway: d.Uint64(), Number: d.Uint64()}
}
