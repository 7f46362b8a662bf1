package control

import (
	"context"
	"time"

	"otterseam/tier/authority"
	"otterseam/tier/codec"
	"otterseam/tier/controlclient"
	"otterseam/tier/groups"
	"otterseam/tier/periodic"
)

const (
	reportHeardEvery = authority.ReportEvery * time.Millisecond
	reportTimeout    = authority.ReportTimeout * time.Millisecond
)

// heardHosts is the newest heartbeat of each host that this process acknowledged since the primary was told, by id.
type heardHosts map[string]controlclient.HostBeat

// keepsHost tells whether a heartbeat says what is committed already, and then keeps the host's session. Backups do so by
// themselves and tell the primary in lists.
func (s *Server) keepsHost(beat controlclient.HostBeat) bool {
	id := beat.Host.ID
	held, known := s.state.Host(id)
	if !known || held != beat.Host || !s.mayServe() {
		return false
	}
	if s.host.IsPrimary(controlGroup) {
		if removing := s.sessions.HeardHost(id, s.self.ID); removing {
			return false
		}
		return s.mayServe()
	}
	s.mu.Lock()
	s.heard[id] = beat
	s.mu.Unlock()
	return s.mayServe()
}

func (s *Server) reportHeard(ctx context.Context) {
	periodic.Run(ctx, reportHeardEvery, func() {
		s.mu.Lock()
		heard := s.heard
		s.heard = heardHosts{}
		s.mu.Unlock()
		if len(heard) == 0 {
			return
		}
		if missing, told := s.sendHeard(ctx, heard); told {
			s.putMissing(ctx, heard, missing)
		} else {
			s.keepHeard(heard)
		}
	})
}

// keepHeard puts hosts back that the primary could not be told of.
func (s *Server) keepHeard(heard heardHosts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, beat := range heard {
		if _, newer := s.heard[id]; !newer {
			s.heard[id] = beat
		}
	}
}

// sendHeard tells the primary which hosts were heard. It returns those that the primary has removed meanwhile.
func (s *Server) sendHeard(ctx context.Context, heard heardHosts) (missing []string, told bool) {
	if s.host.IsPrimary(controlGroup) {
		var ids []string
		for id := range heard {
			ids = append(ids, id)
		}
		return s.keepSessions(ids, s.self.ID), true
	}
	var e codec.Encoder
	e.Uint64(s.self.ID)
	e.Uint32(uint32(len(heard)))
	for id := range heard {
		e.String(id)
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := s.primary.Call(call, controlclient.KindHostsHeard, e.Bytes)
	if err != nil {
		return nil, false
	}
	d := codec.NewDecoder(answer)
	missing = decodeIDs(d)
	return missing, d.Err() == nil
}

// putMissing puts hosts back on the list whose heartbeats were acknowledged here while the primary removed them.
func (s *Server) putMissing(ctx context.Context, heard heardHosts, missing []string) {
	for _, id := range missing {
		beat := heard[id]
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := s.onPrimary(call, controlclient.KindHostBeat, beat.Encode(), func() (Result, error) { return s.hostBeat(call, beat) })
		cancel()
		if err != nil {
			s.keepHeard(heardHosts{id: beat})
		}
	}
}

// hostsHeard keeps the sessions of hosts that another control process heard, and answers which of them are not on the list.
func (s *Server) hostsHeard(payload []byte) (Result, error) {
	d := codec.NewDecoder(payload)
	by := d.Uint64()
	ids := decodeIDs(d)
	if d.Err() != nil {
		return Result{}, d.Err()
	}
	missing := s.keepSessions(ids, by)
	var answer codec.Encoder
	answer.Uint32(uint32(len(missing)))
	for _, id := range missing {
		answer.String(id)
	}
	return Result{Body: answer.Bytes}, s.standing().MayDecide(groups.Now())
}

// keepSessions keeps the sessions of hosts and returns those that are not on the list, or may be about to leave it.
func (s *Server) keepSessions(ids []string, by uint64) (missing []string) {
	for _, id := range ids {
		if _, known := s.state.Host(id); !known || s.sessions.HeardHost(id, by) {
			missing = append(missing, id)
		}
	}
	return missing
}

func decodeIDs(d *codec.Decoder) []string {
	var ids []string
	for range d.Count(4) {
		ids = append(ids, d.String())
	}
	return ids
}
