package heartbeat

import (
	"context"
	"time"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/election"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// MemberInterval is the interval at which a control process sends heartbeats to the primary. It is well below lease.ControlTimeout, so
// that one or two lost heartbeats do not expire the session.
const MemberInterval = 150 * time.Millisecond

// Members sends the heartbeats of this control process to the primary, and processes those of the others while this process is the
// primary. Its methods may be called from any goroutine.
type Members struct {
	Node     *multigroup.Node
	Self     consensus.Member
	Elector  *election.Elector
	Status   *election.LeaseStatus
	Sessions *session.Sessions
	Primary  proposal.Caller
	// Draining reports whether this process is shutting down.
	Draining func() bool
	// Rejected returns the number of host heartbeats that this process has rejected because it had no lease.
	Rejected func() uint64
	Now      func() int64
}

// Run renews this process's session with the primary until the context is cancelled.
func (m *Members) Run(ctx context.Context) {
	periodic.Run(ctx, MemberInterval, func() {
		if m.Status.Leads() {
			m.Sessions.RenewControl(m.Self, m.Draining())
		} else if m.Elector.Known().IsBootstrapped() {
			m.send(ctx)
		}
	})
}

// send sends a heartbeat to the primary. The response contains the age of the primary's last contact with a majority. The age is
// subtracted from the time at which the heartbeat was sent.
func (m *Members) send(ctx context.Context) {
	heartbeat := controlclient.MemberHeartbeat{Member: m.Self, Leaving: m.Draining(), RejectedHeartbeats: m.Rejected()}
	m.Node.WithGroup(state.Group, func(g *replica.Group) { heartbeat.Echoed = g.LastProbe() })
	callCtx, cancel := context.WithTimeout(ctx, election.CallTimeout)
	defer cancel()
	sentAt := m.Now()
	answer, err := m.Primary.Call(callCtx, controlclient.KindMemberHeartbeat, heartbeat.Encode())
	if err != nil {
		return // the next heartbeat follows after MemberInterval
	}
	response, err := decodeMemberResponse(answer)
	if err == nil {
		m.Elector.Learn(response.record)
		m.Status.ObserveReached(sentAt - response.ageMS)
	}
}

// Handle renews the session of a control process. A primary does so even while it can't commit, because the heartbeat may come from the
// replica that it is waiting for.
func (m *Members) Handle(message rpc.Message) {
	heartbeat, err := controlclient.DecodeMemberHeartbeat(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	m.Elector.ObserveAnswer(heartbeat.Member, m.Now())
	if !m.Status.MayAdjust() {
		message.Answer(codes.NotPrimary, []byte(m.Status.PrimaryAddress()))
		return
	}
	m.Sessions.RenewControl(heartbeat.Member, heartbeat.Leaving)
	m.Node.WithGroup(state.Group, func(g *replica.Group) {
		if probeSentAt, ok := g.ProbeSentAt(heartbeat.Echoed, m.Now()); ok {
			m.Sessions.RenewHolder(heartbeat.Member.ID, heartbeat.RejectedHeartbeats, probeSentAt)
		}
	})
	response := memberResponse{record: m.Elector.Known(), ageMS: m.Status.Status().Age(m.Now())}
	message.Answer(codes.OK, response.encode())
}

// memberResponse is the primary's response to a member's heartbeat.
type memberResponse struct {
	record consensus.Record // the newest record that the primary knows
	ageMS  int64            // age of the primary's newest contact with a majority
}

func (r memberResponse) encode() []byte {
	var e codec.Encoder
	consensus.EncodeRecord(&e, r.record)
	e.Int64(r.ageMS)
	return e.Bytes
}

func decodeMemberResponse(data []byte) (memberResponse, error) {
	d := codec.NewDecoder(data)
	r := memberResponse{record: consensus.DecodeRecord(d), ageMS: d.Int64()}
	return r, d.Err()
}
