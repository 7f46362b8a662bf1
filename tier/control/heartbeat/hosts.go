package heartbeat

import (
	"context"
	"sync/atomic"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
)

const (
	reportInterval = lease.ReportInterval * time.Millisecond
	reportTimeout  = lease.ReportTimeout * time.Millisecond
)

// Lease reports which responses this process may give now.
type Lease interface {
	// MayServe reports whether this process may serve its replica of the state.
	MayServe() bool
	// MayDecide returns an error unless this process may respond as the primary.
	MayDecide() error
}

// Hosts processes the heartbeats of hosts. Its methods may be called from any goroutine.
type Hosts struct {
	Node     *multigroup.Node
	State    *state.State
	Sessions *session.Sessions
	Lease    Lease
	Proposer *proposal.Proposer
	Primary  proposal.Caller
	Now      func() int64

	unreported session.UnreportedHosts
	moves      hostMoves
	rejected   atomic.Uint64
}

// Reject counts a heartbeat that was rejected because this process had no lease.
func (h *Hosts) Reject() { h.rejected.Add(1) }

// Rejected returns the number of heartbeats that were rejected because this process had no lease.
func (h *Hosts) Rejected() uint64 { return h.rejected.Load() }

// KeepsSession processes a heartbeat that matches the committed entry of its host, and reports whether the heartbeat may be
// acknowledged. The primary renews the host's session. A backup records the heartbeat and reports it to the primary later.
func (h *Hosts) KeepsSession(heartbeat controlclient.HostHeartbeat) bool {
	id := heartbeat.Host.ID
	committed, known := h.State.Host(id)
	if !known || committed != heartbeat.Host || !h.Lease.MayServe() {
		return false
	}
	if h.Node.IsPrimary(state.Group) {
		if removing := h.Sessions.RenewHost(id, h.Node.Identity, h.Now()); removing {
			return false
		}
		return h.Lease.MayServe()
	}
	h.unreported.Add(session.AcknowledgedHeartbeat{Heartbeat: heartbeat, ReceivedAt: h.Now()})
	return h.Lease.MayServe()
}

// Handle processes a heartbeat as the primary. It proposes a command only if the heartbeat differs from the host's entry.
func (h *Hosts) Handle(ctx context.Context, heartbeat controlclient.HostHeartbeat) (state.Result, error) {
	removing := h.Sessions.RenewHost(heartbeat.Host.ID, h.Node.Identity, h.Now())
	committed, known := h.State.Host(heartbeat.Host.ID)
	if known && committed == heartbeat.Host && !removing {
		return state.Result{}, h.Lease.MayDecide()
	}
	result, err := h.Proposer.Propose(ctx, state.PutHost{Host: heartbeat.Host, Seq: heartbeat.Seq})
	if err == nil {
		h.Sessions.ReadmitHost(heartbeat.Host.ID)
	}
	return result, err
}

// Deregister removes a host at its own request, as the primary. The host is not listed again when late heartbeats of it arrive.
func (h *Hosts) Deregister(ctx context.Context, id string) (state.Result, error) {
	return h.remove(ctx, state.RemoveHost{ID: id, Deregistered: true})
}

// RemoveSilent removes a host whose session has expired, as the primary.
func (h *Hosts) RemoveSilent(ctx context.Context, id string) (state.Result, error) {
	if _, known := h.State.Host(id); !known {
		h.Sessions.ForgetHost(id)
		return state.Result{}, nil
	}
	return h.remove(ctx, state.RemoveHost{ID: id})
}

func (h *Hosts) remove(ctx context.Context, removal state.RemoveHost) (state.Result, error) {
	h.Sessions.BeginHostRemoval(removal.ID)
	result, err := h.Proposer.Propose(ctx, removal)
	h.Sessions.FinishHostRemoval(removal.ID, err == nil)
	return result, err
}

// Report periodically reports to the primary the hosts whose heartbeats this process acknowledged, until the context is cancelled.
func (h *Hosts) Report(ctx context.Context) {
	periodic.Run(ctx, reportInterval, func() {
		if h.Node.IsPrimary(state.Group) {
			h.moves.begin(h.Sessions.PlanMove(h.Node.Identity), h.Now())
		}
		heartbeats := h.unreported.Take()
		if len(heartbeats) == 0 {
			return
		}
		if unregistered, ok := h.sendReport(ctx, heartbeats); ok {
			h.register(ctx, heartbeats, unregistered)
		} else {
			h.unreported.PutBack(heartbeats)
		}
	})
}

// sendReport reports hosts to the primary. It returns those that are no longer listed, and whether the primary received the report.
func (h *Hosts) sendReport(ctx context.Context, heartbeats session.AcknowledgedHeartbeats) (unregistered []string, delivered bool) {
	report := controlclient.HeartbeatReport{From: h.Node.Identity}
	now := h.Now()
	for id, received := range heartbeats {
		report.Hosts = append(report.Hosts, controlclient.ReportedHost{ID: id, AgeMS: uint32(now - received.ReceivedAt)})
	}
	if h.Node.IsPrimary(state.Group) {
		return h.renew(report, now), true
	}
	h.Node.WithGroup(state.Group, func(g *replica.Group) { report.Echoed = g.LastProbe() })
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := h.Primary.Call(callCtx, controlclient.KindHeartbeatReport, report.Encode())
	if err != nil {
		return nil, false
	}
	response, err := controlclient.DecodeHeartbeatReportResponse(answer)
	if err != nil {
		return nil, false
	}
	h.moves.begin(session.Move{Target: consensus.Member{Address: response.MoveTo}, Hosts: int(response.MoveHosts)}, h.Now())
	return response.Unregistered, true
}

// register lists hosts again that the primary removed while this process acknowledged their heartbeats.
func (h *Hosts) register(ctx context.Context, heartbeats session.AcknowledgedHeartbeats, ids []string) {
	for _, id := range ids {
		heartbeat := heartbeats[id].Heartbeat
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := h.Proposer.OnPrimary(callCtx, controlclient.KindHostHeartbeat, heartbeat.Encode(), func() (state.Result, error) {
			return h.Handle(callCtx, heartbeat)
		})
		cancel()
		if err != nil {
			h.unreported.PutBack(session.AcknowledgedHeartbeats{id: heartbeats[id]})
		}
	}
}

// HandleReport renews the sessions of the hosts in a report of another control process. The response names those that are not listed.
// The ages in the report are subtracted from the time at which this process sent the probe that the report echoes. A report that
// echoes no probe of this process is rejected.
func (h *Hosts) HandleReport(payload []byte) (state.Result, error) {
	report, err := controlclient.DecodeHeartbeatReport(payload)
	if err != nil {
		return state.Result{}, err
	}
	probeSentAt, ok := int64(0), false
	h.Node.WithGroup(state.Group, func(g *replica.Group) { probeSentAt, ok = g.ProbeSentAt(report.Echoed, h.Now()) })
	if !ok {
		return state.Result{}, codes.Unavailable
	}
	response := controlclient.HeartbeatReportResponse{Unregistered: h.renew(report, probeSentAt)}
	if move := h.Sessions.PlanMove(report.From); move.Hosts > 0 {
		response.MoveHosts = uint32(move.Hosts)
		response.MoveTo = move.Target.Address
	}
	return state.Result{Body: response.Encode()}, h.Lease.MayDecide()
}

// renew renews the sessions of the hosts in a report that was written no earlier than writtenAt. It returns the hosts that are not
// listed and those whose removal may be in flight.
func (h *Hosts) renew(report controlclient.HeartbeatReport, writtenAt int64) (unregistered []string) {
	for _, host := range report.Hosts {
		_, listed := h.State.Host(host.ID)
		if !listed || h.Sessions.RenewHost(host.ID, report.From, writtenAt-int64(host.AgeMS)) {
			unregistered = append(unregistered, host.ID)
		}
	}
	return unregistered
}
