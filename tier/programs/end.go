package programs

import "otterseam/tier/codec"

// End is the command that replaces a turn's reservation by its actual cost, and retains the turn if its route requires that.
type End struct {
	Now         int64 // wall-clock time in milliseconds, set by the primary
	Request     string
	Program     string
	Session     string
	Actual      uint64 // tokens that the client received
	Retain      bool   // whether the turn completed and is to be retained
	RetentionMS int64  // retention period in milliseconds
	Previous    string
	Input       []byte
	Output      []byte // the data of each event, each followed by a line feed
	Host        string // the host that ran the turn
	Ticket      Ticket // the ticket of the turn's Begin
}

// endOverhead is the usual size of an encoded End without its input and output.
const endOverhead = 256

// Encode returns the command in its replicated form.
func (c End) Encode() []byte {
	e := codec.Encoder{Bytes: make([]byte, 0, endOverhead+len(c.Input)+len(c.Output))}
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

// DecodeEnd decodes an encoded command if it is an End. The texts share the command's memory.
func DecodeEnd(command []byte) (c End, isEnd bool) {
	return decodeCommand(command, CommandEnd, decodeEnd)
}

// RetainedBytes returns the size of the texts that the command stores.
func (c End) RetainedBytes() int {
	if !c.Retain {
		return 0
	}
	return len(c.Input) + len(c.Output)
}

func decodeEnd(d *codec.Decoder) End {
	return End{
		Now: d.Int64(), Request: d.String(), Program: d.String(), Session: d.String(), Actual: d.Uint64(), Retain: d.Bool(),
		RetentionMS: d.Int64(), Previous: d.String(), Input: d.Blob(), Output: d.Blob(), Host: d.String(),
		Ticket: decodeTicket(d),
	}
}
