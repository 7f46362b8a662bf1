package faultsim

import (
	"fmt"
	"slices"

	"otterseam/tier/consensus"
	"otterseam/tier/directory"
	"otterseam/tier/placement"
)

// The times of the tier's processes, in milliseconds.
const (
	storeBeatEvery   = 120
	storeSilence     = 650
	storeAway        = 4000
	storeForget      = 15000
	storeWatchEvery  = 60
	placeEvery       = 50
	orderEvery       = 9
	leaveLimit       = 6800
	settleWithin     = 60_000
	shardNumber      = 1
	longestViewDelay = 40
	slowChange       = 6 // one change of the map in so many takes long
)

// ShardBugs are faults put into a play of a shard, to see that it finds them.
type ShardBugs struct {
	Bugs
	NoMinCopies   bool // the view demands no number of copies
	AdmitLate     bool // commands don't wait for a replica before the map takes it in
	AdmitLagging  bool // a replica is taken in whatever it holds
	AnyLeads      bool // any replica may lead, in sync or not
	DropAnyone    bool // silent replicas leave the in-sync set however few remain
	LostBySilence bool // a silent store counts as one whose disk is lost
	LeaveAtOnce   bool // a process that is stopped ends at once, and its machine goes for good
	RetireEarly   bool // a machine goes for good when it no longer leads
}

// ShardOptions say what is played.
type ShardOptions struct {
	Stores    int
	Tolerate  int
	Spaced    int64 // most milliseconds between harms
	Length    int64
	StateSize int
	Bugs      ShardBugs
}

// Outcome is what a play ended with.
type Outcome struct {
	Fault        string // empty if nothing was found wrong
	Acknowledged int
	Strikes      int
	// Protected holds, for each strike after which the group came there before the next one, the milliseconds until it bore the
	// tolerated losses again, and Full until it had all its copies.
	Protected []int64
	Full      []int64
}

// shardPlay is one shard, the stores that hold it, and control as the store processes see it, which is always there.
type shardPlay struct {
	*play
	options  ShardOptions
	shard    directory.Shard
	stores   map[uint64]directory.Store // as registered
	sessions map[uint64]storeSession
	retiring map[string]bool
	known    map[*node]directory.Shard // the newest map at each store
	asking   map[*node]bool
	changed  func() // after a change of the map
	outcome  Outcome
	repair   repairClock
	next     int
}

type storeSession struct {
	heardAt int64
	boot    uint64
	leaving bool
}

// repairClock measures from a strike until the group is whole again.
type repairClock struct {
	since     int64
	protected bool
}

// PlayShard plays a shard under losses and judges it.
func PlayShard(seed int64, options ShardOptions) Outcome {
	s := &shardPlay{
		play: newPlay(seed), options: options, stores: map[uint64]directory.Store{}, sessions: map[uint64]storeSession{},
		retiring: map[string]bool{}, known: map[*node]directory.Shard{}, asking: map[*node]bool{},
	}
	s.stateSize = options.StateSize
	s.bugs = options.Bugs.Bugs
	s.changed = func() {}
	s.started = s.startStore
	for range options.Stores {
		s.newStore()
	}
	s.place()
	s.order()
	if !s.RunUntil(settleWithin, s.whole) {
		s.fail("the shard was not founded")
		return s.end()
	}
	a := &adversary{
		play: s.play, tolerate: options.Tolerate, open: map[uint64]loss{}, spaced: options.Spaced,
		inSync: func() []uint64 { return s.shard.View.InSync }, primary: func() uint64 { return s.shard.View.Primary },
		bears: func() int { return s.options.Tolerate }, leave: s.leave, replace: s.retire, struck: func() { s.repair = repairClock{since: s.Now} },
	}
	s.changed = a.provoked
	a.act()
	s.Run(s.Now + options.Length)
	s.quiet = true
	s.outcome.Strikes = a.strikes
	if !s.RunUntil(settleWithin, s.whole) {
		s.fail(fmt.Sprintf("no way back: %+v", s.shard))
		return s.end()
	}
	s.judge(s.find(s.shard.View.Primary))
	return s.end()
}

func (s *shardPlay) end() Outcome {
	s.outcome.Fault = s.fault
	s.outcome.Acknowledged = len(s.acknowledged)
	return s.outcome
}

func (s *shardPlay) newStore() *node {
	s.next++
	n := s.addNode(fmt.Sprintf("store-%d", s.next))
	n.start()
	return n
}

// startStore runs a store process: it keeps a session, follows the map and asks for changes of the in-sync set.
func (s *shardPlay) startStore(n *node) {
	delete(s.known, n)
	delete(s.asking, n)
	n.every(storeBeatEvery, func() { s.beat(n) })
	n.every(storeWatchEvery, func() { s.watch(n) })
	n.later(s.Between(5, longestViewDelay), func() { s.follow(n, s.shard) })
}

func (s *shardPlay) storeOf(n *node) directory.Store {
	return directory.Store{Identity: n.identity, Incarnation: n.boot, Node: n.name, Address: n.address, Zone: "z"}
}

func (s *shardPlay) beat(n *node) {
	store, leaving := s.storeOf(n), n.leaving
	s.After(s.Between(1, 6), func() {
		s.sessions[store.Identity] = storeSession{heardAt: s.Now, boot: store.Incarnation, leaving: leaving}
		s.stores[store.Identity] = store
	})
}

// cluster is what control sees.
func (s *shardPlay) cluster() placement.Cluster {
	machines := map[uint64]placement.Machine{}
	for id, store := range s.stores {
		session := s.sessions[id]
		silence := s.Now - session.heardAt
		machines[id] = placement.Machine{
			Store: store, Alive: silence <= storeSilence && session.boot == store.Incarnation, Away: silence > storeAway,
			Draining: session.leaving, Retiring: s.retiring[store.Node],
		}
	}
	return placement.Cluster{Machines: machines, Tolerate: s.options.Tolerate}
}

// place is control's periodic work.
func (s *shardPlay) place() {
	s.After(placeEvery, s.place)
	cluster := s.cluster()
	for id := range s.stores {
		idle := cluster.Machines[id].Away && !slices.Contains(s.shard.View.Replicas, id) && s.Now-s.sessions[id].heardAt > storeForget
		lost := cluster.DiskLost(id)
		if s.options.Bugs.LostBySilence {
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
			s.put(shard)
		}
		return
	}
	if next, changed := cluster.Next(s.shard); changed {
		s.put(s.spoil(next))
	}
	s.measure()
}

// spoil puts faults into a decision.
func (s *shardPlay) spoil(next directory.Shard) directory.Shard {
	if s.options.Bugs.DropAnyone {
		for _, id := range next.View.InSync {
			if !s.cluster().Machines[id].Alive && id != next.View.Primary {
				next.View.InSync = consensus.Without(next.View.InSync, id)
			}
		}
	}
	if s.options.Bugs.AnyLeads && next.View.Primary != s.shard.View.Primary {
		for _, id := range next.View.Replicas {
			if s.cluster().Machines[id].Alive {
				next.View.Primary = id
				next.PrimaryIncarnation = s.stores[id].Incarnation
			}
		}
	}
	return next
}

// put distributes a new map.
func (s *shardPlay) put(shard directory.Shard) {
	if s.options.Bugs.NoMinCopies {
		shard.View.MinInSync = 0
	}
	s.shard = shard
	for _, n := range s.nodes {
		n.later(s.Between(1, longestViewDelay), func() { s.follow(n, shard) })
	}
	s.changed()
}

// follow acts on a map as a store process does.
func (s *shardPlay) follow(n *node, shard directory.Shard) {
	if shard.View.Epoch == 0 || s.known[n].View.Epoch > shard.View.Epoch {
		return
	}
	s.known[n] = shard
	switch {
	case !slices.Contains(shard.View.Replicas, n.identity):
		if n.group != nil && shard.View.Epoch >= n.group.View().Epoch {
			n.disk = disk{}
			n.open()
		}
	case shard.View.Primary == n.identity && shard.PrimaryIncarnation != n.boot:
	default:
		n.group.SetView(shard.View, s.Now)
		n.carryOut()
	}
}

// watch asks control to change the in-sync set for the shard's primary.
func (s *shardPlay) watch(n *node) {
	if n.group == nil || s.asking[n] {
		return
	}
	epoch := n.group.View().Epoch
	change := func(id uint64, admit bool) {
		s.asking[n] = true
		delay := s.Between(2, 12)
		if s.Chance(slowChange) {
			delay = s.Between(150, 450)
		}
		s.After(delay, func() {
			if epoch == s.shard.View.Epoch {
				if next, allowed := s.cluster().ChangeInSync(s.shard, id, admit); allowed {
					s.put(next)
				}
			}
		})
		n.later(delay+s.Between(60, 120), func() { delete(s.asking, n) })
	}
	if caughtUp := s.caughtUp(n); len(caughtUp) > 0 {
		if !s.options.Bugs.AdmitLate {
			n.group.Admit(caughtUp[0])
		}
		change(caughtUp[0], true)
	} else if silent := n.group.Unresponsive(s.Now); len(silent) > 0 {
		change(silent[0], false)
	}
}

func (s *shardPlay) caughtUp(n *node) []uint64 {
	if s.options.Bugs.AdmitLagging && n.group.IsPrimary() {
		var ids []uint64
		for _, id := range n.group.View().Replicas {
			if !n.group.View().IsInSync(id) {
				ids = append(ids, id)
			}
		}
		return ids
	}
	return n.group.CaughtUp(s.Now)
}

// order has a client give the primary a command now and then.
func (s *shardPlay) order() {
	s.After(s.Between(1, 2*orderEvery), s.order)
	if n := s.find(s.shard.View.Primary); n != nil {
		n.propose()
	}
}

// leave stops a process as planned: it ends when the shard can do without it or time is up, and starts again with its disk.
func (s *shardPlay) leave(n *node) {
	n.leaving = true
	n.later(0, func() { s.endWhenFree(n, s.Now+leaveLimit, nil) })
}

// endWhenFree ends a leaving process once nothing depends on it.
func (s *shardPlay) endWhenFree(n *node, limit int64, gone func()) {
	shards := map[uint32]directory.Shard{shardNumber: s.known[n]}
	needed := placement.IsNeeded(shards, n.identity) || (n.group != nil && n.group.IsPrimary())
	if s.options.Bugs.LeaveAtOnce {
		needed = false
	}
	if needed && s.Now < limit {
		n.later(storeWatchEvery, func() { s.endWhenFree(n, limit, gone) })
		return
	}
	n.crash()
	if s.options.Bugs.LeaveAtOnce {
		n.removed = true
		s.newStore()
		return
	}
	s.After(s.Between(100, 1200), n.start)
}

// retire replaces a store as planned: a new one comes, the old one is emptied and goes with its disk when it is complete.
func (s *shardPlay) retire() {
	if len(s.retiring) > 0 {
		return
	}
	n := s.nodes[s.Random.Intn(len(s.nodes))]
	if n.removed || !n.up {
		return
	}
	s.newStore()
	s.retiring[n.name] = true
	var look func()
	look = func() {
		complete := s.cluster().IsRetired(map[uint32]directory.Shard{shardNumber: s.shard}, n.identity)
		if s.options.Bugs.RetireEarly {
			complete = s.shard.View.Primary != n.identity
		}
		if !complete {
			s.After(placeEvery, look)
			return
		}
		n.crash()
		n.removed = true
		delete(s.retiring, n.name)
	}
	s.After(s.Between(200, 900), look)
}

// measure notes how long a repair took.
func (s *shardPlay) measure() {
	if s.repair.since == 0 {
		return
	}
	alive := 0
	for _, id := range s.shard.View.InSync {
		if n := s.find(id); n != nil && n.up {
			alive++
		}
	}
	primary := s.find(s.shard.View.Primary)
	ready := primary != nil && primary.group != nil && primary.group.IsReady() && alive == len(s.shard.View.InSync)
	if ready && !s.repair.protected && s.shard.View.ToleratedLosses() >= s.options.Tolerate {
		s.repair.protected = true
		s.outcome.Protected = append(s.outcome.Protected, s.Now-s.repair.since)
	}
	if ready && len(s.shard.View.InSync) >= s.cluster().ReplicationFactor() {
		s.outcome.Full = append(s.outcome.Full, s.Now-s.repair.since)
		s.repair = repairClock{}
	}
}

// whole tells whether the shard has all its copies and its primary serves.
func (s *shardPlay) whole() bool {
	primary := s.find(s.shard.View.Primary)
	if primary == nil || primary.group == nil || !primary.group.IsReady() || primary.group.View().Epoch != s.shard.View.Epoch {
		return false
	}
	return len(s.shard.View.InSync) >= s.cluster().ReplicationFactor() && primary.group.AppliedIndex()+5 > primary.group.LastIndex() && s.copiesRun()
}

func (s *shardPlay) copiesRun() bool {
	for _, id := range s.shard.View.InSync {
		if n := s.find(id); n == nil || !n.up {
			return false
		}
	}
	return true
}
