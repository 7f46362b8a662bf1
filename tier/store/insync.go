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

// watchInterval is how often shards led here are looked at, and how long after a request the next one for the same shard waits.
const watchInterval = 60 * time.Millisecond

// watchInSync asks control to change the in-sync sets of shards led here: unresponsive replicas out, those that caught up in.
func (s *Server) watchInSync(ctx context.Context) {
	periodic.Run(ctx, watchInterval, func() {
		for _, shard := range placement.LeastProtectedFirst(directory.Shards(s.view)) {
			s.watchShard(ctx, shard.ID)
		}
	})
}

// watchShard asks for the change that a shard needs, unless one is under way.
func (s *Server) watchShard(ctx context.Context, id uint32) {
	s.mu.Lock()
	busy := s.changing[id]
	s.mu.Unlock()
	if busy {
		return
	}
	change, needed := s.neededChange(id)
	if !needed {
		return
	}
	s.mu.Lock()
	s.changing[id] = true
	s.mu.Unlock()
	go s.requestChange(ctx, change)
}

// neededChange tells which change of a shard's in-sync set its primary wants. A replica to be taken in counts from this moment
// on, in the same step in which it was found to have caught up.
func (s *Server) neededChange(id uint32) (change controlclient.InSyncChange, needed bool) {
	s.node.WithGroup(id, func(g *replica.Group) {
		change = controlclient.InSyncChange{Shard: id, Epoch: g.View().Epoch}
		// One that caught up comes first: the set may be too small to let an unresponsive one go without it
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

// requestChange asks control for a change. Whether it was made comes with the shard map.
func (s *Server) requestChange(ctx context.Context, change controlclient.InSyncChange) {
	call, cancel := context.WithTimeout(ctx, controlTimeout)
	_, err := s.control.Call(call, controlclient.KindInSyncChange, change.Encode())
	cancel()
	if err != nil {
		s.log.WithFields(logrus.Fields{"shard": change.Shard, "admit": change.Admit}).WithError(err).Debug("change of in-sync set refused")
	}
	time.Sleep(watchInterval)
	s.mu.Lock()
	delete(s.changing, change.Shard)
	s.mu.Unlock()
}
