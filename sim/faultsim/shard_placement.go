package faultsim

import (
	"slices"

	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// cluster returns the stores as control observes them.
func (s *shardSimulation) cluster() placement.Cluster {
	machines := map[uint64]placement.Machine{}
	for id, store := range s.stores {
		session := s.sessions[id]
		silence := s.now() - session.lastHeartbeat
		machines[id] = placement.Machine{
			Store: store, Alive: silence <= storeSessionTimeout && session.incarnation == store.Incarnation, Away: silence > storeAwayTimeout,
			Draining: session.draining, Retiring: s.retiring[store.Node],
		}
	}
	return placement.Cluster{Machines: machines, Tolerate: s.options.ToleratedLosses}
}

// placeShard does control's periodic work: it deletes stores whose disk is lost or that have been away for long, places the shard,
// and later updates its placement.
func (s *shardSimulation) placeShard() {
	s.after(placementInterval, s.placeShard)
	cluster := s.cluster()
	for id := range s.stores {
		idle := cluster.Machines[id].Away && !slices.Contains(s.shard.View.Replicas, id) && s.now()-s.sessions[id].lastHeartbeat > storeForgetTimeout
		lost := cluster.DiskLost(id)
		if s.options.Bugs.SilenceIsDiskLoss {
			lost = !cluster.Machines[id].Alive
		}
		if lost || idle {
			delete(s.stores, id)
			delete(s.sessions, id)
		}
	}
	cluster = s.cluster()
	if s.shard.View.Epoch == 0 {
		if len(s.stores) < s.options.Stores {
			return
		}
		if shard, placed := cluster.Place(shardNumber); placed {
			s.publish(shard)
		}
		return
	}
	if next, changed := cluster.Next(s.shard); changed {
		s.publish(s.withBugs(next))
	}
	s.measureRecovery()
}

// publish distributes a new map to all stores.
func (s *shardSimulation) publish(shard directory.Shard) {
	if s.options.Bugs.NoMinInSync {
		shard.View.MinInSync = 0
	}
	s.shard = shard
	for _, n := range s.nodes {
		n.afterIfRunning(s.draw(mapDelays), func() { s.applyMap(n, shard) })
	}
	s.onChange()
}

// retirementDelays is the range of delays before a retiring store is first checked for completion.
var retirementDelays = delays{200, 900}

// replaceStore replaces a store as planned: it adds a new store, retires the old one, and removes the old machine and its disk once
// the retirement is complete.
func (s *shardSimulation) replaceStore() {
	if len(s.retiring) > 0 {
		return
	}
	n := s.nodes[s.random.Intn(len(s.nodes))]
	if n.removed || !n.up {
		return
	}
	s.newStore()
	s.retiring[n.name] = true
	var checkRetired func()
	checkRetired = func() {
		complete := s.cluster().IsRetired(map[uint32]directory.Shard{shardNumber: s.shard}, n.identity)
		if s.options.Bugs.RetireEarly {
			complete = s.shard.View.Primary != n.identity
		}
		if !complete {
			s.after(placementInterval, checkRetired)
			return
		}
		n.crash()
		n.removed = true
		delete(s.retiring, n.name)
	}
	s.after(s.draw(retirementDelays), checkRetired)
}
