package fleetload

import (
	"hash/crc32"
	"maps"
	"math"
	"slices"

	"otterseam/tier/codec"
)

// HostKey names a host in four bytes. Hosts that share one, by chance, are taken for one with the sum of both.
type HostKey uint32

// KeyOf is the key of the host with an ID.
func KeyOf(id string) HostKey { return HostKey(crc32.ChecksumIEEE([]byte(id))) }

// Loads is how many requests are in flight at each host; hosts without any are left out.
type Loads map[HostKey]uint16

// add counts requests, up to the largest number.
func (l Loads) add(others Loads) {
	for key, count := range others {
		l[key] = uint16(min(uint32(l[key])+uint32(count), math.MaxUint16))
	}
}

// subtract takes requests off that were added before.
func (l Loads) subtract(others Loads) {
	for key, count := range others {
		if l[key] <= count {
			delete(l, key)
		} else {
			l[key] -= count
		}
	}
}

// minLoadBytes is the encoded size of one host's load.
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
