package placement

import (
	"hash/crc32"
	"sort"
	"strconv"

	"otterseam/tier/directory"
)

// candidate is a machine that could hold a shard, with its rendezvous weight for it.
type candidate struct {
	store  directory.Store
	weight uint32
}

// Desired lists the machines that should hold a shard, the preferred primary first: by rendezvous hashing, each zone once
// before any zone twice.
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

// spread takes candidates in order, so many from each zone at most.
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

// weight is the rendezvous weight of a machine for a shard. Its inputs and its hash never change: shards would move.
func weight(shard uint32, store directory.Store) uint32 {
	key := strconv.FormatUint(uint64(shard), 10) + "/" + store.Node + "/" + strconv.FormatUint(store.Identity, 16)
	return mix(crc32.ChecksumIEEE([]byte(key)))
}

// mix spreads the bits of a checksum, which alone is linear in its input: the lowbias32 finaliser of Wellons.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}
