package store

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/placement"
	"otterseam/tier/replica"
)

// watchInterval is the interval between checks of the in-sync sets, and the minimum pause after a request for a shard before the
// next one for the same shard.
const watchInterval = 60 * time.Millisecond

// watchInSync periodically asks control to change the in-sync sets of the shards of which this store is primary: to remove
// unresponsive replicas and to add replicas that have caught up.
func (s *Server) watchInSync(ctx context.Context) {
	periodic.Run(ctx, watchInterval, func() {
		for _, shard := range placement.LeastProtectedFirst(directory.Shards(s.view)) {
			s.watchShard(ctx, shard.ID)
		}
	})
}

// watchShard requests the change that a shard's in-sync set needs, unless a request for the shard is in progress.
func (s *Server) watchShard(ctx context.Context, id uint32) {
	s.mu.Lock()
	busy := s.changing[id]
	s.mu.Unlock()
	if busy {
		return
	}
	change, needed := s.nextInSyncChange(id)
	if !needed {
		return
	}
	s.mu.Lock()
	s.changing[id] = true
	s.mu.Unlock()
	go s.requestChange(ctx, change)
}

// nextInSyncChange returns the change that a shard's in-sync set needs, if any. It admits a replica to be added in the same call in
// which the replica was found to have caught up, so that from then on commits wait for it.
func (s *Server) nextInSyncChange(id uint32) (change controlclient.InSyncChange, needed bool) {
	s.node.WithGroup(id, func(g *replica.Group) {
		change = controlclient.InSyncChange{Shard: id, Epoch: g.View().Epoch}
		// Additions come first: without the added replica the set may be too small to remove an unresponsive one.
		if caughtUp := g.CaughtUp(multigroup.Now()); len(caughtUp) > 0 {
			g.Admit(caughtUp[0])
			change.Replica = caughtUp[0]
			change.Admit = true
			needed = true
			return
		}
		if unresponsive := g.Unresponsive(multigroup.Now()); len(unresponsive) > 0 {
			change.Replica = unresponsive[0]
			needed = true
		}
	})
	return change, needed
}

// requestChange asks control for a change. The shard map shows whether control made it.
func (s *Server) requestChange(ctx context.Context, change controlclient.InSyncChange) {
	call, cancel := context.WithTimeout(ctx, controlTimeout)
	_, err := s.control.Call(call, controlclient.KindInSyncChange, change.Encode())
	cancel()
	if err != nil {
		s.log.WithFields(logrus.Fields{"shard": change.Shard, "admit": change.Admit}).WithError(err).Debug("request to change the in-sync set failed")
	}
	time.Sleep(watchInterval)
	s.mu.Lock()
	delete(s.changing, change.Shard)
	s.mu.Unlock()
}
