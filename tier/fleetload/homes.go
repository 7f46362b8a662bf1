package fleetload

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
	"strconv"

	"otterseam/tier/directory"
)

// Homes returns the addresses of the store machines that may be the home of a zone, the preferred one first. The result depends only
// on the store machines and the zone, so that all processes agree on it. A zone without store machines uses the homes of another
// zone.
func Homes(stores map[uint64]directory.Store, zone string) []string {
	zones := Zones(stores)
	if len(zones) == 0 {
		return nil
	}
	if !slices.Contains(zones, zone) {
		zone = zones[crc32.ChecksumIEEE([]byte(zone))%uint32(len(zones))]
	}
	candidates := map[uint64]directory.Store{}
	for id, store := range stores {
		if store.Zone == zone {
			candidates[id] = store
		}
	}
	ids := slices.SortedFunc(maps.Keys(candidates), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	var addresses []string
	for _, id := range ids {
		addresses = append(addresses, candidates[id].Address)
	}
	return addresses
}

// rank returns the position of a machine in the order of preference. It is a hash of the machine's identity.
func rank(identity uint64) uint32 {
	return crc32.ChecksumIEEE([]byte("home " + strconv.FormatUint(identity, 16)))
}

// Zones returns the zones that have store machines, sorted.
func Zones(stores map[uint64]directory.Store) []string {
	var zones []string
	for _, store := range stores {
		zones = append(zones, store.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// PeerHomes returns the addresses of the preferred homes of all zones, except the address self.
func PeerHomes(stores map[uint64]directory.Store, self string) []string {
	var peers []string
	for _, zone := range Zones(stores) {
		if home := Homes(stores, zone)[0]; home != self {
			peers = append(peers, home)
		}
	}
	return peers
}
