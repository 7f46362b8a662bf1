package faultsim

import (
	"encoding/binary"

	"otterseam/tier/codec"
)

// commandLog is a state machine that keeps the numbers of the commands applied to it, and stands for a state of some size.
type commandLog struct {
	applied []uint32
	padding int // bytes that a snapshot holds besides
}

// Apply keeps a command.
func (j *commandLog) Apply(_ uint64, command []byte) any {
	j.applied = append(j.applied, binary.BigEndian.Uint32(command))
	return len(j.applied)
}

// Snapshot is the state as bytes.
func (j *commandLog) Snapshot() []byte {
	var e codec.Encoder
	e.Uint32(uint32(len(j.applied)))
	for _, command := range j.applied {
		e.Uint32(command)
	}
	e.Bytes = append(e.Bytes, make([]byte, j.padding)...)
	return e.Bytes
}

// Restore replaces the state.
func (j *commandLog) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	j.applied = nil
	for range d.Count(4) {
		j.applied = append(j.applied, d.Uint32())
	}
	return d.Err()
}
