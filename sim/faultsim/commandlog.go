package faultsim

import (
	"encoding/binary"

	"otterseam/tier/codec"
)

// commandLog is a state machine that stores the numbers of the commands applied to it. Padding in its snapshots simulates a larger
// state.
type commandLog struct {
	applied []uint32
	padding int // bytes added to each snapshot
}

// Apply stores the number of a command.
func (l *commandLog) Apply(_ uint64, command []byte) any {
	l.applied = append(l.applied, binary.BigEndian.Uint32(command))
	return len(l.applied)
}

// Snapshot returns the encoded state.
func (l *commandLog) Snapshot() []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(l.applied)))
	for _, command := range l.applied {
		e.Uint32(command)
	}
	e.Bytes = append(e.Bytes, make([]byte, l.padding)...)
	return e.Bytes
}

// Restore replaces the state by that of a snapshot.
func (l *commandLog) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	l.applied = nil
	for range d.Count(4) {
		l.applied = append(l.applied, d.Uint32())
	}
	return d.Err()
}
