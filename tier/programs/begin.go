package programs

import "otterseam/tier/codec"

// Begin reserves the estimate of a turn before it is sent, and asks for the chain of turns it goes on from.
type Begin struct {
	Now      int64 // time of day in milliseconds, set by the primary
	Request  string
	Program  string
	Session  string
	Limited  bool   // the turn carries a budget
	Budget   uint64 // tokens of the whole program
	Estimate uint64 // tokens
	Previous string // the turn to go on from; empty for none
	Ticket   Ticket
}

// Encode is the command's replicated form.
func (b Begin) Encode() []byte {
	var e codec.Encoder
	e.Uint8(uint8(CommandBegin))
	e.Int64(b.Now)
	e.String(b.Request)
	e.String(b.Program)
	e.String(b.Session)
	e.Bool(b.Limited)
	e.Uint64(b.Budget)
	e.Uint64(b.Estimate)
	e.String(b.Previous)
	b.Ticket.encode(&e)
	return e.Bytes
}

func decodeBegin(d *codec.Decoder) Begin {
	return Begin{
		Now: d.Int64(), Request: d.String(), Program: d.String(), Session: d.String(), Limited: d.Bool(), Budget: d.Uint64(),
		Estimate: d.Uint64(), Previous: d.String(), Ticket: decodeTicket(d),
	}
}
