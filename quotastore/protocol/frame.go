package protocol

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// The kinds of a Frame. Their numbers are part of the wire format.
const (
	KindHello      uint8 = iota + 1 // the first frame of a stream
	KindMembership                  // a message of the failure detector
	KindRaft                        // a message of the Raft library
	KindLeaders                     // which groups the sender leads
	KindRequests
	KindResponses
	KindAdmin // an operator's command, or the answer to it
	kindEnd
)

// Frame is one message on a stream.
type Frame struct {
	Kind        uint8                `cbor:"1,keyasint"`
	Cluster     uint64               `cbor:"2,keyasint,omitempty"` // ID of the sender's cluster; 0: the sender belongs to none, or is a client
	Incarnation uint32               `cbor:"3,keyasint"`           // of the sender
	Group       int                  `cbor:"4,keyasint,omitempty"` // the Raft group, with KindRaft
	Raft        []byte               `cbor:"5,keyasint,omitempty"`
	Requests    []Request            `cbor:"6,keyasint,omitempty"`
	Responses   []Response           `cbor:"7,keyasint,omitempty"`
	Leaders     []LeaderAnnouncement `cbor:"8,keyasint,omitempty"`
	Membership  string               `cbor:"9,keyasint,omitempty"`
	Hello       *Hello               `cbor:"10,keyasint,omitempty"`
	Admin       *Admin               `cbor:"11,keyasint,omitempty"`
}

// MaxFrameBytes is the longest encoded frame, in bytes.
const MaxFrameBytes = 64 << 20

// lengthBytes is the size of the length prefix of each frame.
const lengthBytes = 4

// Limits on the content of a decoded frame. They are far above what any sender puts into a frame, and bound the memory that a
// malformed frame can take.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 16
	maxNestedLevels  = 16
)

// frameDecoding is the decoding mode of frames. The error is ignored because the options are constants within the library's
// bounds.
var frameDecoding, _ = cbor.DecOptions{
	MaxArrayElements: maxArrayElements,
	MaxMapPairs:      maxMapPairs,
	MaxNestedLevels:  maxNestedLevels,
}.DecMode()

// Encode returns the frame's encoded form, without the length prefix.
func (f *Frame) Encode() ([]byte, error) { return cbor.Marshal(f) }

// AppendTo appends the frame to b as it is sent on a stream: the length prefix, then the encoded form. On an error it returns b
// unchanged. The error for a frame that is too long is a *FrameTooLongError.
func (f *Frame) AppendTo(b []byte) ([]byte, error) {
	body, err := f.Encode()
	if err != nil {
		return b, err
	}
	if len(body) > MaxFrameBytes {
		return b, &FrameTooLongError{Bytes: len(body)}
	}
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body))), body...), nil
}

// ReadBody reads the encoded form of the next frame on a stream, of at most limit bytes. Its buffer grows with the bytes
// received, so that a long announced length alone takes no memory. It returns io.EOF if the stream ends between frames,
// io.ErrUnexpectedEOF if it ends within a frame, and a *FrameSizeError for a length out of range.
func ReadBody(r io.Reader, limit uint32) ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n == 0 || n > limit {
		return nil, &FrameSizeError{Bytes: n, Limit: limit}
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(body) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// ReadFrame reads the next frame on a stream, of at most limit bytes. Its errors are those of ReadBody and DecodeFrame.
func ReadFrame(r io.Reader, limit uint32) (*Frame, error) {
	body, err := ReadBody(r, limit)
	if err != nil {
		return nil, err
	}
	return DecodeFrame(body)
}

// DecodeFrame decodes what Encode returned. It returns ErrMalformedFrame for a frame of an unknown kind, or without the body
// that its kind requires. Other errors wrap those of the CBOR library.
func DecodeFrame(body []byte) (*Frame, error) {
	f := &Frame{}
	if err := frameDecoding.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("frame: %w", err)
	}
	switch {
	case f.Kind == 0 || f.Kind >= kindEnd:
		return nil, ErrMalformedFrame
	case f.Kind == KindHello && f.Hello == nil:
		return nil, ErrMalformedFrame
	case f.Kind == KindAdmin && f.Admin == nil:
		return nil, ErrMalformedFrame
	}
	return f, nil
}

// ClientHello returns the first frame of a client's stream.
func ClientHello() *Frame { return &Frame{Kind: KindHello, Hello: &Hello{Sender: ClientSender}} }

// RequestsFrame returns a frame with a client's requests.
func RequestsFrame(requests []Request) *Frame { return &Frame{Kind: KindRequests, Requests: requests} }

// ResponsesFrame returns a frame with the responses to a client.
func ResponsesFrame(responses []Response) *Frame {
	return &Frame{Kind: KindResponses, Responses: responses}
}

// AdminFrame returns a frame with an operator's command, or the answer to one.
func AdminFrame(a *Admin) *Frame { return &Frame{Kind: KindAdmin, Admin: a} }
