package state

import (
	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

func (c PutStore) apply(s *State, index uint64) Result {
	s.View.Put(feed.SectionStore, directory.StoreKey(c.Store.Identity), index, c.Store.Encode())
	s.updateRetirementOnRegister(index, c.Store)
	return Result{Code: codes.OK}
}

func (c RemoveStore) apply(s *State, index uint64) Result {
	s.View.Delete(feed.SectionStore, directory.StoreKey(c.Store.Identity), index)
	s.updateRetirementOnRemoval(index, c.Store.Node)
	return Result{Code: codes.OK}
}

func (c PutShard) apply(s *State, index uint64) Result {
	key := directory.ShardKey(c.Shard.ID)
	epoch := uint64(0)
	if data, found := s.View.Get(feed.SectionShard, key); found {
		if current, err := directory.DecodeShard(data); err == nil {
			epoch = current.View.Epoch
		}
	}
	if epoch != c.Epoch {
		return Result{Code: codes.NotPrimary}
	}
	s.View.Put(feed.SectionShard, key, index, c.Shard.Encode())
	return Result{Code: codes.OK}
}

func (c SetMembers) apply(s *State, index uint64) Result {
	s.View.SetClusterID(c.Record.ClusterID)
	s.View.Put(feed.SectionControl, directory.CurrentKey, index, directory.EncodeControlMembers(c.Record))
	return Result{Code: codes.OK}
}
