package programs

import "otterseam/tier/codec"

// End settles a turn's true cost and retains the turn where its route wants it.
type End struct {
	Now         int64 // time of day in milliseconds, set by the primary
	Request     string
	Program     string
	Session     string
	Actual      uint64 // tokens that the client received
	Retain      bool   // the turn ended complete and is to be retained
	RetentionMS int64  // for how long, in milliseconds
	Previous    string
	Input       []byte
	Output      []byte // the data of each event with a line feed behind
	Host        string // the host that ran it
	Ticket      Ticket // of the turn's begin
}

// Encode is the command's replicated form.
func (c End) Encode() []byte {
	var e codec.Encoder
	e.Uint8(uint8(CommandEnd))
	e.Int64(c.Now)
	e.String(c.Request)
	e.String(c.Program)
	e.String(c.Session)
	e.Uint64(c.Actual)
	e.Bool(c.Retain)
	e.Int64(c.RetentionMS)
	e.String(c.Previous)
	e.Blob(c.Input)
	e.Blob(c.Output)
	e.String(c.Host)
	c.Ticket.encode(&e)
	return e.Bytes
}

func decodeEnd(d *codec.Decoder) End {
	return End{
		Now: d.Int64(), Request: d.String(), Program: d.String(), Session: d.String(), Actual: d.Uint64(), Retain: d.Bool(),
		RetentionMS: d.Int64(), Previous: d.String(), Input: d.Blob(), Output: d.Blob(), Host: d.String(),
		Ticket: decodeTicket(d),
	}
}
