package codec

import "encoding/binary"

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

// Uint16 appends two bytes.
func (e *Encoder) Uint16(v uint16) { e.Bytes = binary.BigEndian.AppendUint16(e.Bytes, v) }

// Uint32 appends four bytes.
func (e *Encoder) Uint32(v uint32) { e.Bytes = binary.BigEndian.AppendUint32(e.Bytes, v) }

// Uint64 appends eight bytes.
func (e *Encoder) Uint64(v uint64) { e.Bytes = binary.BigEndian.AppendUint64(e.Bytes, v) }

// Int64 appends eight bytes.
func (e *Encoder) Int64(v int64) { e.Uint64(uint64(v)) }

// Blob appends the length of a byte slice and its bytes.
func (e *Encoder) Blob(v []byte) {
	e.Uint32(uint32(len(v)))
	e.Bytes = append(e.Bytes, v...)
}

// String appends the length of a string and its bytes.
func (e *Encoder) String(v string) {
	e.Uint32(uint32(len(v)))
	e.Bytes = append(e.Bytes, v...)
}

// Uint64s appends the number of integers in a list and the integers.
func (e *Encoder) Uint64s(values []uint64) {
	e.Uint32(uint32(len(values)))
	for _, v := range values {
		e.Uint64(v)
	}
}
