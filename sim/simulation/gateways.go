package simulation

import (
	"fmt"

	"otterseam/gateway/membership"
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/hostmodel"
	"otterseam/sim/metrics"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
)

var _ gatewaymodel.Environment = (*Simulation)(nil)

// startGateway starts an api gateway with a new policy. An error ends the simulation.
func (s *Simulation) startGateway(slot int) {
	if s.err != nil || s.Queue.Stopped() {
		return
	}
	gateway := s.Gateways[slot]
	s.gatewayStarts++
	gatewayPolicy, err := gatewaymodel.WithClockOffset(s.Day.Gateway.ClockOffset.Float(), gateway,
		func(out policydriver.Output) (gatewaymodel.Policy, error) {
			seed := randstream.New(s.Seed, "mind", slot, int(s.gatewayStarts)).Uint64() >> 1
			return s.policies.NewPolicy(s, slot, seed, out)
		})
	if err != nil {
		s.err = err
		s.Queue.Stop()
		return
	}
	s.Oracle.GatewayStarted(slot)
	list := s.registry.HostList(slot)
	for _, entry := range list {
		s.recordHostState(slot, entry)
	}
	gateway.Start(gatewayPolicy, list)
	s.gatewaysAlive++
}

// hostChanged delivers a change of the list of hosts to an api gateway.
func (s *Simulation) hostChanged(slot int, change policy.HostEntry) {
	if s.Gateways[slot].Alive {
		s.recordHostState(slot, change)
		s.Gateways[slot].HostChanged(change)
	}
}

func (s *Simulation) recordHostState(slot int, entry policy.HostEntry) {
	s.Oracle.HostStateTold(slot, s.hostByAddr[entry.Addr].Number, entry.State, entry.StartedAt)
}

// Host returns the host at an address, or nil if there is none.
func (s *Simulation) Host(addr string) *hostmodel.Host { return s.hostByAddr[addr] }

// AttemptSent counts an attempt that begins and checks it against the rules.
func (s *Simulation) AttemptSent(attempt *model.Attempt) {
	s.CountAttempt()
	s.Oracle.AttemptSent(attempt)
	s.Oracle.CheckGroup(attempt, func(a, b int) bool {
		return sameGroup(attempt.Invocation.Request.Operation.Group, s.Hosts[a], s.Hosts[b])
	})
}

// sameGroup reports whether two hosts share deduplication tokens.
func sameGroup(group string, a, b *hostmodel.Host) bool {
	switch group {
	case model.GroupZone:
		return a.Zone == b.Zone
	case model.GroupCell:
		return a.Cell == b.Cell
	}
	return true
}

// AttemptSentLate is AttemptSent for an attempt that was delayed on the way, whose time of sending is unknown. Only its retry is checked.
func (s *Simulation) AttemptSentLate(attempt *model.Attempt) {
	s.CountAttempt()
	s.Oracle.CheckRetry(attempt)
}

// CountAttempt counts an attempt, including one that is lost before it reaches a host.
func (s *Simulation) CountAttempt() {
	s.Results.Attempts++
	s.Results.SecondAt(s.Queue.Now()).Attempts++
}

// AttemptReached counts the value of an invocation that reaches a host for the first time.
func (s *Simulation) AttemptReached(attempt *model.Attempt) {
	first, beyond := s.Oracle.AttemptReached(attempt)
	s.traceAttempt(attempt, "delivery %d reaches host %d")
	if !first {
		return
	}
	request := attempt.Invocation.Request
	request.BeyondQuota = beyond
	share := metrics.Share{FirstSent: request.Value()}
	if beyond {
		share.BeyondQuota = request.Value()
		share.BeyondCost = request.Value() * request.Customer.Plan.OverCost.Float()
		share.NetValue = -share.BeyondCost
	}
	s.Results.AddShare(request, share)
}

// AttemptStarted checks an attempt that begins to run on its host against the rules.
func (s *Simulation) AttemptStarted(attempt *model.Attempt) {
	s.Oracle.AttemptStarted(attempt)
	s.traceAttempt(attempt, "delivery %d runs on host %d")
}

// AttemptReleased records that an attempt is no longer in flight.
func (s *Simulation) AttemptReleased(attempt *model.Attempt) { s.Oracle.AttemptReleased(attempt) }

func (s *Simulation) traceAttempt(attempt *model.Attempt, format string) {
	s.Trace(attempt.Invocation.Gateway, attempt.Invocation.Ref, fmt.Sprintf(format, attempt.Number, attempt.Host))
}

// InvocationAnswered checks a final answer against the rules. For a throttled invocation it reports whether the quota had room.
func (s *Simulation) InvocationAnswered(invocation *model.Invocation, outcome model.Outcome) (hadRoom bool) {
	switch outcome {
	case model.Unanswered:
		s.Oracle.ClientGaveUp(invocation)
		return false
	case model.Throttled:
		hadRoom = s.Oracle.QuotaHasRoom(invocation.Request.Customer, invocation.Request.ActualUnits)
	case model.Served:
		s.addUsefulWork(invocation)
	}
	s.Oracle.InvocationAnswered(invocation, outcome)
	return hadRoom
}

// addUsefulWork adds the work of the attempt whose answer served the client.
func (s *Simulation) addUsefulWork(invocation *model.Invocation) {
	for _, attempt := range invocation.Attempts {
		if attempt.Started && attempt.Ended {
			s.usefulWork += invocation.Request.Work / s.Hosts[attempt.Host].Speed
			return
		}
	}
}

// DeliverAnswer passes an answer to its client.
func (s *Simulation) DeliverAnswer(invocation *model.Invocation, outcome model.Outcome, retryAfter float64, hadRoom bool) {
	s.Workload.HandleOutcome(invocation, outcome, retryAfter, hadRoom)
}

// SendPeerMessage sends a message to an api gateway, or to all others if to is membership.Broadcast.
func (s *Simulation) SendPeerMessage(from, to int, text string) {
	if !s.Day.Peers.Allowed {
		return
	}
	sender := s.Gateways[from]
	for slot, receiver := range s.Gateways {
		addressed := to == membership.Broadcast && slot != from || slot == to
		if addressed && receiver.Alive && !s.network.Partitioned(sender.Zone, receiver.Zone) {
			s.peers.Send(slot, text, func() { receiver.PeerMessage(from, text) })
		}
	}
}

// CounterCalled counts a call to the counter, and counts it as failed if it failed.
func (s *Simulation) CounterCalled(failed bool) {
	second := s.Results.SecondAt(s.Queue.Now())
	second.CounterCalls++
	s.Results.CounterCalls++
	if failed {
		second.CounterCallsFailed++
		s.Results.CounterCallsFailed++
	}
}

// ConnectionDialled counts a new connection to a host.
func (s *Simulation) ConnectionDialled() {
	s.Results.Dials++
	s.Results.SecondAt(s.Queue.Now()).Dials++
}
