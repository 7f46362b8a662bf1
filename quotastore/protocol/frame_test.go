package protocol

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"testing"
)

func encoded(t *testing.T, f *Frame) []byte {
	t.Helper()
	body, err := f.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestDecodeFrameRejectsFramesWithoutTheBodyOfTheirKind(t *testing.T) {
	tests := map[string]*Frame{
		"no kind":             {},
		"unknown kind":        {Kind: kindEnd},
		"hello without body":  {Kind: KindHello},
		"admin without body":  {Kind: KindAdmin},
		"admin with a hello":  {Kind: KindAdmin, Hello: &Hello{}},
		"hello with an admin": {Kind: KindHello, Admin: &Admin{}},
	}
	for name, frame := range tests {
		t.Run(name, func(t *testing.T) {
			if got, err := DecodeFrame(encoded(t, frame)); !errors.Is(err, ErrMalformedFrame) {
				t.Errorf("decoded as %+v with error %v", got, err)
			}
		})
	}
}

func TestReadFrameReportsTruncatedStreamsAndInvalidLengths(t *testing.T) {
	const limit = 1 << 10
	whole, err := ClientHello().AppendTo(nil)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		stream []byte
		check  func(error) bool
	}{
		"end between frames": {nil, func(err error) bool { return errors.Is(err, io.EOF) }},
		"end in the length":  {whole[:lengthBytes-1], func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"end in the body":    {whole[:len(whole)-1], func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"length zero":        {make([]byte, lengthBytes), isSizeError(0, limit)},
		"length over limit":  {binary.BigEndian.AppendUint32(nil, limit+1), isSizeError(limit+1, limit)},
		"largest length":     {binary.BigEndian.AppendUint32(nil, math.MaxUint32), isSizeError(math.MaxUint32, limit)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := ReadFrame(bytes.NewReader(test.stream), limit); !test.check(err) {
				t.Errorf("unexpected error %v", err)
			}
		})
	}
}

func isSizeError(size, limit uint32) func(error) bool {
	return func(err error) bool {
		var sizeErr *FrameSizeError
		return errors.As(err, &sizeErr) && sizeErr.Bytes == size && sizeErr.Limit == limit
	}
}

func TestAppendToRejectsFramesOverTheLimit(t *testing.T) {
	before := []byte("before")
	got, err := (&Frame{Kind: KindRaft, Raft: make([]byte, MaxFrameBytes)}).AppendTo(before)
	var tooLong *FrameTooLongError
	if !errors.As(err, &tooLong) || tooLong.Bytes <= MaxFrameBytes {
		t.Errorf("unexpected error %v", err)
	}
	if !bytes.Equal(got, before) {
		t.Errorf("%d bytes were returned, want the %d bytes that were given", len(got), len(before))
	}
}

func TestReplicaIDHoldsNumberAndIncarnation(t *testing.T) {
	for _, number := range []int{0, 1, 99, 254} {
		for _, incarnation := range []uint32{1, 0xdeadbeef, math.MaxUint32} {
			id := NewReplicaID(number, incarnation)
			if id == 0 || id.Number() != number || id.Incarnation() != incarnation {
				t.Errorf("replica %d, incarnation %d has ID %d, which gives number %d, incarnation %d", number, incarnation, id, id.Number(), id.Incarnation())
			}
		}
	}
}
