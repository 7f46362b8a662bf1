package store

import (
	"context"
	"time"

	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
)

const (
	heartbeatInterval = lease.StoreHeartbeatInterval * time.Millisecond
	// controlTimeout is how long a call to control may take, further attempts included.
	controlTimeout = 500 * time.Millisecond
)

// sendHeartbeats keeps the session with control until the context ends.
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

// sendHeartbeat sends one heartbeat, if there is a control process to send it to.
func (s *Server) sendHeartbeat(ctx context.Context) error {
	if !s.knowsCluster() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	_, err := s.control.Call(ctx, controlclient.KindStoreHeartbeat, s.heartbeat().Encode())
	return err
}

// knowsCluster tells whether the control processes reached are of the cluster of this disk: a disk that belongs to a cluster sends
// heartbeats only once it was given a view of it.
func (s *Server) knowsCluster() bool {
	return s.node.ClusterID() == 0 || s.view.Revision() > 0
}

func (s *Server) heartbeat() controlclient.StoreHeartbeat {
	degraded := s.node.DiskDegraded() // others lead its shards until its disk works again
	s.mu.Lock()
	defer s.mu.Unlock()
	return controlclient.StoreHeartbeat{Store: s.self, Leaving: s.draining || degraded}
}
