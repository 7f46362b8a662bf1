package statemachine

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"otterseam/internal/mutation"
)

// FormatVersion is the format version that Seal writes.
const FormatVersion = 1

const (
	versionLength  = 4
	checksumLength = 8
)

var (
	// ErrCorrupt is returned for data that is too short or has a wrong checksum.
	ErrCorrupt = errors.New("corrupt: checksum mismatch")
	// ErrNewerVersion is returned for data that a later version of the program wrote.
	ErrNewerVersion = errors.New("written by a later version of the program")
)

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 24, MaxNestedLevels: 16}.DecMode())
)

// must panics on an error that only a defect in this package can cause. The options above are constant. Batches and states consist
// of numbers, strings, slices and maps, all of which the library can encode, whatever the input was.
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

// Seal returns the format version, the body and a checksum of both.
func Seal(body []byte) []byte {
	sealed := make([]byte, 0, versionLength+len(body)+checksumLength)
	sealed = binary.BigEndian.AppendUint32(sealed, FormatVersion)
	sealed = append(sealed, body...)
	return append(sealed, checksum(sealed)...)
}

func checksum(data []byte) []byte { return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)) }

// Unseal returns the body of what Seal returned. The error is ErrCorrupt, or ErrNewerVersion if the checksum is right: the version
// is only trusted then.
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

// Snapshot returns the encoded and sealed state, which is the same at every replica.
func (s *State) Snapshot() []byte {
	if mutation.SnapshotDropsSessions {
		bare := *s
		bare.Sessions = map[string]*session{}
		s = &bare
	}
	return Seal(must(encoder.Marshal(s)))
}

// Restore returns the state from which Snapshot made a snapshot. The error wraps ErrCorrupt, ErrNewerVersion, an InvalidStateError,
// or an error of the decoder.
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
