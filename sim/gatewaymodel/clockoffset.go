package gatewaymodel

import (
	"slices"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
)

// WithClockOffset returns a policy whose clock is offset seconds ahead of the simulation's. newPolicy creates the policy with the
// given output. Quota windows are aligned to the policy's clock, and in runs on sockets they begin at any moment of the run.
func WithClockOffset(
	offset float64, output policydriver.Output, newPolicy func(output policydriver.Output) (Policy, error),
) (Policy, error) {
	if offset == 0 {
		return newPolicy(output)
	}
	inner, err := newPolicy(&offsetOutput{output, offset})
	return &offsetPolicy{inner, offset}, err
}

type offsetPolicy struct {
	inner  Policy
	offset float64
}

func (p *offsetPolicy) UpdateHosts(now float64, list []policy.HostEntry, complete bool) {
	shifted := slices.Clone(list)
	for i := range shifted {
		if shifted[i].StartedAt > 0 { // 0 means long ago
			shifted[i].StartedAt += p.offset
		}
	}
	p.inner.UpdateHosts(now+p.offset, shifted, complete)
}

func (p *offsetPolicy) Accept(now float64, request policy.Request) {
	request.Deadline += p.offset
	p.inner.Accept(now+p.offset, request)
}

func (p *offsetPolicy) AttemptEnded(now float64, ref string, number int, result policy.AttemptResult) {
	p.inner.AttemptEnded(now+p.offset, ref, number, result)
}

func (p *offsetPolicy) Abandon(now float64, ref string) { p.inner.Abandon(now+p.offset, ref) }

func (p *offsetPolicy) TimerFired(now float64, nonce uint64) {
	p.inner.TimerFired(now+p.offset, nonce)
}

func (p *offsetPolicy) PeerMessage(now float64, from int, text string) {
	p.inner.PeerMessage(now+p.offset, from, text)
}

func (p *offsetPolicy) SetTimers(now float64) { p.inner.SetTimers(now + p.offset) }

func (p *offsetPolicy) CounterReplied(now float64, name uint64, outcome policy.Outcome, sum, seconds float64) {
	p.inner.CounterReplied(now+p.offset, name, outcome, sum, seconds)
}

// offsetOutput converts the times of timers to the simulation's clock.
type offsetOutput struct {
	policydriver.Output
	offset float64
}

func (o *offsetOutput) SetTimer(nonce uint64, at float64) { o.Output.SetTimer(nonce, at-o.offset) }
