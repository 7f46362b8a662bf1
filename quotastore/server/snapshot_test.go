package server

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"otterseam/quotastore/statemachine"
)

func sealedSnapshot(t *testing.T, s *Snapshot) []byte {
	t.Helper()
	body, err := cbor.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return statemachine.Seal(body)
}

func TestDecodeSnapshotRejectsIncompleteData(t *testing.T) {
	state := statemachine.New().Snapshot()
	tests := map[string]struct {
		encoded []byte
		want    string
	}{
		"empty":           {nil, "snapshot:"},
		"not a snapshot":  {statemachine.Seal([]byte("x")), "snapshot:"},
		"no groups":       {sealedSnapshot(t, &Snapshot{}), "it has 0 of 0 groups"},
		"a group missing": {sealedSnapshot(t, &Snapshot{Groups: 2, States: map[int][]byte{0: state}}), "it has 1 of 2 groups"},
		"another group":   {sealedSnapshot(t, &Snapshot{Groups: 1, States: map[int][]byte{1: state}}), "group 0:"},
		"corrupt state":   {sealedSnapshot(t, &Snapshot{Groups: 1, States: map[int][]byte{0: state[:len(state)-1]}}), "group 0:"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if s, err := DecodeSnapshot(test.encoded); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("decoded as %+v: %v", s, err)
			}
		})
	}
}

// A write that fails leaves other files unchanged and no temporary file behind.
func TestWriteFileLeavesNothingBehindIfItFails(t *testing.T) {
	dir := t.TempDir()
	missingDir := filepath.Join(dir, "snapshot")
	writeFile(t, filepath.Join(dir, "other"), []byte("x"))
	s := &Snapshot{Groups: 1, States: map[int][]byte{0: statemachine.New().Snapshot()}}
	if err := s.WriteFile(filepath.Join(missingDir, "in a missing directory")); err == nil {
		t.Error("a snapshot was written into a missing directory")
	}
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(left) != 1 {
		t.Errorf("files left behind: %v (%v)", left, err)
	}
}
