package codec

import (
	"encoding/binary"
	"errors"
)

// ErrMalformed is the error for a message that ends before its last field, or contains a length beyond its end.
var ErrMalformed = errors.New("message is truncated or malformed")

// Sizes of encoded integers.
const (
	uint16Bytes = 2
	uint32Bytes = 4
	uint64Bytes = 8
)

// Decoder reads fields from a message. After an error, it returns zero values for all further fields.
type Decoder struct {
	rest []byte
	err  error
}

// NewDecoder returns a decoder of the message. Blobs that the decoder returns share the message's memory.
func NewDecoder(message []byte) *Decoder { return &Decoder{rest: message} }

// Err returns the first error.
func (d *Decoder) Err() error { return d.err }

// Rest returns the bytes that have not been read yet.
func (d *Decoder) Rest() []byte { return d.rest }

// next returns the next n bytes, or nil after an error.
func (d *Decoder) next(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || n > len(d.rest) {
		d.err = ErrMalformed
		return nil
	}
	field := d.rest[:n:n]
	d.rest = d.rest[n:]
	return field
}

// Uint8 reads one byte.
func (d *Decoder) Uint8() uint8 {
	if b := d.next(1); b != nil {
		return b[0]
	}
	return 0
}

// Bool reads a byte that is not 0 as true.
func (d *Decoder) Bool() bool { return d.Uint8() != 0 }

// Uint16 reads two bytes.
func (d *Decoder) Uint16() uint16 {
	if b := d.next(uint16Bytes); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

// Uint32 reads four bytes.
func (d *Decoder) Uint32() uint32 {
	if b := d.next(uint32Bytes); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

// Uint64 reads eight bytes.
func (d *Decoder) Uint64() uint64 {
	if b := d.next(uint64Bytes); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// Int64 reads eight bytes.
func (d *Decoder) Int64() int64 { return int64(d.Uint64()) }

// Blob reads a byte slice.
func (d *Decoder) Blob() []byte { return d.next(int(d.Uint32())) }

// String reads a string.
func (d *Decoder) String() string { return string(d.Blob()) }

// Uint64s reads a list of integers. It returns nil for an empty list.
func (d *Decoder) Uint64s() []uint64 {
	n := d.Count(uint64Bytes)
	var values []uint64
	for range n {
		values = append(values, d.Uint64())
	}
	return values
}

// Count reads the length of a list whose elements have at least minElementBytes each. A length that exceeds the rest of the message
// is an error, so that a corrupt length causes no allocation.
func (d *Decoder) Count(minElementBytes int) int {
	n := int(d.Uint32())
	if d.err == nil && n*minElementBytes > len(d.rest) {
		d.err = ErrMalformed
	}
	if d.err != nil {
		return 0
	}
	return n
}
