package programs

import "otterseam/tier/codec"

// Fetch is the command that reads the chain of a turn, whichever program the turn belongs to. It changes nothing. It is replicated
// so that only a primary that still leads can answer it.
type Fetch struct {
	Now     int64 // wall-clock time in milliseconds, set by the primary
	Request string
}

// Encode returns the command in its replicated form.
func (f Fetch) Encode() []byte {
	var e codec.Encoder
	e.Uint8(uint8(CommandFetch))
	e.Int64(f.Now)
	e.String(f.Request)
	return e.Bytes
}
