package store

import (
	"slices"

	"otterseam/tier/directory"
	"otterseam/tier/programs"
	"otterseam/tier/replica"
	"otterseam/tier/timeline"
)

// followMap acts on the shard map: it opens and drops shards and tells the groups their views.
func (s *Server) followMap() {
	s.timeline.Reach(timeline.ViewReceived)
	if !s.node.BindCluster(s.view.ClusterID()) {
		return
	}
	for _, store := range directory.Stores(s.view) {
		s.node.SetAddress(store.Identity, store.Address)
	}
	for id, shard := range directory.Shards(s.view) {
		switch {
		case slices.Contains(shard.View.Replicas, s.self.Identity):
			s.holdShard(id, shard)
		case s.node.HasGroup(id):
			s.releaseShard(id, shard)
		}
	}
}

// holdShard opens a shard that the map gives to this store, and tells its group the view.
func (s *Server) holdShard(id uint32, shard directory.Shard) {
	if !s.node.HasGroup(id) {
		s.openShard(id)
	}
	if shard.View.Primary == s.self.Identity && shard.PrimaryIncarnation != s.self.Incarnation {
		return // it names an earlier incarnation of this process
	}
	s.node.SetView(id, shard.View)
}

// releaseShard drops a shard that has moved away, unless its group knows of a newer view than the map's.
func (s *Server) releaseShard(id uint32, shard directory.Shard) {
	movedAway := false
	s.node.WithGroup(id, func(g *replica.Group) { movedAway = shard.View.Epoch >= g.View().Epoch })
	if movedAway {
		s.node.DropGroup(id)
	}
}

// openShard opens the replica of a shard, from disk if there is something of it.
func (s *Server) openShard(id uint32) {
	if err := s.node.OpenGroup(id, programs.NewState(), replica.Options{}); err != nil {
		s.log.WithField("shard", id).WithError(err).Error("shard cannot be opened")
	}
}
