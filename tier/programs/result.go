package programs

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// minBlobBytes is the encoded size of an empty blob or string.
const minBlobBytes = 4

// Result is the result of applying a command.
type Result struct {
	Code  codes.Code
	Chain [][]byte // inputs and outputs of the earlier turns, the oldest first
	Host  string   // the host that ran the previous turn of this chain or session, if known
}

// Encode returns the result in its wire form, without the code.
func (r Result) Encode() []byte {
	var e codec.Encoder
	e.String(r.Host)
	e.Uint32(uint32(len(r.Chain)))
	for _, part := range r.Chain {
		e.Blob(part)
	}
	return e.Bytes
}

// DecodeResult decodes a result, whose code stays codes.OK.
func DecodeResult(data []byte) (Result, error) {
	d := codec.NewDecoder(data)
	r := Result{Host: d.String()}
	for range d.Count(minBlobBytes) {
		r.Chain = append(r.Chain, d.Blob())
	}
	return r, d.Err()
}
