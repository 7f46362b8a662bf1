package codec

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func Example() {
	var e Encoder
	e.Uint32(7)
	e.String("host-1")

	d := NewDecoder(e.Bytes)
	fmt.Println(d.Uint32(), d.String(), d.Err())

	cut := NewDecoder(e.Bytes[:9])
	fmt.Println(cut.Uint32(), cut.String() == "", cut.Err())
	// Output:
	// 7 host-1 <nil>
	// 7 true message is truncated or malformed
}

func TestEncodedForm(t *testing.T) {
	for name, test := range map[string]struct {
		encode func(e *Encoder)
		want   string
	}{
		"uint8":          {func(e *Encoder) { e.Uint8(0xab) }, "ab"},
		"false":          {func(e *Encoder) { e.Bool(false) }, "00"},
		"true":           {func(e *Encoder) { e.Bool(true) }, "01"},
		"uint16":         {func(e *Encoder) { e.Uint16(0x0102) }, "0102"},
		"uint32":         {func(e *Encoder) { e.Uint32(0x01020304) }, "01020304"},
		"uint64":         {func(e *Encoder) { e.Uint64(0x0102030405060708) }, "0102030405060708"},
		"negative int64": {func(e *Encoder) { e.Int64(-2) }, "fffffffffffffffe"},
		"blob":           {func(e *Encoder) { e.Blob([]byte{9, 8}) }, "000000020908"},
		"empty blob":     {func(e *Encoder) { e.Blob(nil) }, "00000000"},
		"string":         {func(e *Encoder) { e.String("ü") }, "00000002c3bc"},
		"list":           {func(e *Encoder) { e.Uint64s([]uint64{1, 2}) }, "0000000200000000000000010000000000000002"},
		"empty list":     {func(e *Encoder) { e.Uint64s(nil) }, "00000000"},
	} {
		t.Run(name, func(t *testing.T) {
			e := Encoder{Bytes: []byte("before")}
			test.encode(&e)
			if got := hex.EncodeToString(e.Bytes[len("before"):]); got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
		})
	}
}

// fields has one field for most of the encoded types.
type fields struct {
	small  uint8
	flag   bool
	medium uint32
	large  uint64
	signed int64
	blob   []byte
	text   string
	list   []uint64
}

func (f fields) encode() []byte {
	var e Encoder
	e.Uint8(f.small)
	e.Bool(f.flag)
	e.Uint32(f.medium)
	e.Uint64(f.large)
	e.Int64(f.signed)
	e.Blob(f.blob)
	e.String(f.text)
	e.Uint64s(f.list)
	return e.Bytes
}

func decodeFields(message []byte) (fields, *Decoder) {
	d := NewDecoder(message)
	f := fields{
		small: d.Uint8(), flag: d.Bool(), medium: d.Uint32(), large: d.Uint64(), signed: d.Int64(), blob: d.Blob(), text: d.String(),
		list: d.Uint64s(),
	}
	return f, d
}

func drawFields(t *rapid.T) fields {
	return fields{
		small: rapid.Uint8().Draw(t, "small"), flag: rapid.Bool().Draw(t, "flag"), medium: rapid.Uint32().Draw(t, "medium"),
		large: rapid.Uint64().Draw(t, "large"), signed: rapid.Int64().Draw(t, "signed"),
		blob: rapid.SliceOf(rapid.Byte()).Draw(t, "blob"), text: rapid.String().Draw(t, "text"),
		list: rapid.SliceOf(rapid.Uint64()).Draw(t, "list"),
	}
}

func TestDecoderReadsEncodedFields(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := drawFields(rt)
		trailing := rapid.SliceOf(rapid.Byte()).Draw(rt, "behind")
		got, d := decodeFields(append(want.encode(), trailing...))
		if d.Err() != nil || !bytes.Equal(d.Rest(), trailing) {
			rt.Fatalf("error %v, remaining bytes %x", d.Err(), d.Rest())
		}
		if !bytes.Equal(got.encode(), want.encode()) {
			rt.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

func TestDecoderRejectsEveryPrefix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		encoded := drawFields(rt).encode()
		cut := rapid.IntRange(0, len(encoded)-1).Draw(rt, "cut")
		if _, d := decodeFields(encoded[:cut]); !errors.Is(d.Err(), ErrMalformed) {
			rt.Fatalf("%d of %d bytes: %v", cut, len(encoded), d.Err())
		}
	})
}

// After an error every field is zero, even if the rest of the message is long enough for it.
func TestDecoderReturnsZerosAfterAnError(t *testing.T) {
	d := NewDecoder([]byte{0xff, 0xff, 0xff, 0xff, 1, 1, 1, 1, 1, 1, 1, 1, 1})
	if blob := d.Blob(); blob != nil {
		t.Fatalf("got a blob of %d bytes", len(blob))
	}
	for name, isZero := range map[string]bool{
		"uint8": d.Uint8() == 0, "uint16": d.Uint16() == 0, "bool": !d.Bool(), "uint32": d.Uint32() == 0, "uint64": d.Uint64() == 0, "int64": d.Int64() == 0,
		"blob": d.Blob() == nil, "string": d.String() == "", "list": d.Uint64s() == nil, "count": d.Count(1) == 0,
	} {
		if !isZero {
			t.Errorf("%s is not zero", name)
		}
	}
	if !errors.Is(d.Err(), ErrMalformed) {
		t.Fatal(d.Err())
	}
}

func TestCountRejectsLengthsBeyondTheMessage(t *testing.T) {
	for name, test := range map[string]struct {
		length   uint32
		elements int // bytes after the length
		min      int
		rejected bool
	}{
		"exactly filled":    {3, 12, 4, false},
		"one byte too few":  {3, 11, 4, true},
		"no elements":       {0, 0, 4, false},
		"longest, no bytes": {math.MaxUint32, 0, 8, true},
	} {
		t.Run(name, func(t *testing.T) {
			var e Encoder
			e.Uint32(test.length)
			d := NewDecoder(append(e.Bytes, make([]byte, test.elements)...))
			n := d.Count(test.min)
			if rejected := errors.Is(d.Err(), ErrMalformed); rejected != test.rejected {
				t.Fatalf("%d elements, %v", n, d.Err())
			}
			if want := int(test.length); !test.rejected && n != want {
				t.Fatalf("got %d elements, want %d", n, want)
			}
		})
	}
}

// The memory after a blob belongs to the following fields, so that appending to the blob must copy it.
func TestAppendToBlobDoesNotOverwriteMessage(t *testing.T) {
	var e Encoder
	e.Blob([]byte("ab"))
	e.Uint8(7)
	d := NewDecoder(e.Bytes)
	_ = append(d.Blob(), 0xff)
	if got := d.Uint8(); got != 7 {
		t.Fatalf("the next field is %d", got)
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(fields{text: "x", list: []uint64{1}}.encode())
	f.Fuzz(func(t *testing.T, message []byte) {
		got, d := decodeFields(message)
		if d.Err() != nil {
			return
		}
		if decoded, d := decodeFields(got.encode()); d.Err() != nil || !bytes.Equal(decoded.encode(), got.encode()) {
			t.Fatalf("%+v, %v", decoded, d.Err())
		}
	})
}
