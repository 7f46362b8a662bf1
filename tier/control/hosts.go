package control

import (
	"context"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
	"otterseam/tier/multigroup"
	"otterseam/tier/outlier"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
)

const (
	reportHeardEvery = lease.ReportInterval * time.Millisecond
	reportTimeout    = lease.ReportTimeout * time.Millisecond
)

// keepsHost tells whether a heartbeat says what is committed already, and then keeps the host's session. Backups do so by
// themselves and tell the primary in lists.
func (s *Server) keepsHost(beat controlclient.HostHeartbeat) bool {
	id := beat.Host.ID
	held, known := s.state.Host(id)
	if !known || held != beat.Host || !s.status.MayServe() {
		return false
	}
	if s.host.IsPrimary(state.Group) {
		if removing := s.sessions.RenewHost(id, s.self.ID, multigroup.Now()); removing {
			return false
		}
		return s.status.MayServe()
	}
	s.unreported.Add(session.HostHeartbeat{Beat: beat, At: multigroup.Now()})
	return s.status.MayServe()
}

func (s *Server) reportHeard(ctx context.Context) {
	periodic.Run(ctx, reportHeardEvery, func() {
		heard := s.unreported.Take()
		if len(heard) == 0 {
			return
		}
		if missing, told := s.sendHeard(ctx, heard); told {
			s.putMissing(ctx, heard, missing)
		} else {
			s.unreported.PutBack(heard)
		}
	})
}

// sendHeard tells the primary which hosts were heard. It returns those that the primary has removed meanwhile.
func (s *Server) sendHeard(ctx context.Context, heard session.HostHeartbeats) (missing []string, told bool) {
	report := controlclient.HeartbeatReport{From: s.self.ID}
	now := multigroup.Now()
	for id, host := range heard {
		report.Hosts = append(report.Hosts, controlclient.ReportedHost{ID: id, AgeMS: uint32(now - host.At)})
	}
	if s.host.IsPrimary(state.Group) {
		return s.keepSessions(report, now), true
	}
	s.host.WithGroup(state.Group, func(g *replica.Group) { report.Echoed = g.LastProbe() })
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := s.primary.Call(call, controlclient.KindHeartbeatReport, report.Encode())
	if err != nil {
		return nil, false
	}
	missing, err = controlclient.DecodeUnregisteredHosts(answer)
	return missing, err == nil
}

// putMissing puts hosts back on the list whose heartbeats were acknowledged here while the primary removed them.
func (s *Server) putMissing(ctx context.Context, heard session.HostHeartbeats, missing []string) {
	for _, id := range missing {
		beat := heard[id].Beat
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := s.onPrimary(call, controlclient.KindHostHeartbeat, beat.Encode(), func() (state.Result, error) { return s.hostBeat(call, beat) })
		cancel()
		if err != nil {
			s.unreported.PutBack(session.HostHeartbeats{id: heard[id]})
		}
	}
}

// hostsHeard keeps the sessions of hosts that another control process heard, and answers which of them are not on the list. The
// report counts from the question of this process that its sender had read.
func (s *Server) hostsHeard(payload []byte) (state.Result, error) {
	report, err := controlclient.DecodeHeartbeatReport(payload)
	if err != nil {
		return state.Result{}, err
	}
	asked, own := int64(0), false
	s.host.WithGroup(state.Group, func(g *replica.Group) { asked, own = g.ProbeSentAt(report.Echoed, multigroup.Now()) })
	if !own {
		return state.Result{}, codes.Unavailable
	}
	missing := s.keepSessions(report, asked)
	return state.Result{Body: controlclient.EncodeUnregisteredHosts(missing)}, s.status.MayDecide()
}

// keepSessions keeps the sessions of hosts by a report written no earlier than a time. It returns those that are not on the list,
// or may be about to leave it.
func (s *Server) keepSessions(report controlclient.HeartbeatReport, written int64) (missing []string) {
	for _, host := range report.Hosts {
		_, listed := s.state.Host(host.ID)
		if !listed || s.sessions.RenewHost(host.ID, report.From, written-int64(host.AgeMS)) {
			missing = append(missing, host.ID)
		}
	}
	return missing
}

// observed takes a window of a gateway.
func (s *Server) observed(payload []byte) (state.Result, error) {
	window, err := outlier.DecodeWindow(payload)
	if err != nil {
		return state.Result{}, err
	}
	s.ejector.Observe(window, multigroup.Now())
	return state.Result{}, nil
}
