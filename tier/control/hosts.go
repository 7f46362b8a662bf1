package control

import (
	"context"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
)

const (
	reportHeardEvery = lease.ReportInterval * time.Millisecond
	reportTimeout    = lease.ReportTimeout * time.Millisecond
)

// heardHost is a host's heartbeat that this process acknowledged.
type heardHost struct {
	beat controlclient.HostBeat
	at   int64
}

// heardHosts is the newest such heartbeat of each host since the primary was told, by id.
type heardHosts map[string]heardHost

// keepsHost tells whether a heartbeat says what is committed already, and then keeps the host's session. Backups do so by
// themselves and tell the primary in lists.
func (s *Server) keepsHost(beat controlclient.HostBeat) bool {
	id := beat.Host.ID
	held, known := s.state.Host(id)
	if !known || held != beat.Host || !s.mayServe() {
		return false
	}
	if s.host.IsPrimary(controlGroup) {
		if removing := s.sessions.HeardHost(id, s.self.ID, multigroup.Now()); removing {
			return false
		}
		return s.mayServe()
	}
	s.mu.Lock()
	s.heard[id] = heardHost{beat, multigroup.Now()}
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
	for id, host := range heard {
		if _, newer := s.heard[id]; !newer {
			s.heard[id] = host
		}
	}
}

// sendHeard tells the primary which hosts were heard. It returns those that the primary has removed meanwhile.
func (s *Server) sendHeard(ctx context.Context, heard heardHosts) (missing []string, told bool) {
	report := controlclient.HostsHeard{By: s.self.ID}
	now := multigroup.Now()
	for id, host := range heard {
		report.Hosts = append(report.Hosts, controlclient.HeardHost{ID: id, Age: uint32(now - host.at)})
	}
	if s.host.IsPrimary(controlGroup) {
		return s.keepSessions(report, now), true
	}
	s.host.WithGroup(controlGroup, func(g *replica.Group) { report.Question = g.LastProbe() })
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := s.primary.Call(call, controlclient.KindHostsHeard, report.Encode())
	if err != nil {
		return nil, false
	}
	missing, err = controlclient.DecodeMissing(answer)
	return missing, err == nil
}

// putMissing puts hosts back on the list whose heartbeats were acknowledged here while the primary removed them.
func (s *Server) putMissing(ctx context.Context, heard heardHosts, missing []string) {
	for _, id := range missing {
		beat := heard[id].beat
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := s.onPrimary(call, controlclient.KindHostBeat, beat.Encode(), func() (state.Result, error) { return s.hostBeat(call, beat) })
		cancel()
		if err != nil {
			s.keepHeard(heardHosts{id: heard[id]})
		}
	}
}

// hostsHeard keeps the sessions of hosts that another control process heard, and answers which of them are not on the list. The
// report counts from the question of this process that its sender had read.
func (s *Server) hostsHeard(payload []byte) (state.Result, error) {
	report, err := controlclient.DecodeHostsHeard(payload)
	if err != nil {
		return state.Result{}, err
	}
	asked, own := int64(0), false
	s.host.WithGroup(controlGroup, func(g *replica.Group) { asked, own = g.ProbeSentAt(report.Question, multigroup.Now()) })
	if !own {
		return state.Result{}, codes.Unavailable
	}
	missing := s.keepSessions(report, asked)
	return state.Result{Body: controlclient.EncodeMissing(missing)}, s.standing().MayDecide(multigroup.Now())
}

// keepSessions keeps the sessions of hosts by a report written no earlier than a time. It returns those that are not on the list,
// or may be about to leave it.
func (s *Server) keepSessions(report controlclient.HostsHeard, written int64) (missing []string) {
	for _, host := range report.Hosts {
		_, listed := s.state.Host(host.ID)
		if !listed || s.sessions.HeardHost(host.ID, report.By, written-int64(host.Age)) {
			missing = append(missing, host.ID)
		}
	}
	return missing
}
