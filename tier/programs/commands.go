// Package programs is the state machine of a shard of agent programs: for each program one count of tokens that all gateways
// charge, and the turns that are kept so that later turns can go on from them.
package programs

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// CommandKind tells what a replicated command does.
type CommandKind uint8

// The kinds of commands.
const (
	CommandBegin CommandKind = iota + 1
	CommandEnd
	CommandFetch
)

// Begin charges the estimate of a turn before it is sent, and asks for the chain of turns it goes on from.
type Begin struct {
	Now      int64 // time of day in milliseconds, set by the primary
	Request  string
	Program  string
	Session  string
	Limited  bool // the turn carries a budget
	Budget   uint64
	Estimate uint64
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

// End settles a turn's true cost and keeps the turn where its route wants it.
type End struct {
	Now         int64
	Request     string
	Program     string
	Session     string
	Actual      uint64 // tokens that the client received
	Retain      bool   // the turn ended whole and is to be kept
	RetentionMS int64
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

// Fetch asks for the chain of a turn, whichever program it belongs to. It changes nothing; as a replicated command it is answered
// only by a primary that still leads.
type Fetch struct {
	Now     int64
	Request string
}

// Encode is the command's replicated form.
func (f Fetch) Encode() []byte {
	var e codec.Encoder
	e.Uint8(uint8(CommandFetch))
	e.Int64(f.Now)
	e.String(f.Request)
	return e.Bytes
}

// Result is what applying a command gave.
type Result struct {
	Code  codes.Code
	Chain [][]byte // inputs and outputs of the earlier turns, the oldest first
	Host  string   // the host that ran the turn before in this line, if known
}

// Encode is the result's form on the wire, without the code.
func (r Result) Encode() []byte {
	var e codec.Encoder
	e.String(r.Host)
	e.Uint32(uint32(len(r.Chain)))
	for _, part := range r.Chain {
		e.Blob(part)
	}
	return e.Bytes
}

// DecodeResult reads a result.
func DecodeResult(data []byte) (Result, error) {
	d := codec.NewDecoder(data)
	r := Result{Host: d.String()}
	for range d.Count(4) {
		r.Chain = append(r.Chain, d.Blob())
	}
	return r, d.Err()
}

// IsCommand tells whether bytes begin as an encoded command that can be stamped.
func IsCommand(command []byte) bool {
	return len(command) >= 9 && command[0] >= uint8(CommandBegin) && command[0] <= uint8(CommandFetch)
}

// Stamp writes the time into an encoded command.
func Stamp(command []byte, now int64) {
	var e codec.Encoder
	e.Int64(now)
	copy(command[1:9], e.Bytes)
}
