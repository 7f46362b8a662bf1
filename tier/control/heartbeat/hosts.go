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

// Lease tells what this process may answer now.
type Lease interface {
	// MayServe tells whether this process may serve its copy of the state.
	MayServe() bool
	// MayDecide returns an error unless this process may answer as the primary.
	MayDecide() error
}

// Hosts takes the heartbeats of hosts. Its methods may be called from any goroutine.
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

// Reject counts a heartbeat that was rejected for want of a lease.
func (h *Hosts) Reject() { h.rejected.Add(1) }

// Rejected is how many heartbeats were rejected for want of a lease.
func (h *Hosts) Rejected() uint64 { return h.rejected.Load() }

// KeepsSession tells whether a heartbeat says what is committed already, and then keeps the host's session. Backups do so by
// themselves and tell the primary in reports.
func (h *Hosts) KeepsSession(heartbeat controlclient.HostHeartbeat) bool {
	id := heartbeat.Host.ID
	held, known := h.State.Host(id)
	if !known || held != heartbeat.Host || !h.Lease.MayServe() {
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

// Handle takes a heartbeat as the primary; only what changed is replicated.
func (h *Hosts) Handle(ctx context.Context, heartbeat controlclient.HostHeartbeat) (state.Result, error) {
	removing := h.Sessions.RenewHost(heartbeat.Host.ID, h.Node.Identity, h.Now())
	held, known := h.State.Host(heartbeat.Host.ID)
	if known && held == heartbeat.Host && !removing {
		return state.Result{}, h.Lease.MayDecide()
	}
	result, err := h.Proposer.Propose(ctx, state.PutHost{Host: heartbeat.Host, Seq: heartbeat.Seq})
	if err == nil {
		h.Sessions.ReadmitHost(heartbeat.Host.ID)
	}
	return result, err
}

// Deregister removes a host that said so itself, as the primary. It never comes back, whatever heartbeats of its arrive late.
func (h *Hosts) Deregister(ctx context.Context, id string) (state.Result, error) {
	return h.remove(ctx, state.RemoveHost{ID: id, Deregistered: true})
}

// RemoveSilent removes a host that was not heard for too long, as the primary.
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

// Report tells the primary at intervals which hosts this process heard, until the context ends.
func (h *Hosts) Report(ctx context.Context) {
	periodic.Run(ctx, reportInterval, func() {
		if h.Node.IsPrimary(state.Group) {
			h.moves.begin(h.Sessions.PlanMove(h.Node.Identity), h.Now())
		}
		heard := h.unreported.Take()
		if len(heard) == 0 {
			return
		}
		if missing, told := h.sendReport(ctx, heard); told {
			h.register(ctx, heard, missing)
		} else {
			h.unreported.PutBack(heard)
		}
	})
}

// sendReport tells the primary which hosts were heard. It returns those that the primary has removed meanwhile.
func (h *Hosts) sendReport(ctx context.Context, heard session.AcknowledgedHeartbeats) (missing []string, told bool) {
	report := controlclient.HeartbeatReport{From: h.Node.Identity}
	now := h.Now()
	for id, host := range heard {
		report.Hosts = append(report.Hosts, controlclient.ReportedHost{ID: id, AgeMS: uint32(now - host.ReceivedAt)})
	}
	if h.Node.IsPrimary(state.Group) {
		return h.renew(report, now), true
	}
	h.Node.WithGroup(state.Group, func(g *replica.Group) { report.Echoed = g.LastProbe() })
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := h.Primary.Call(call, controlclient.KindHeartbeatReport, report.Encode())
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

// register puts hosts back on the list whose heartbeats were acknowledged here while the primary removed them.
func (h *Hosts) register(ctx context.Context, heard session.AcknowledgedHeartbeats, missing []string) {
	for _, id := range missing {
		heartbeat := heard[id].Heartbeat
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := h.Proposer.OnPrimary(call, controlclient.KindHostHeartbeat, heartbeat.Encode(), func() (state.Result, error) {
			return h.Handle(call, heartbeat)
		})
		cancel()
		if err != nil {
			h.unreported.PutBack(session.AcknowledgedHeartbeats{id: heard[id]})
		}
	}
}

// HandleReport keeps the sessions of hosts that another control process heard, and answers which of them are not on the list. The
// report counts from the probe of this process that its sender had read.
func (h *Hosts) HandleReport(payload []byte) (state.Result, error) {
	report, err := controlclient.DecodeHeartbeatReport(payload)
	if err != nil {
		return state.Result{}, err
	}
	asked, own := int64(0), false
	h.Node.WithGroup(state.Group, func(g *replica.Group) { asked, own = g.ProbeSentAt(report.Echoed, h.Now()) })
	if !own {
		return state.Result{}, codes.Unavailable
	}
	response := controlclient.HeartbeatReportResponse{Unregistered: h.renew(report, asked)}
	if move := h.Sessions.PlanMove(report.From); move.Hosts > 0 {
		response.MoveHosts = uint32(move.Hosts)
		response.MoveTo = move.Target.Address
	}
	return state.Result{Body: response.Encode()}, h.Lease.MayDecide()
}

// renew keeps the sessions of hosts by a report written no earlier than a time. It returns those that are not on the list, or may be
// about to leave it.
func (h *Hosts) renew(report controlclient.HeartbeatReport, written int64) (missing []string) {
	for _, host := range report.Hosts {
		_, listed := h.State.Host(host.ID)
		if !listed || h.Sessions.RenewHost(host.ID, report.From, written-int64(host.AgeMS)) {
			missing = append(missing, host.ID)
		}
	}
	return missing
}
