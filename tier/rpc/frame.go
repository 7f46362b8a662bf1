package rpc

import (
	"encoding/binary"
	"io"
)

// Kind identifies the type of a frame's payload. Each package that uses rpc defines its own kinds. 0 is reserved for answers.
type Kind uint16

// kindAnswer marks the answer to a call. The frame carries the ID of that call.
const kindAnswer Kind = 0

// MaxFrame is the largest allowed payload, in bytes.
const MaxFrame = 64 << 20

// header precedes each payload on the connection.
type header struct {
	Length uint32 // length of the payload in bytes
	Kind   Kind
	Code   uint16 // code of an answer
	ID     uint64 // ID of a call and of its answer; 0 for one-way messages
}

const headerBytes = 4 + 2 + 2 + 8 // Length, Kind, Code and ID

// appendFrame appends an encoded frame to buffer.
func appendFrame(buffer []byte, h header, payload []byte) []byte {
	h.Length = uint32(len(payload))
	buffer = binary.BigEndian.AppendUint32(buffer, h.Length)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(h.Kind))
	buffer = binary.BigEndian.AppendUint16(buffer, h.Code)
	buffer = binary.BigEndian.AppendUint64(buffer, h.ID)
	return append(buffer, payload...)
}

// readHeader reads the header of the next frame.
func readHeader(r io.Reader) (header, error) {
	var raw [headerBytes]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return header{}, err
	}
	h := header{
		Length: binary.BigEndian.Uint32(raw[0:]),
		Kind:   Kind(binary.BigEndian.Uint16(raw[4:])),
		Code:   binary.BigEndian.Uint16(raw[6:]),
		ID:     binary.BigEndian.Uint64(raw[8:]),
	}
	if h.Length > MaxFrame {
		return h, &FrameTooLargeError{h.Length}
	}
	return h, nil
}

// payloadStep is how many bytes are allocated at a time for a payload that is being received.
const payloadStep = 1 << 20

// readPayload reads a payload in steps of payloadStep bytes, so that a corrupt length alone does not cause a large allocation.
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
