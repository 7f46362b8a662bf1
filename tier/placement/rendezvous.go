package placement

import (
	"hash/crc32"
	"sort"
	"strconv"

	"otterseam/tier/directory"
)

// candidate is a machine that could hold a shard, with its rendezvous weight for that shard.
type candidate struct {
	store  directory.Store
	weight uint32
}

// Desired returns the machines that should hold a shard, the preferred primary first. They are chosen by rendezvous hashing; each
// zone is used once before any zone is used twice.
func (c Cluster) Desired(shard uint32) []uint64 {
	var candidates []candidate
	for _, machine := range c.Machines {
		if !machine.Retiring && !machine.Away {
			candidates = append(candidates, candidate{machine.Store, weight(shard, machine.Store)})
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].weight != candidates[j].weight {
			return candidates[i].weight > candidates[j].weight
		}
		return candidates[i].store.Identity < candidates[j].store.Identity
	})
	want := min(c.ReplicationFactor(), len(candidates))
	var chosen []uint64
	for perZone := 1; len(chosen) < want; perZone++ {
		chosen = spread(candidates, perZone, want)
	}
	return chosen
}

// spread returns up to want candidates in order, at most perZone from each zone.
func spread(candidates []candidate, perZone, want int) []uint64 {
	used := map[string]int{}
	var chosen []uint64
	for _, each := range candidates {
		if len(chosen) < want && used[each.store.Zone] < perZone {
			used[each.store.Zone]++
			chosen = append(chosen, each.store.Identity)
		}
	}
	return chosen
}

// weight returns the rendezvous weight of a machine for a shard. Its inputs and its hash must never change, because shards would
// move.
func weight(shard uint32, store directory.Store) uint32 {
	key := strconv.FormatUint(uint64(shard), 10) + "/" + store.Node + "/" + strconv.FormatUint(store.Identity, 16)
	return mix(crc32.ChecksumIEEE([]byte(key)))
}

// mix spreads the bits of a CRC, which by itself is linear in its input. It is the lowbias32 finalizer of Wellons.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}
