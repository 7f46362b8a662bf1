package programs

import "otterseam/tier/codec"

// Fetch asks for the chain of a turn, whichever program it belongs to. It changes nothing; as a replicated command it is answered
// only by a primary that still leads.
type Fetch struct {
	Now     int64 // time of day in milliseconds, set by the primary
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
