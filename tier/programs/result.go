package programs

import (
	"time"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// unlimitedChainTTL is the ChainTTL in milliseconds, a century, of a turn that must not be stored with the texts of its chain.
const unlimitedChainTTL = 100 * 365 * 24 * 60 * 60 * 1000

// minBlobBytes is the encoded size of an empty blob or string.
const minBlobBytes = 4

// Result is the result of applying a command.
type Result struct {
	Code  codes.Code
	Chain [][]byte // inputs and outputs of the earlier turns, the oldest first
	Host  string   // the host that ran the previous turn of this chain or session, if known
	// ChainTTL is the time in milliseconds, from the time of the Begin on, until the first turn of the chain may be deleted. It is 0 if
	// there is no chain, or if the store is of a version that does not tell it.
	ChainTTL int64
}

// ChainGuarantee returns how long after its Begin was sent a turn may be stored by an End that names its predecessor. Until then the
// whole chain is retained, also if another primary, whose clock differs by up to clockSkew, applies the End. A turn that takes longer
// has to be stored with the texts of its chain. Without a ChainTTL, the turn is taken to have begun within the retention period of its
// predecessor, so that clockSkew was left.
func (r Result) ChainGuarantee() time.Duration {
	if r.ChainTTL == 0 {
		return clockSkew * time.Millisecond
	}
	return time.Duration(r.ChainTTL-clockSkew) * time.Millisecond
}

// resultOverhead is the usual size of an encoded result without its chain.
const resultOverhead = 64

// ChainBytes returns the encoded size of the chain.
func (r Result) ChainBytes() int {
	total := 0
	for _, part := range r.Chain {
		total += minBlobBytes + len(part)
	}
	return total
}

// Encode returns the result in its wire form, without the code. ChainTTL is its last field and is omitted if it is 0, which is the form
// that older versions know.
func (r Result) Encode() []byte {
	e := codec.Encoder{Bytes: make([]byte, 0, resultOverhead+r.ChainBytes())}
	e.String(r.Host)
	e.Uint32(uint32(len(r.Chain)))
	for _, part := range r.Chain {
		e.Blob(part)
	}
	if r.ChainTTL != 0 {
		e.Int64(r.ChainTTL)
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
	if len(d.Rest()) > 0 {
		r.ChainTTL = d.Int64()
	}
	return r, d.Err()
}
