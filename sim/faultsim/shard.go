package faultsim

import (
	"fmt"

	"otterseam/tier/directory"
)

// ShardOptions configures a simulation of a shard. Times are milliseconds of virtual time.
type ShardOptions struct {
	Stores           int
	ToleratedLosses  int
	MaxFaultInterval int64
	Duration         int64 // time for which faults are injected
	StateBytes       int   // size of each replica's state, without the commands
	Bugs             ShardBugs
}

// shardSimulation simulates one shard, the stores that hold it, and the part of control that store processes depend on. Control is
// always available.
type shardSimulation struct {
	*simulation
	options         ShardOptions
	shard           directory.Shard
	stores          map[uint64]directory.Store // as registered with control, by identity
	sessions        map[uint64]storeSession    // by identity
	retiring        map[string]bool            // by the machine's name
	latestMap       map[*node]directory.Shard  // newest map that each store has received
	changePending   map[*node]bool             // whether a request to change the in-sync set is pending
	onChange        func()                     // called after each change of the map
	outcome         Outcome
	recovery        recoveryClock
	machinesCreated int
}

type storeSession struct {
	lastHeartbeat int64
	incarnation   uint64
	draining      bool
}

// SimulateShard simulates a shard under faults, checks it and returns the outcome.
func SimulateShard(seed int64, options ShardOptions) Outcome {
	s := newShardSimulation(seed, options)
	for range options.Stores {
		s.newStore()
	}
	s.placeShard()
	s.submitCommands()
	if !s.runUntilHolds(s.hasRecovered) {
		s.fail("the shard was not placed")
		return s.end()
	}
	a := s.newAdversary()
	s.onChange = a.onGroupChange
	a.injectFault()
	s.runUntil(s.now() + options.Duration)
	s.quiesced = true
	s.outcome.DisksLost = a.disksLost
	if !s.runUntilHolds(s.hasRecovered) {
		s.fail(fmt.Sprintf("not recovered: %+v", s.shard))
		return s.end()
	}
	s.checkAcknowledged(s.find(s.shard.View.Primary))
	return s.end()
}

func newShardSimulation(seed int64, options ShardOptions) *shardSimulation {
	s := &shardSimulation{
		simulation:    newSimulation(seed),
		options:       options,
		stores:        map[uint64]directory.Store{},
		sessions:      map[uint64]storeSession{},
		retiring:      map[string]bool{},
		latestMap:     map[*node]directory.Shard{},
		changePending: map[*node]bool{},
		onChange:      func() {},
	}
	s.stateBytes = options.StateBytes
	s.bugs = options.Bugs.Bugs
	s.onStart = s.startStore
	return s
}

func (s *shardSimulation) newAdversary() *adversary {
	return &adversary{
		sim:              s.simulation,
		toleratedLosses:  s.options.ToleratedLosses,
		maxInterval:      s.options.MaxFaultInterval,
		inSync:           func() []uint64 { return s.shard.View.InSync },
		primary:          func() uint64 { return s.shard.View.Primary },
		survivableLosses: func() int { return s.options.ToleratedLosses },
		onDiskLost:       func() { s.recovery = recoveryClock{since: s.now()} },
		drain:            s.drain,
		replaceMachine:   s.replaceStore,
		openLosses:       map[uint64]loss{},
	}
}

// end completes and returns the outcome.
func (s *shardSimulation) end() Outcome {
	s.outcome.Violation = s.violation
	s.outcome.Acknowledged = len(s.acknowledged)
	return s.outcome
}

// submitCommands proposes clients' commands to the primary at random intervals.
func (s *shardSimulation) submitCommands() {
	s.after(s.between(1, 2*meanCommandInterval), s.submitCommands)
	if n := s.find(s.shard.View.Primary); n != nil {
		n.propose()
	}
}

// measureRecovery records how long the recovery from a lost disk took.
func (s *shardSimulation) measureRecovery() {
	if s.recovery.since == 0 {
		return
	}
	primary := s.find(s.shard.View.Primary)
	ready := primary != nil && primary.group != nil && primary.group.IsReady() && s.inSyncRunning()
	if ready && !s.recovery.protected && s.shard.View.ToleratedLosses() >= s.options.ToleratedLosses {
		s.outcome.noteProtected(&s.recovery, s.now())
	}
	if ready && len(s.shard.View.InSync) >= s.cluster().ReplicationFactor() {
		s.outcome.noteFull(&s.recovery, s.now())
	}
}

// hasRecovered reports whether the shard has all its replicas in sync and running, and its primary is ready and has applied almost
// all of its log.
func (s *shardSimulation) hasRecovered() bool {
	primary := s.find(s.shard.View.Primary)
	if primary == nil || primary.group == nil || !primary.group.IsReady() || primary.group.View().Epoch != s.shard.View.Epoch {
		return false
	}
	return len(s.shard.View.InSync) >= s.cluster().ReplicationFactor() && primary.group.AppliedIndex()+maxApplyLag > primary.group.LastIndex() && s.inSyncRunning()
}

// inSyncRunning reports whether the machines of all in-sync replicas run.
func (s *shardSimulation) inSyncRunning() bool {
	for _, id := range s.shard.View.InSync {
		if n := s.find(id); n == nil || !n.up {
			return false
		}
	}
	return true
}
