package programs

import (
	"cmp"
	"slices"

	"otterseam/tier/codec"
)

// Snapshot encodes the state. Equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	e := codec.Encoder{Bytes: make([]byte, 0, s.snapshotCapacity())}
	e.Uint64(s.commands)
	names := sortedKeys(s.programs)
	e.Uint32(uint32(len(names)))
	for _, name := range names {
		e.String(name)
		s.programs[name].encode(&e)
	}
	return e.Bytes
}

// snapshotProgramBytes is the typical encoded size of a program without its turns.
const snapshotProgramBytes = 256

// snapshotCapacity returns the estimated size of a snapshot, so that a large one is encoded without copies of its parts.
func (s *State) snapshotCapacity() int64 {
	return s.retainedBytes + int64(len(s.programs))*snapshotProgramBytes
}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	d := codec.NewDecoder(snapshot)
	commands := d.Uint64()
	programs := map[string]*program{}
	byTurn := map[string]string{}
	for range d.Count(minBlobBytes) {
		name := d.String()
		programs[name] = decodeProgram(d)
		for request := range programs[name].turns {
			byTurn[request] = name
		}
	}
	if d.Err() != nil {
		return d.Err()
	}
	s.Discard()
	s.commands = commands
	s.programs = programs
	s.countUsage()
	s.programOfTurn = byTurn
	return nil
}

func (p *program) encode(e *codec.Encoder) {
	e.Uint64(p.charged)
	e.Int64(p.lastUsed)
	e.Uint32(uint32(len(p.reserved)))
	for _, request := range sortedKeys(p.reserved) {
		e.String(request)
		e.Uint64(p.reserved[request].estimate)
		e.Int64(p.reserved[request].begunAt)
	}
	p.encodeSettled(e)
	e.Uint32(uint32(len(p.sessionHosts)))
	for _, session := range sortedKeys(p.sessionHosts) {
		e.String(session)
		e.String(p.sessionHosts[session])
	}
	e.Uint32(uint32(len(p.turns)))
	for _, id := range sortedKeys(p.turns) {
		each := p.turns[id]
		e.String(id)
		e.String(each.previous)
		e.Blob(each.input)
		e.Blob(each.output)
		e.String(each.host)
		e.Int64(each.expiresAt)
	}
}

func decodeProgram(d *codec.Decoder) *program {
	p := newProgram()
	p.charged = d.Uint64()
	p.lastUsed = d.Int64()
	for range d.Count(minReservationBytes) {
		request := d.String()
		p.reserved[request] = reservation{estimate: d.Uint64(), begunAt: d.Int64()}
	}
	p.decodeSettled(d)
	for range d.Count(minSessionBytes) {
		session := d.String()
		p.sessionHosts[session] = d.String()
	}
	for range d.Count(minTurnBytes) {
		id := d.String()
		p.turns[id] = turn{previous: d.String(), input: d.Blob(), output: d.Blob(), host: d.String(), expiresAt: d.Int64()}
	}
	return p
}

// sortedKeys returns the keys of a map in ascending order, so that equal maps have equal encodings.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
