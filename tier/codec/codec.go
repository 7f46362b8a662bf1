// Package codec encodes the messages of the serving tier: integers in big-endian order, and strings, byte slices and lists
// behind their length. A decoder keeps its first error, so that a message is read field by field and checked once.
package codec

import (
	"encoding/binary"
	"errors"
)

// ErrShort is returned for a message that ends before its last field, or names a length beyond its end.
var ErrShort = errors.New("message is cut short or malformed")

// Encoder appends fields to a message.
type Encoder struct{ Bytes []byte }

// Uint8 appends one byte.
func (e *Encoder) Uint8(v uint8) { e.Bytes = append(e.Bytes, v) }

// Bool appends 1 for true and 0 for false.
func (e *Encoder) Bool(v bool) {
	if v {
		e.Uint8(1)
	} else {
		e.Uint8(0)
	}
}

// Uint32 appends four bytes.
func (e *Encoder) Uint32(v uint32) { e.Bytes = binary.BigEndian.AppendUint32(e.Bytes, v) }

// Uint64 appends eight bytes.
func (e *Encoder) Uint64(v uint64) { e.Bytes = binary.BigEndian.AppendUint64(e.Bytes, v) }

// Int64 appends eight bytes.
func (e *Encoder) Int64(v int64) { e.Uint64(uint64(v)) }

// Blob appends a byte slice behind its length.
func (e *Encoder) Blob(v []byte) {
	e.Uint32(uint32(len(v)))
	e.Bytes = append(e.Bytes, v...)
}

// String appends a string behind its length.
func (e *Encoder) String(v string) {
	e.Uint32(uint32(len(v)))
	e.Bytes = append(e.Bytes, v...)
}

// Uint64s appends a list of integers behind its length.
func (e *Encoder) Uint64s(values []uint64) {
	e.Uint32(uint32(len(values)))
	for _, v := range values {
		e.Uint64(v)
	}
}

// Decoder takes fields from a message. After an error all further fields are zero.
type Decoder struct {
	rest []byte
	err  error
}

// NewDecoder reads the message. Blobs that it returns share the message's memory.
func NewDecoder(message []byte) *Decoder { return &Decoder{rest: message} }

// Err is the first error.
func (d *Decoder) Err() error { return d.err }

// Rest is what has not been read yet.
func (d *Decoder) Rest() []byte { return d.rest }

func (d *Decoder) take(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || n > len(d.rest) {
		d.err = ErrShort
		return nil
	}
	taken := d.rest[:n:n]
	d.rest = d.rest[n:]
	return taken
}

// Uint8 reads one byte.
func (d *Decoder) Uint8() uint8 {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

// Bool reads a byte that is not 0 as true.
func (d *Decoder) Bool() bool { return d.Uint8() != 0 }

// Uint32 reads four bytes.
func (d *Decoder) Uint32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// Uint64 reads eight bytes.
func (d *Decoder) Uint64() uint64 {
	if b := d.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// Int64 reads eight bytes.
func (d *Decoder) Int64() int64 { return int64(d.Uint64()) }

// Blob reads a byte slice.
func (d *Decoder) Blob() []byte { return d.take(int(d.Uint32())) }

// String reads a string.
func (d *Decoder) String() string { return string(d.Blob()) }

// Uint64s reads a list of integers.
func (d *Decoder) Uint64s() []uint64 {
	n := d.Count(8)
	var values []uint64
	for range n {
		values = append(values, d.Uint64())
	}
	return values
}

// Count reads the length of a list whose elements take smallest bytes or more each. A length that the rest of the message
// cannot hold is an error, so that a damaged length takes no memory.
func (d *Decoder) Count(smallest int) int {
	n := int(d.Uint32())
	if d.err == nil && n*smallest > len(d.rest) {
		d.err = ErrShort
	}
	if d.err != nil {
		return 0
	}
	return n
}
