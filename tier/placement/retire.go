package placement

import (
	"slices"

	"otterseam/tier/directory"
)

// IsEmpty reports whether a machine holds no replica of any shard.
func IsEmpty(shards map[uint32]directory.Shard, identity uint64) bool {
	for _, shard := range shards {
		if slices.Contains(shard.View.Replicas, identity) || slices.Contains(shard.View.InSync, identity) {
			return false
		}
	}
	return true
}

// IsNeeded reports whether a draining machine must not stop yet: it is the primary of a shard, or holds an in-sync replica that
// another machine still has to replace.
func IsNeeded(shards map[uint32]directory.Shard, identity uint64) bool {
	for _, shard := range shards {
		if shard.View.Primary == identity || shard.View.WouldUnderReplicate(identity) {
			return true
		}
	}
	return false
}

// IsRetired reports whether a retiring machine may be removed: it holds no replicas, and every shard has all its replicas in sync on
// other machines.
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
