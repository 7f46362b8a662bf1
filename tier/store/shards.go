package store

import (
	"slices"

	"otterseam/tier/directory"
	"otterseam/tier/programs"
	"otterseam/tier/replica"
	"otterseam/tier/timeline"
)

// applyShardMap applies the shard map: it opens and drops shards and sets the views of their groups.
func (s *Server) applyShardMap() {
	s.timeline.Reach(timeline.ViewReceived)
	if !s.node.BindCluster(s.view.ClusterID()) {
		return
	}
	for _, store := range directory.Stores(s.view) {
		s.node.SetAddress(store.Identity, store.Address)
	}
	s.turns.setPrimaries(len(s.primariesOfOwnShards()))
	for id, shard := range directory.Shards(s.view) {
		switch {
		case slices.Contains(shard.View.Replicas, s.self.Identity):
			s.updateShard(id, shard)
		case s.node.HasGroup(id):
			s.dropMovedShard(id, shard)
		}
	}
}

// updateShard opens a shard that the map assigns to this store, and sets the view of its group.
func (s *Server) updateShard(id uint32, shard directory.Shard) {
	if !s.node.HasGroup(id) {
		s.openShard(id)
	}
	if shard.View.Primary == s.self.Identity && shard.PrimaryIncarnation != s.self.Incarnation {
		return // the map names an earlier incarnation of this process
	}
	s.node.SetView(id, shard.View)
}

// dropMovedShard drops a shard that the map no longer assigns to this store, unless its group has a newer view than the map.
func (s *Server) dropMovedShard(id uint32, shard directory.Shard) {
	s.shardsMu.Lock()
	defer s.shardsMu.Unlock()
	movedAway := false
	s.node.WithGroup(id, func(g *replica.Group) { movedAway = shard.View.Epoch >= g.View().Epoch })
	if movedAway {
		s.node.DropGroup(id)
		s.turns.setState(id, nil)
	}
}

// openShard opens the replica of a shard with its state on disk, if there is any.
func (s *Server) openShard(id uint32) {
	s.shardsMu.Lock()
	defer s.shardsMu.Unlock()
	if s.node.HasGroup(id) {
		return
	}
	state := programs.NewStateIn(s.turns.usage)
	if err := s.node.OpenGroup(id, state, replica.Options{}); err != nil {
		s.log.WithField("shard", id).WithError(err).Error("shard cannot be opened")
		return
	}
	s.turns.setState(id, state)
}
