package placement

import (
	"sort"

	"otterseam/tier/directory"
)

// LeastProtectedFirst returns the shards in the order in which they are repaired: those that tolerate the fewest losses first.
func LeastProtectedFirst(shards map[uint32]directory.Shard) []directory.Shard {
	ordered := make([]directory.Shard, 0, len(shards))
	for _, shard := range shards {
		ordered = append(ordered, shard)
	}
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i].View.ToleratedLosses(), ordered[j].View.ToleratedLosses()
		if a != b {
			return a < b
		}
		return ordered[i].ID < ordered[j].ID
	})
	return ordered
}
