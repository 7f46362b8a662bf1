package programs

import "otterseam/tier/codec"

// Ticket numbers the turns that one incarnation of a gateway begins, in rising order. With it a shard knows a call for a turn that was
// settled long ago, however late it comes, without remembering the turn: for each gateway it is enough to remember the highest
// number among the turns that were settled and forgotten. It depends on no clock.
type Ticket struct {
	Gateway uint64 // drawn by the gateway's process when it starts; 0 for a call without a ticket
	Number  uint64
}

func (t Ticket) encode(e *codec.Encoder) {
	e.Uint64(t.Gateway)
	e.Uint64(t.Number)
}

func decodeTicket(d *codec.Decoder) Ticket {
	return Ticket{Gateway: d.Uint64(), Number: d.Uint64()}
}
