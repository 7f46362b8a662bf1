package control

import (
	"context"
	"strings"
	"sync"

	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/groups"
	"otterseam/tier/periodic"
	"otterseam/tier/placement"
	"otterseam/tier/register"
	"otterseam/tier/replica"
)

// storeForget is how long a store that holds nothing may be silent before it is forgotten, in milliseconds.
const storeForget = 15000

// lead does the primary's periodic work.
func (s *Server) lead(ctx context.Context) {
	s.beginSessions()
	s.publishMembers(ctx)
	s.removeSilentHosts(ctx)
	s.removeLostStores(ctx)
	s.placeShards(ctx)
}

// adjustReplicas keeps control's own replicas in order while this process leads. It runs beside the other work of the primary,
// which may wait for a replica that has to be dropped first.
func (s *Server) adjustReplicas(ctx context.Context) {
	periodic.Run(ctx, superviseEvery, func() {
		leads := false
		s.host.With(controlGroup, func(g *replica.Group) { leads = g.IsPrimary() })
		if leads {
			s.adjustInSync(ctx)
			s.adjustMembers(ctx)
		}
	})
}

func (s *Server) beginSessions() {
	epoch := s.elector.Known().Epoch
	s.mu.Lock()
	fresh := s.leading == 0
	s.leading = epoch
	if fresh {
		s.ledSince = groups.Now()
	}
	s.mu.Unlock()
	if fresh {
		s.sessions.Begin(s.state)
	}
}

// endLeading notes that another process leads, so that sessions begin anew the next time.
func (s *Server) endLeading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = 0
}

// adjustInSync drops silent replicas of control and takes in those that have caught up.
func (s *Server) adjustInSync(ctx context.Context) {
	var silent, caughtUp []uint64
	s.host.With(controlGroup, func(g *replica.Group) {
		silent = g.Silent(groups.Now())
		caughtUp = g.CaughtUp(groups.Now())
		for _, id := range caughtUp {
			g.Admit(id)
		}
	})
	// one that caught up comes first: the set may be too small to let a silent one go without it
	if len(caughtUp) > 0 {
		_ = s.elector.Adjust(ctx, func(record register.Record) (register.Record, bool) {
			next := record
			for _, id := range caughtUp {
				if register.HasMember(record.Members, id) {
					next.InSync = append(register.Without(next.InSync, id), id)
				}
			}
			return next, len(next.InSync) > len(record.InSync)
		})
		return
	}
	if len(silent) > 0 {
		_ = s.elector.Adjust(ctx, func(record register.Record) (register.Record, bool) {
			next := record
			for _, id := range silent {
				if s.gone(id) || len(next.InSync) > s.floor(len(record.Members)) {
					next.InSync = register.Without(next.InSync, id)
				}
			}
			return next, true
		})
	}
}

// adjustMembers makes one change of the members: a lost one is replaced, a missing one added.
func (s *Server) adjustMembers(ctx context.Context) {
	known := s.elector.Known()
	if _, wanted := s.nextMembers(known); !wanted && len(known.Previous) == 0 {
		return
	}
	_ = s.elector.Adjust(ctx, func(record register.Record) (register.Record, bool) {
		// the record known here need not have been decided: what is to follow is built on the one that was read
		next, wanted := s.nextMembers(record)
		return next, wanted || len(record.Previous) > 0
	})
}

func (s *Server) nextMembers(record register.Record) (register.Record, bool) {
	copies := 2*s.settings.TolerateMachine + 1
	s.mu.Lock()
	since := s.ledSince
	s.mu.Unlock()
	for _, candidate := range s.sessions.Controls() {
		if register.HasMember(record.Members, candidate.ID) {
			continue
		}
		if len(record.Members) < copies && !hasAddress(record.Members, candidate.Address) {
			return withMember(record, 0, candidate), true
		}
		for _, member := range record.Members {
			replaced := member.Address == candidate.Address
			silent := s.sessions.ControlSilent(member.ID, since) && !record.IsInSync(member.ID)
			if member.ID != s.self.ID && (replaced || silent) {
				return withMember(record, member.ID, candidate), true
			}
		}
	}
	return record, false
}

func hasAddress(members []register.Member, address string) bool {
	for _, member := range members {
		if member.Address == address {
			return true
		}
	}
	return false
}

func withMember(record register.Record, remove uint64, add register.Member) register.Record {
	next := record
	next.Members = nil
	for _, member := range record.Members {
		if member.ID != remove {
			next.Members = append(next.Members, member)
		}
	}
	next.Members = append(next.Members, add)
	next.InSync = register.Without(record.InSync, remove)
	return next
}

// publishMembers tells subscribers where control is.
func (s *Server) publishMembers(ctx context.Context) {
	known := s.elector.Known()
	var addresses []string
	for _, member := range known.Members {
		addresses = append(addresses, member.Address)
	}
	if strings.Join(addresses, " ") == strings.Join(directory.ControlAddresses(s.state.View), " ") {
		return
	}
	_, _ = s.submitHere(ctx, Command{Kind: CommandMembers, Record: known}.Encode())
}

func (s *Server) removeSilentHosts(ctx context.Context) {
	for _, id := range s.sessions.SilentHosts(s.settings.Heartbeat.Milliseconds()) {
		s.log.WithField("host", id).Info("host removed: no heartbeats")
		_, _ = s.hostGone(ctx, id, false)
	}
}

// removeLostStores forgets stores whose disk is gone, because their machine has come back with another identity, and those
// that hold nothing and are long silent.
func (s *Server) removeLostStores(ctx context.Context) {
	stores := directory.Stores(s.state.View)
	shards := directory.Shards(s.state.View)
	cluster := s.cluster()
	aliveAt := map[string]bool{} // addresses at which a store is alive
	for id, store := range stores {
		if cluster.Machines[id].Alive {
			aliveAt[store.Address] = true
		}
	}
	for id, store := range stores {
		replaced := !cluster.Machines[id].Alive && aliveAt[store.Address]
		idle := cluster.Machines[id].Away && placement.Empty(shards, id) && s.sessions.storeSilentFor(id) > storeForget
		if !replaced && !idle {
			continue
		}
		s.log.WithField("store", store.Node).Info("store removed: its disk is gone or it holds nothing")
		_, _ = s.submitHere(ctx, Command{Kind: CommandRemoveStore, Store: store}.Encode())
	}
}

func (s *Sessions) storeSilentFor(id uint64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return groups.Now() - s.stores[id].heardAt
}

func (s *Server) cluster() placement.Cluster {
	retiring := func(node string) bool {
		_, found := s.state.View.Get(feed.SectionRetire, node)
		return found
	}
	machines := s.sessions.Machines(directory.Stores(s.state.View), retiring)
	return placement.Cluster{Machines: machines, Tolerate: s.settings.TolerateMachine}
}

// foundShardsAfter is how long the first primary waits for stores, in milliseconds, so that shards are spread over all.
const foundShardsAfter = 900

// placeShards decides who holds the shards.
func (s *Server) placeShards(ctx context.Context) {
	cluster := s.cluster()
	shards := directory.Shards(s.state.View)
	var commands []Command
	if len(shards) < placement.ShardCount {
		s.mu.Lock()
		waited := groups.Now()-s.ledSince > foundShardsAfter
		s.mu.Unlock()
		if waited {
			commands = s.foundShards(cluster, shards)
		}
	}
	for _, shard := range shards {
		if next, changed := cluster.Next(shard); changed {
			commands = append(commands, Command{Kind: CommandPutShard, Epoch: shard.View.Epoch, Shard: next})
		}
	}
	var wait sync.WaitGroup
	for _, command := range commands {
		wait.Add(1)
		go func() {
			defer wait.Done()
			_, _ = s.submitHere(ctx, command.Encode())
		}()
	}
	wait.Wait()
}

func (s *Server) foundShards(cluster placement.Cluster, shards map[uint32]directory.Shard) []Command {
	var commands []Command
	for id := range uint32(placement.ShardCount) {
		if _, exists := shards[id]; exists {
			continue
		}
		if shard, placed := cluster.Found(id); placed {
			commands = append(commands, Command{Kind: CommandPutShard, Shard: shard})
		}
	}
	return commands
}

// retireState tells whether a store machine is still being emptied. The answer waits for a command of its own, so that a
// primary that has been replaced cannot give it.
func (s *Server) retireState(ctx context.Context, node string) (Result, error) {
	if _, err := s.submitHere(ctx, Command{Kind: CommandReadConfig}.Encode()); err != nil {
		return Result{}, err
	}
	if _, retiring := s.state.View.Get(feed.SectionRetire, node); !retiring {
		return Result{Code: codes.RetireUnknown}, nil
	}
	shards := directory.Shards(s.state.View)
	for id, store := range directory.Stores(s.state.View) {
		if store.Node == node && !placement.Empty(shards, id) {
			return Result{Body: []byte(retireRunning)}, nil
		}
	}
	return Result{Body: []byte(retireCompleted)}, nil
}

// Stop hands the lead to a backup, if this process has it.
func (s *Server) Stop(ctx context.Context) {
	if !s.host.IsPrimary(controlGroup) {
		return
	}
	known := s.elector.Known()
	for _, id := range known.InSync {
		member, found := known.Member(id)
		if id == s.self.ID || !found {
			continue
		}
		if _, err := s.clients.To(member.Address).Call(ctx, KindTakeOver, nil); err == nil {
			return
		}
	}
}
