package configlog

import (
	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// Encode appends the log to a snapshot.
func (l *Log) Encode(e *codec.Encoder) {
	e.Uint64(l.compacted)
	e.Uint32(uint32(len(l.accepted)))
	for _, each := range l.accepted {
		e.Uint64(each.version)
		e.Blob(each.body[:])
	}
	e.Uint32(uint32(len(l.rejected)))
	for _, each := range l.rejected {
		e.Uint64(each.change.Base)
		e.Uint64(each.change.Version)
		e.Blob(each.change.Body[:])
		e.Uint32(uint32(each.result))
	}
}

// Minimum sizes of encoded entries. Counts in a snapshot are checked against them before memory is allocated.
const (
	minAcceptedBytes  = 8 + 4 + hashBytes
	minRejectionBytes = 8 + 8 + 4 + hashBytes + 4
)

// Decode reads a log from a snapshot. An error is kept by the decoder.
func Decode(d *codec.Decoder) Log {
	l := Log{compacted: d.Uint64()}
	for range d.Count(minAcceptedBytes) {
		each := acceptedChange{version: d.Uint64()}
		copy(each.body[:], d.Blob())
		l.accepted = append(l.accepted, each)
	}
	for range d.Count(minRejectionBytes) {
		each := rejection{change: Change{Base: d.Uint64(), Version: d.Uint64()}}
		copy(each.change.Body[:], d.Blob())
		each.result = codes.Code(d.Uint32())
		l.rejected = append(l.rejected, each)
	}
	return l
}
