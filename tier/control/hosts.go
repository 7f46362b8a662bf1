package control

import (
	"context"
	"time"

	"otterseam/tier/codec"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/periodic"
)

// reportHeardEvery is how often a backup tells the primary which hosts it has heard.
const reportHeardEvery = 300 * time.Millisecond

// keepsHost tells whether a heartbeat says what is committed already, and then keeps the host's session. Backups do so by
// themselves and tell the primary in lists.
func (s *Server) keepsHost(host directory.Host) bool {
	held, known := s.state.Host(host.ID)
	if !known || held != host || !s.fresh() {
		return false
	}
	if s.host.IsPrimary(controlGroup) {
		s.sessions.HeardHost(host.ID)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[host.ID] = true
	return true
}

func (s *Server) reportHeard(ctx context.Context) {
	periodic.Run(ctx, reportHeardEvery, func() {
		s.mu.Lock()
		heard := s.heard
		s.heard = map[string]bool{}
		s.mu.Unlock()
		if len(heard) > 0 && !s.sendHeard(ctx, heard) {
			s.keepHeard(heard)
		}
	})
}

// keepHeard puts hosts back that the primary could not be told of.
func (s *Server) keepHeard(heard map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range heard {
		s.heard[id] = true
	}
}

func (s *Server) sendHeard(ctx context.Context, heard map[string]bool) bool {
	if s.host.IsPrimary(controlGroup) {
		for id := range heard {
			s.sessions.HeardHost(id)
		}
		return true
	}
	var e codec.Encoder
	e.Uint32(uint32(len(heard)))
	for id := range heard {
		e.String(id)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.primary.Call(call, controlclient.KindHostsHeard, e.Bytes)
	return err == nil
}

// hostsHeard keeps the sessions of hosts that another control process heard.
func (s *Server) hostsHeard(payload []byte) (Result, error) {
	d := codec.NewDecoder(payload)
	var ids []string
	for range d.Count(4) {
		ids = append(ids, d.String())
	}
	if d.Err() != nil {
		return Result{}, d.Err()
	}
	for _, id := range ids {
		if _, known := s.state.Host(id); known {
			s.sessions.HeardHost(id)
		}
	}
	return Result{}, nil
}
