package statemachine

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"otterseam/internal/mutation"
)

// FormatVersion is the version of sealed forms.
const FormatVersion = 1

const (
	versionLength  = 4
	checksumLength = 8
)

var (
	// ErrCorrupt says that bytes are not what was written.
	ErrCorrupt = errors.New("corrupt: checksum mismatch")
	// ErrNewerVersion says that bytes were written by a later version of the program.
	ErrNewerVersion = errors.New("written by a later version of the program")
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 24, MaxNestedLevels: 16}.DecMode())
)

// must gives up on an error that only a fault in this package can bring about. The options above are constant, and batches and states
// are made of numbers, strings, slices and maps, all of which the library encodes; neither depends on what comes from outside.
func must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

// Encode returns the encoded form of a batch.
func (b *Batch) Encode() []byte { return must(encoder.Marshal(b)) }

// DecodeBatch decodes what Encode returned.
func DecodeBatch(encoded []byte) (*Batch, error) {
	b := &Batch{}
	if err := decoder.Unmarshal(encoded, b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	return b, nil
}

// Seal puts the format version before a body and a checksum of both behind it.
func Seal(body []byte) []byte {
	sealed := make([]byte, 0, versionLength+len(body)+checksumLength)
	sealed = binary.BigEndian.AppendUint32(sealed, FormatVersion)
	sealed = append(sealed, body...)
	return append(sealed, checksum(sealed)...)
}

func checksum(text []byte) []byte { return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)) }

// Unseal returns the body of what Seal returned. The error is ErrCorrupt, or ErrNewerVersion if the checksum fits: only then is the
// version believed.
func Unseal(sealed []byte) ([]byte, error) {
	if len(sealed) < versionLength+checksumLength {
		return nil, ErrCorrupt
	}
	end := len(sealed) - checksumLength
	if xxhash.Sum64(sealed[:end]) != binary.BigEndian.Uint64(sealed[end:]) {
		return nil, ErrCorrupt
	}
	if binary.BigEndian.Uint32(sealed) > FormatVersion {
		return nil, ErrNewerVersion
	}
	return sealed[versionLength:end], nil
}

// Snapshot returns the sealed bytes of the state, the same at every replica.
func (s *State) Snapshot() []byte {
	if mutation.SnapshotDropsSessions {
		bare := *s
		bare.Sessions = map[string]*session{}
		s = &bare
	}
	return Seal(must(encoder.Marshal(s)))
}

// Restore returns the state of which Snapshot returned these bytes. The error wraps ErrCorrupt, ErrNewerVersion, an
// InvalidStateError, or what the decoder found.
func Restore(snapshot []byte) (*State, error) {
	body, err := Unseal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("state snapshot: %w", err)
	}
	s := New()
	if err := decoder.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("state snapshot: %w", err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("state snapshot: %w", err)
	}
	return s, nil
}
