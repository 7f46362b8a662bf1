package placement

import (
	"slices"

	"otterseam/tier/directory"
)

// IsEmpty tells whether a machine holds no shard any more.
func IsEmpty(shards map[uint32]directory.Shard, identity uint64) bool {
	for _, shard := range shards {
		if slices.Contains(shard.View.Replicas, identity) || slices.Contains(shard.View.InSync, identity) {
			return false
		}
	}
	return true
}

// IsNeeded tells whether shards can't do without a machine that is draining: it leads one, or holds a replica that another machine
// is still to get.
func IsNeeded(shards map[uint32]directory.Shard, identity uint64) bool {
	for _, shard := range shards {
		if shard.View.Primary == identity || shard.View.WouldUnderReplicate(identity) {
			return true
		}
	}
	return false
}

// IsRetired tells whether a machine may go for good: it holds nothing, and every shard has all its replicas on the others.
func (c Cluster) IsRetired(shards map[uint32]directory.Shard, identity uint64) bool {
	if !IsEmpty(shards, identity) {
		return false
	}
	for _, shard := range shards {
		if len(shard.View.InSync) < max(shard.View.MinInSync, len(c.Desired(shard.ID))) {
			return false
		}
	}
	return true
}
