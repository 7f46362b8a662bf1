package gatewaymodel

// This file owns the clock of api gateways where it does not begin with the day: the windows of quotas lie by it, and on
// sockets they begin at any moment of a day.

import (
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
)

// WithClockOffset is a mind whose clock is by so many seconds ahead of the day's; make is given its way out.
func WithClockOffset(by float64, out policydriver.Output, make func(out policydriver.Output) (Policy, error)) (Policy, error) {
	if by == 0 {
		return make(out)
	}
	m, err := make(&shiftedOut{out, by})
	return &shifted{m, by}, err
}

type shifted struct {
	mind Policy
	by   float64
}

func (s *shifted) UpdateHosts(now float64, list []policy.HostEntry, whole bool) {
	later := append([]policy.HostEntry(nil), list...)
	for i := range later {
		if later[i].StartedAt > 0 { // 0: long ago
			later[i].StartedAt += s.by
		}
	}
	s.mind.UpdateHosts(now+s.by, later, whole)
}

func (s *shifted) Accept(now float64, a policy.Request) {
	a.Deadline += s.by
	s.mind.Accept(now+s.by, a)
}

func (s *shifted) AttemptEnded(now float64, ref string, number int, e policy.AttemptResult) {
	s.mind.AttemptEnded(now+s.by, ref, number, e)
}
func (s *shifted) Abandon(now float64, ref string)      { s.mind.Abandon(now+s.by, ref) }
func (s *shifted) TimerFired(now float64, nonce uint64) { s.mind.TimerFired(now+s.by, nonce) }
func (s *shifted) PeerMessage(now float64, from int, text string) {
	s.mind.PeerMessage(now+s.by, from, text)
}
func (s *shifted) SetTimers(now float64) { s.mind.SetTimers(now + s.by) }
func (s *shifted) CounterReplied(now float64, name uint64, how policy.Outcome, sum, took float64) {
	s.mind.CounterReplied(now+s.by, name, how, sum, took)
}

type shiftedOut struct {
	policydriver.Output
	by float64
}

func (o *shiftedOut) SetTimer(nonce uint64, at float64) { o.Output.SetTimer(nonce, at-o.by) }
