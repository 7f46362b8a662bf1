package control

import (
	"context"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/control/ejection"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/multigroup"
	"otterseam/tier/outlier"
	"otterseam/tier/placement"
	"otterseam/tier/replica"
	"otterseam/tier/timeline"
)

// storeForget is how long a store that holds nothing may be silent before it is forgotten, in milliseconds.
const storeForget = 15000

// lead does the primary's periodic work.
func (s *Server) lead(ctx context.Context) {
	s.beginSessions()
	if s.status.MayDecide() != nil {
		return
	}
	s.publishMembers(ctx)
	s.removeSilentHosts(ctx)
	s.removeLostStores(ctx)
	s.placeShards(ctx)
	s.ejectOutliers(ctx)
}

// beginSessions starts sessions anew when this process has begun to lead.
func (s *Server) beginSessions() {
	opened := uint64(0)
	s.host.WithGroup(state.Group, func(g *replica.Group) { opened = g.EpochStartIndex() })
	s.mu.Lock()
	began := s.leading != opened
	s.leading = opened
	if began {
		s.ledSince = multigroup.Now()
	}
	s.mu.Unlock()
	if began {
		s.timeline.Reach(timeline.PrimaryReady)
		s.sessions.Begin(s.state)
		s.ejector.Begin(s.state.EjectionTerms(), multigroup.Now())
	}
}

// endLeading notes that another process leads, so that sessions begin anew the next time.
func (s *Server) endLeading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leading = 0
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
	_, _ = s.submitHere(ctx, state.SetMembers{Record: known}.Encode())
}

func (s *Server) removeSilentHosts(ctx context.Context) {
	for _, id := range s.sessions.ExpiredHosts(s.settings.Heartbeat.Milliseconds()) {
		if _, listed := s.state.Host(id); !listed { // a late heartbeat of one that deregistered
			s.sessions.ForgetHost(id)
			continue
		}
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
	for id, store := range stores {
		replaced := cluster.DiskLost(id)
		idle := cluster.Machines[id].Away && placement.IsEmpty(shards, id) && s.sessions.StoreSilentFor(id) > storeForget
		if !replaced && !idle {
			continue
		}
		s.log.WithField("store", store.Node).Info("store removed: its disk is gone or it holds nothing")
		_, _ = s.submitHere(ctx, state.RemoveStore{Store: store}.Encode())
	}
}

func (s *Server) cluster() placement.Cluster {
	retiring := func(node string) bool {
		_, found := s.state.View.Get(feed.SectionRetirement, node)
		return found
	}
	machines := s.sessions.Machines(directory.Stores(s.state.View), retiring)
	return placement.Cluster{Machines: machines, Tolerate: s.settings.TolerateMachines}
}

// foundShardsAfter is how long the first primary waits for stores, in milliseconds, so that shards are spread over all.
const foundShardsAfter = 900

// placeShards decides who holds the shards.
func (s *Server) placeShards(ctx context.Context) {
	cluster := s.cluster()
	shards := directory.Shards(s.state.View)
	if len(shards) < placement.ShardCount {
		s.mu.Lock()
		waited := multigroup.Now()-s.ledSince > foundShardsAfter
		s.mu.Unlock()
		if waited {
			s.submitAll(ctx, s.foundShards(cluster, shards))
		}
	}
	var commands []state.Command
	bears := -1
	for _, shard := range placement.LeastProtectedFirst(shards) {
		next, changed := cluster.Next(shard)
		if !changed {
			continue
		}
		if shard.View.ToleratedLosses() != bears {
			s.submitAll(ctx, commands)
			commands = nil
			bears = shard.View.ToleratedLosses()
		}
		commands = append(commands, state.PutShard{Epoch: shard.View.Epoch, Shard: next})
	}
	s.submitAll(ctx, commands)
}

// submitAll has commands carried out side by side and waits for them.
func (s *Server) submitAll(ctx context.Context, commands []state.Command) {
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

func (s *Server) foundShards(cluster placement.Cluster, shards map[uint32]directory.Shard) []state.Command {
	var commands []state.Command
	for id := range uint32(placement.ShardCount) {
		if _, exists := shards[id]; exists {
			continue
		}
		if shard, placed := cluster.Place(id); placed {
			commands = append(commands, state.PutShard{Shard: shard})
		}
	}
	return commands
}

// retireState tells whether a store machine is still being emptied. The answer waits for a command of its own, so that a
// primary that has been replaced cannot give it.
func (s *Server) retireState(ctx context.Context, node string) (state.Result, error) {
	if _, err := s.submitHere(ctx, state.ReadConfig{}.Encode()); err != nil {
		return state.Result{}, err
	}
	if _, retiring := s.state.View.Get(feed.SectionRetirement, node); !retiring {
		return state.Result{Code: codes.RetireUnknown}, nil
	}
	shards := directory.Shards(s.state.View)
	cluster := s.cluster()
	for id, store := range directory.Stores(s.state.View) {
		if store.Node == node && !cluster.IsRetired(shards, id) {
			return state.Result{Body: []byte(retireRunning)}, nil
		}
	}
	return state.Result{Body: []byte(retireCompleted)}, nil
}

// ejectOutliers ejects hosts that fail where their peers do not, and takes back what has lapsed.
func (s *Server) ejectOutliers(ctx context.Context) {
	eject, ended := s.ejector.Decide(func() outlier.Fleet { return ejection.FleetOf(s.state) }, multigroup.Now())
	var commands []state.Command
	for _, each := range eject {
		s.log.WithFields(logrus.Fields{"host": each.Host, "term_ms": each.DurationMS}).Info("host set aside: it fails where its peers do not")
		commands = append(commands, state.EjectHost{ID: each.Host, TermMS: each.DurationMS})
	}
	for _, host := range ended {
		commands = append(commands, state.ReinstateHost{ID: host})
	}
	s.submitAll(ctx, commands)
}
