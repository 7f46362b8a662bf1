package rpc

import (
	"encoding/binary"
	"io"
)

// Kind tells what a frame's payload is. Each package that speaks over rpc numbers its own kinds; 0 is reserved for answers.
type Kind uint16

// kindAnswer marks the answer to a call, the ID of which it carries.
const kindAnswer Kind = 0

// MaxFrame is the largest payload, in bytes.
const MaxFrame = 64 << 20

// header stands before each payload on the connection.
type header struct {
	Length uint32 // of the payload
	Kind   Kind
	Code   uint16 // of an answer
	ID     uint64 // of a call, given back by its answer; 0 for one-way messages
}

const headerBytes = 4 + 2 + 2 + 8 // in the order of header's fields

// appendFrame encodes a frame behind buffer.
func appendFrame(buffer []byte, h header, payload []byte) []byte {
	h.Length = uint32(len(payload))
	buffer = binary.BigEndian.AppendUint32(buffer, h.Length)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(h.Kind))
	buffer = binary.BigEndian.AppendUint16(buffer, h.Code)
	buffer = binary.BigEndian.AppendUint64(buffer, h.ID)
	return append(buffer, payload...)
}

// readFrame reads the next frame. Memory is taken as bytes arrive, so a damaged length alone costs nothing.
func readFrame(r io.Reader) (header, []byte, error) {
	var raw [headerBytes]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return header{}, nil, err
	}
	h := header{
		Length: binary.BigEndian.Uint32(raw[0:]),
		Kind:   Kind(binary.BigEndian.Uint16(raw[4:])),
		Code:   binary.BigEndian.Uint16(raw[6:]),
		ID:     binary.BigEndian.Uint64(raw[8:]),
	}
	if h.Length > MaxFrame {
		return h, nil, &FrameTooLargeError{h.Length}
	}
	payload, err := readPayload(r, int(h.Length))
	return h, payload, err
}

// payloadStep is how much memory is taken at once for a payload that arrives, in bytes.
const payloadStep = 1 << 20

// readPayload reads a payload step by step.
func readPayload(r io.Reader, length int) ([]byte, error) {
	payload := make([]byte, min(length, payloadStep))
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil, err
	}
	for len(payload) < length {
		step := make([]byte, min(length-len(payload), payloadStep))
		if _, err := io.ReadFull(r, step); err != nil {
			return nil, err
		}
		payload = append(payload, step...)
	}
	return payload, nil
}
