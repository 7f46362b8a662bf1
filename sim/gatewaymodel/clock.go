package gatewaymodel

// This file owns the clock of api gateways where it does not begin with the day: the windows of quotas lie by it, and on
// sockets they begin at any moment of a day.

import (
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
)

// Shifted is a mind whose clock is by so many seconds ahead of the day's; make is given its way out.
func Shifted(by float64, out policydriver.Out, make func(out policydriver.Out) (Mind, error)) (Mind, error) {
	if by == 0 {
		return make(out)
	}
	m, err := make(&shiftedOut{out, by})
	return &shifted{m, by}, err
}

type shifted struct {
	mind Mind
	by   float64
}

func (s *shifted) Hosts(now float64, list []policy.HostEntry, whole bool) {
	later := append([]policy.HostEntry(nil), list...)
	for i := range later {
		if later[i].StartedAt > 0 { // 0: long ago
			later[i].StartedAt += s.by
		}
	}
	s.mind.Hosts(now+s.by, later, whole)
}

func (s *shifted) Take(now float64, a policy.Request) {
	a.Deadline += s.by
	s.mind.Take(now+s.by, a)
}

func (s *shifted) Ended(now float64, ref string, number int, e policy.AttemptResult) {
	s.mind.Ended(now+s.by, ref, number, e)
}
func (s *shifted) Gone(now float64, ref string)            { s.mind.Gone(now+s.by, ref) }
func (s *shifted) Ring(now float64, nonce uint64)          { s.mind.Ring(now+s.by, nonce) }
func (s *shifted) Told(now float64, from int, text string) { s.mind.Told(now+s.by, from, text) }
func (s *shifted) Settle(now float64)                      { s.mind.Settle(now + s.by) }
func (s *shifted) Counted(now float64, name uint64, how policy.Outcome, sum, took float64) {
	s.mind.Counted(now+s.by, name, how, sum, took)
}

type shiftedOut struct {
	policydriver.Out
	by float64
}

func (o *shiftedOut) Wake(nonce uint64, at float64) { o.Out.Wake(nonce, at-o.by) }
