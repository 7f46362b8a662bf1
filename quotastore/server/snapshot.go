package server

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"otterseam/quotastore/statemachine"
)

// Snapshot is an operator's backup of a cluster. It has the state of each group from the group's leader. The states are not taken
// at the same time.
type Snapshot struct {
	Taken  int64          `cbor:"1,keyasint"` // Unix time in seconds
	Groups int            `cbor:"2,keyasint"`
	States map[int][]byte `cbor:"3,keyasint"` // encoded states, by group
}

// WriteFile writes the snapshot to a file atomically.
func (s *Snapshot) WriteFile(path string) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".snapshot-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(statemachine.Seal(body))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// DecodeSnapshot decodes the contents of a snapshot file, and checks the state of each group.
func DecodeSnapshot(encoded []byte) (*Snapshot, error) {
	body, err := statemachine.Unseal(encoded)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := &Snapshot{}
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Groups < 1 || len(s.States) != s.Groups {
		return nil, fmt.Errorf("snapshot: it has %d of %d groups", len(s.States), s.Groups)
	}
	for group := range s.Groups {
		if _, err := statemachine.Restore(s.States[group]); err != nil {
			return nil, fmt.Errorf("snapshot: group %d: %w", group, err)
		}
	}
	return s, nil
}
