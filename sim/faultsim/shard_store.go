package faultsim

import (
	"fmt"
	"slices"

	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// Intervals and timeouts of store processes and of control's placement, in milliseconds.
const (
	storeHeartbeatInterval = 120
	storeSessionTimeout    = 650
	storeAwayTimeout       = 4000
	storeForgetTimeout     = 15000
	storeWatchInterval     = 60
	storeDrainTimeout      = 6800
	placementInterval      = 50
)

var (
	mapDelays         = delays{1, 40}
	firstMapDelays    = delays{5, 40} // until a process that has started receives the map
	heartbeatDelays   = delays{1, 6}
	changeDelays      = delays{2, 12} // until control handles a request to change the in-sync set
	slowChangeDelays  = delays{150, 450}
	changeRetryDelays = delays{60, 120}
)

const (
	shardNumber    = 1
	slowChangeOdds = 6 // one in this many requests to change the in-sync set is slow
)

// newStore adds a machine and starts a store process on it.
func (s *shardSimulation) newStore() {
	s.machinesCreated++
	n := s.addNode(fmt.Sprintf("store-%d", s.machinesCreated))
	n.start()
}

// startStore starts the work of a store process: it renews its session, applies maps and requests changes of the in-sync set.
func (s *shardSimulation) startStore(n *node) {
	delete(s.latestMap, n)
	delete(s.changePending, n)
	n.every(storeHeartbeatInterval, func() { s.heartbeat(n) })
	n.every(storeWatchInterval, func() { s.requestInSyncChange(n) })
	n.afterIfRunning(s.draw(firstMapDelays), func() { s.applyMap(n, s.shard) })
}

func (s *shardSimulation) storeOf(n *node) directory.Store {
	return directory.Store{Identity: n.identity, Incarnation: n.incarnation, Node: n.name, Address: n.address, Zone: "z"}
}

func (s *shardSimulation) heartbeat(n *node) {
	store, draining := s.storeOf(n), n.draining
	s.after(s.draw(heartbeatDelays), func() {
		s.sessions[store.Identity] = storeSession{lastHeartbeat: s.now(), incarnation: store.Incarnation, draining: draining}
		s.stores[store.Identity] = store
	})
}

// applyMap applies a received map as a store process does.
func (s *shardSimulation) applyMap(n *node, shard directory.Shard) {
	if shard.View.Epoch == 0 || s.latestMap[n].View.Epoch > shard.View.Epoch {
		return
	}
	s.latestMap[n] = shard
	switch {
	case !slices.Contains(shard.View.Replicas, n.identity):
		if n.group != nil && shard.View.Epoch >= n.group.View().Epoch {
			n.disk = disk{}
			n.openReplica()
		}
	case shard.View.Primary == n.identity && shard.PrimaryIncarnation != n.incarnation:
	default:
		n.group.SetView(shard.View, s.now())
		n.handleOutput()
	}
}

// requestInSyncChange requests from control, on behalf of the shard's primary, that a replica that has caught up be added to the
// in-sync set or an unresponsive one be removed.
func (s *shardSimulation) requestInSyncChange(n *node) {
	if n.group == nil || s.changePending[n] {
		return
	}
	epoch := n.group.View().Epoch
	change := func(id uint64, admit bool) {
		s.changePending[n] = true
		delay := s.draw(changeDelays)
		if s.oneIn(slowChangeOdds) {
			delay = s.draw(slowChangeDelays)
		}
		s.after(delay, func() {
			if epoch == s.shard.View.Epoch {
				if next, allowed := s.cluster().ChangeInSync(s.shard, id, admit); allowed {
					s.publish(next)
				}
			}
		})
		n.afterIfRunning(delay+s.draw(changeRetryDelays), func() { delete(s.changePending, n) })
	}
	if caughtUp := s.caughtUp(n); len(caughtUp) > 0 {
		if !s.options.Bugs.AdmitLate {
			n.group.Admit(caughtUp[0])
		}
		change(caughtUp[0], true)
	} else if unresponsive := n.group.Unresponsive(s.now()); len(unresponsive) > 0 {
		change(unresponsive[0], false)
	}
}

func (s *shardSimulation) caughtUp(n *node) []uint64 {
	if s.options.Bugs.AdmitLagging && n.group.IsPrimary() {
		var ids []uint64
		for _, id := range n.group.View().Replicas {
			if !n.group.View().IsInSync(id) {
				ids = append(ids, id)
			}
		}
		return ids
	}
	return n.group.CaughtUp(s.now())
}

// drain stops a process as planned: the process exits when the shard no longer needs it or the drain timeout has passed, and starts
// again with its disk.
func (s *shardSimulation) drain(n *node) {
	n.draining = true
	n.afterIfRunning(0, func() { s.exitWhenDrained(n, s.now()+storeDrainTimeout) })
}

// exitWhenDrained ends a draining process once the shard no longer needs it or the deadline has passed.
func (s *shardSimulation) exitWhenDrained(n *node, deadline int64) {
	shards := map[uint32]directory.Shard{shardNumber: s.latestMap[n]}
	needed := placement.IsNeeded(shards, n.identity) || (n.group != nil && n.group.IsPrimary())
	if s.options.Bugs.LeaveWithoutDrain {
		needed = false
	}
	if needed && s.now() < deadline {
		n.afterIfRunning(storeWatchInterval, func() { s.exitWhenDrained(n, deadline) })
		return
	}
	n.crash()
	if s.options.Bugs.LeaveWithoutDrain {
		n.removed = true
		s.newStore()
		return
	}
	s.after(s.draw(restartDelays), n.start)
}
