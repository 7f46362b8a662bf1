package simadapter

import (
	"otterseam/gateway/membership"
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/gateway/simprotocol"
)

// discoverOnRequest is the discovery mode of the settings in which a gateway must subscribe to changes.
const discoverOnRequest = "on_request"

// gateway runs the policy of one gateway and writes its decisions as commands.
type gateway struct {
	*policydriver.Driver
	reply *simprotocol.Reply
}

func newGateway(m *simprotocol.Create, reply *simprotocol.Reply) (*gateway, error) {
	g := &gateway{reply: reply}
	driver, err := policydriver.New(g, func(output policy.Output) (*policy.Gateway, error) {
		return m.Settings.NewPolicy(m.Seed, output)
	})
	if err != nil {
		return nil, err
	}
	g.Driver = driver
	if m.Settings.DiscoveryMode == discoverOnRequest {
		reply.Add("TRACK", true)
	}
	return g, nil
}

// handle translates one message into one call of the policy. The policy does not use the messages about the start of streamed
// responses and about health checks, so they are ignored.
func (g *gateway) handle(now float64, message any) {
	switch m := message.(type) {
	case *simprotocol.Request:
		g.Accept(now, policy.Request{
			Ref: m.Ref, Operation: m.Operation, Customer: m.Customer, Plan: m.Plan, Units: m.Units, Deadline: m.Deadline,
			FirstGateway: m.FirstGateway, GatewayCount: m.GatewayCount, ClientRetry: m.IsRetry(),
		})
	case *simprotocol.AttemptEnded:
		g.AttemptEnded(now, m.Ref, m.Attempt, policy.AttemptResult{
			Outcome: policy.Outcome(m.Outcome[0]), Final: m.Final, Duration: m.Duration, ActualUnits: m.Units,
		})
	case *simprotocol.ClientGone:
		g.Abandon(now, m.Ref)
	case *simprotocol.TimerFired:
		g.TimerFired(now, m.Nonce)
	case *simprotocol.PeerMessage:
		g.PeerMessage(now, m.From, m.Text)
	case *simprotocol.CounterReplied:
		g.CounterReplied(now, m.Name, policy.Outcome(m.Outcome[0]), m.Total, m.Duration)
	}
}

// Send writes PASS_ON.
func (g *gateway) Send(ref, host string, timeout float64) {
	g.reply.Add("PASS_ON", ref, timeout, host)
}

// Throttle writes SHED.
func (g *gateway) Throttle(ref string, retryAfter float64) { g.reply.Add("SHED", ref, retryAfter) }

// Fail writes SURRENDER.
func (g *gateway) Fail(ref string) { g.reply.Add("SURRENDER", ref) }

// SetTimer writes SCHEDULE.
func (g *gateway) SetTimer(nonce uint64, at float64) { g.reply.Add("SCHEDULE", nonce, at) }

// CancelAttempt writes CALL_OFF.
func (g *gateway) CancelAttempt(ref string, number int) { g.reply.Add("CALL_OFF", ref, number) }

// SendPeer writes ANNOUNCE, with null as the recipient for a broadcast.
func (g *gateway) SendPeer(to int, text string) {
	if to == membership.Broadcast {
		g.reply.Add("ANNOUNCE", nil, text)
		return
	}
	g.reply.Add("ANNOUNCE", to, text)
}

// Log writes TRACE.
func (g *gateway) Log(text string) { g.reply.Add("TRACE", text) }

// AddCount writes BUMP.
func (g *gateway) AddCount(name uint64, amount, life float64) {
	g.reply.Add("BUMP", name, amount, life)
}
