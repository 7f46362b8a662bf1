package fleetload

import (
	"hash/crc32"
	"maps"
	"math"
	"slices"

	"otterseam/tier/codec"
)

// HostKey identifies a host by a four-byte checksum of its ID. Hosts whose keys collide are treated as one host with the sum of their
// loads.
type HostKey uint32

// KeyOf returns the key of the host with the given ID.
func KeyOf(id string) HostKey { return HostKey(crc32.ChecksumIEEE([]byte(id))) }

// Loads is the number of requests in flight at each host. Hosts without requests are omitted.
type Loads map[HostKey]uint16

// add adds the counts of others. A sum that exceeds the range of uint16 saturates.
func (l Loads) add(others Loads) {
	for key, count := range others {
		l[key] = uint16(min(uint32(l[key])+uint32(count), math.MaxUint16))
	}
}

// subtract removes counts that were added before.
func (l Loads) subtract(others Loads) {
	for key, count := range others {
		if l[key] <= count {
			delete(l, key)
		} else {
			l[key] -= count
		}
	}
}

// minLoadBytes is the encoded size of the load of one host.
const minLoadBytes = 4 + 2

func (l Loads) encode(e *codec.Encoder) {
	e.Uint32(uint32(len(l)))
	for _, key := range slices.Sorted(maps.Keys(l)) {
		e.Uint32(uint32(key))
		e.Uint16(l[key])
	}
}

func decodeLoads(d *codec.Decoder) Loads {
	loads := Loads{}
	for range d.Count(minLoadBytes) {
		key := HostKey(d.Uint32())
		loads[key] = d.Uint16()
	}
	return loads
}
