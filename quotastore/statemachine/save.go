package statemachine

// This file owns the encoded forms: batches, and the whole state with a check that finds a form that was cut off, changed,
// or written by a later version.

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"otterseam/internal/mutation"
)

// Version of the saved form.
const FormatVersion = 1

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 24, MaxNestedLevels: 16}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err) // the options are ours
	}
	return x
}

// Bytes is the encoded form of a batch.
func (b *Batch) Encode() []byte { return must(encoder.Marshal(b)) }

// ReadBatch reads one.
func DecodeBatch(text []byte) (*Batch, error) {
	b := &Batch{}
	if err := decoder.Unmarshal(text, b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	return b, nil
}

var (
	// ErrSpoilt: bytes that are not what was written.
	ErrCorrupt = errors.New("spoilt: its check does not fit")
	// ErrLater: written by a later version of the program.
	ErrNewerVersion = errors.New("written by a later version of the program")
)

// Seal puts a version and a check round bytes.
func Seal(body []byte) []byte {
	out := make([]byte, 0, len(body)+12)
	out = binary.BigEndian.AppendUint32(out, FormatVersion)
	out = append(out, body...)
	return append(out, check(out)...)
}

func check(text []byte) []byte { return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)) }

// Unseal takes them off again. A version is believed only if the check fits.
func Unseal(text []byte) ([]byte, error) {
	if len(text) < 12 || xxhash.Sum64(text[:len(text)-8]) != binary.BigEndian.Uint64(text[len(text)-8:]) {
		return nil, ErrCorrupt
	}
	if binary.BigEndian.Uint32(text) > FormatVersion {
		return nil, ErrNewerVersion
	}
	return text[4 : len(text)-8], nil
}

// Save gives the state's bytes, the same at every copy.
func (s *State) Snapshot() []byte {
	if mutation.KeepForgets {
		bare := *s
		bare.Sessions = map[string]*session{}
		s = &bare
	}
	return Seal(must(encoder.Marshal(s)))
}

// Restore makes the state of which Save gave these bytes.
func Restore(text []byte) (*State, error) {
	body, err := Unseal(text)
	if err != nil {
		return nil, fmt.Errorf("held state: %w", err)
	}
	s := New()
	if err := decoder.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("held state: %w", err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("held state: %w", err)
	}
	return s, nil
}

// whole refuses forms that decode and can't have been written: they would end the program later.
func (s *State) validate() error {
	if s.Sessions == nil || s.Counters == nil || s.Leases == nil || s.Unreported == nil || s.Markers == nil || s.Metering == nil || s.Metering.ByHolder == nil {
		return errors.New("a part is missing")
	}
	hollow := errors.New("an entry is empty")
	for _, x := range s.Sessions {
		if x == nil {
			return hollow
		}
	}
	for _, x := range s.Counters {
		if x == nil {
			return hollow
		}
		for _, p := range x.ByHolder {
			if p == nil {
				return hollow
			}
		}
	}
	for _, x := range s.Leases {
		if x == nil {
			return hollow
		}
	}
	for _, x := range s.Unreported {
		if x == nil || x.ByKey == nil {
			return hollow
		}
		for _, d := range x.ByKey {
			if d == nil {
				return hollow
			}
		}
	}
	for _, x := range s.Markers {
		if x == nil {
			return hollow
		}
	}
	for _, of := range s.Metering.ByHolder {
		if of == nil {
			return hollow
		}
		for _, u := range of {
			if u == nil {
				return hollow
			}
		}
	}
	return nil
}

// Total is what a name stands at; false: it is not known.
func (s *State) Total(name string) (float64, bool) {
	c := s.Counters[name]
	if c == nil || c.ExpiresAt <= s.Clock {
		return 0, false
	}
	return c.Total, true
}

// Names is how many counts are held.
func (s *State) CounterCount() int { return len(s.Counters) }
