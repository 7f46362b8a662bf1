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

// MemberInterval is how often a control process keeps its session with the primary. It is well below lease.ControlTimeout, so that
// a lost heartbeat or two end no session.
const MemberInterval = 150 * time.Millisecond

// Members keeps this control process's session with the primary, and those of the others while it leads. Its methods may be called
// from any goroutine.
type Members struct {
	Node     *multigroup.Node
	Self     consensus.Member
	Elector  *election.Elector
	Status   *election.LeaseStatus
	Sessions *session.Sessions
	Primary  proposal.Caller
	// Draining tells whether this process is about to stop.
	Draining func() bool
	// Rejected is how many heartbeats of hosts this process has rejected for want of a lease.
	Rejected func() uint64
	Now      func() int64
}

// Run keeps this process's session with the primary until the context ends.
func (m *Members) Run(ctx context.Context) {
	periodic.Run(ctx, MemberInterval, func() {
		if m.Status.Leads() {
			m.Sessions.RenewControl(m.Self, m.Draining())
		} else if m.Elector.Known().IsBootstrapped() {
			m.send(ctx)
		}
	})
}

// send tells the primary that this process is there. The answer says how old the primary's contact with a majority is; it counts
// from before the heartbeat was sent.
func (m *Members) send(ctx context.Context) {
	heartbeat := controlclient.MemberHeartbeat{Member: m.Self, Leaving: m.Draining(), RejectedHeartbeats: m.Rejected()}
	m.Node.WithGroup(state.Group, func(g *replica.Group) { heartbeat.Echoed = g.LastProbe() })
	call, cancel := context.WithTimeout(ctx, election.CallTimeout)
	defer cancel()
	asked := m.Now()
	answer, err := m.Primary.Call(call, controlclient.KindMemberHeartbeat, heartbeat.Encode())
	if err != nil {
		return // the next heartbeat is due soon
	}
	response, err := decodeMemberResponse(answer)
	if err == nil {
		m.Elector.Learn(response.record)
		m.Status.ObserveReached(asked - response.ageMS)
	}
}

// Handle keeps a control process's session. A primary does so also while it can commit nothing: the replica that it waits for may
// come with this very heartbeat.
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
		if asked, own := g.ProbeSentAt(heartbeat.Echoed, m.Now()); own {
			m.Sessions.RenewHolder(heartbeat.Member.ID, heartbeat.RejectedHeartbeats, asked)
		}
	})
	response := memberResponse{record: m.Elector.Known(), ageMS: m.Status.Status().Age(m.Now())}
	message.Answer(codes.OK, response.encode())
}

// memberResponse is the primary's answer to a member's heartbeat.
type memberResponse struct {
	record consensus.Record // the newest that the primary knows
	ageMS  int64            // since the primary's newest contact with a majority began
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
