package store

import (
	"context"
	"time"

	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
)

const (
	heartbeatInterval = lease.StoreHeartbeatInterval * time.Millisecond
	// controlTimeout is the limit for a call to control, retries included.
	controlTimeout = 500 * time.Millisecond
)

// sendHeartbeats sends heartbeats, which keep the store's session with control, until the context is cancelled.
func (s *Server) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.sendHeartbeat(ctx); err != nil {
			s.log.WithError(err).Debug("heartbeat to control failed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat, unless mayHeartbeat forbids it.
func (s *Server) sendHeartbeat(ctx context.Context) error {
	if !s.mayHeartbeat() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	_, err := s.control.Call(ctx, controlclient.KindStoreHeartbeat, s.heartbeat().Encode())
	return err
}

// mayHeartbeat reports whether heartbeats may be sent. A store whose disk is bound to a cluster sends them only once it has received a
// view of that cluster, since the control processes that it reaches may belong to another one.
func (s *Server) mayHeartbeat() bool {
	return s.node.ClusterID() == 0 || s.view.Revision() > 0
}

func (s *Server) heartbeat() controlclient.StoreHeartbeat {
	degraded := s.node.DiskDegraded() // other stores are primaries of its shards while its disk is degraded
	s.mu.Lock()
	defer s.mu.Unlock()
	return controlclient.StoreHeartbeat{Store: s.self, Leaving: s.draining || degraded}
}
