package programs

import "otterseam/tier/codec"

// Begin is the command that reserves the estimated tokens of a turn before the turn is sent, and reads the chain of turns that it
// continues.
type Begin struct {
	Now      int64 // wall-clock time in milliseconds, set by the primary
	Request  string
	Program  string
	Session  string
	Limited  bool   // whether Budget applies
	Budget   uint64 // tokens that the whole program may use
	Estimate uint64 // tokens
	Previous string // request ID of the turn to continue; empty for none
	Ticket   Ticket
	// RetainedBytes is the most that the turn's End will store of its own input and output, or 0 for a turn that is not retained. Only
	// the primary that admits the turn reads it and TimeoutMS. They are the last fields and are omitted if RetainedBytes is 0, which is
	// the form that older versions know.
	RetainedBytes uint64
	TimeoutMS     uint64 // time in milliseconds within which a retained turn ends
}

// Encode returns the command in its replicated form.
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
	if b.RetainedBytes != 0 {
		e.Uint64(b.RetainedBytes)
		e.Uint64(b.TimeoutMS)
	}
	return e.Bytes
}

// DecodeBegin decodes an encoded command if it is a Begin.
func DecodeBegin(command []byte) (b Begin, isBegin bool) {
	return decodeCommand(command, CommandBegin, decodeBegin)
}

func decodeBegin(d *codec.Decoder) Begin {
	b := Begin{
		Now: d.Int64(), Request: d.String(), Program: d.String(), Session: d.String(), Limited: d.Bool(), Budget: d.Uint64(),
		Estimate: d.Uint64(), Previous: d.String(), Ticket: decodeTicket(d),
	}
	if len(d.Rest()) > 0 {
		b.RetainedBytes = d.Uint64()
		b.TimeoutMS = d.Uint64()
	}
	return b
}
