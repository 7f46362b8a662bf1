package batch

import (
	"testing"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/simulation"
)

// rulebreaker is a policy that breaks one rule on purpose and else sends each invocation to one host.
type rulebreaker struct {
	rule int
	w    *simulation.Simulation
	out  policydriver.Output
	list []policy.HostEntry
}

func (d *rulebreaker) Name() string { return "rulebreaker" }
func (d *rulebreaker) Err() error   { return nil }
func (d *rulebreaker) Close()       {}
func (d *rulebreaker) NewPolicy(w *simulation.Simulation, slot int, seed uint64, out policydriver.Output) (gatewaymodel.Policy, error) {
	return &rulebreaker{rule: d.rule, w: w, out: out}, nil
}

func (d *rulebreaker) SetTimers(float64)                                                {}
func (d *rulebreaker) PeerMessage(float64, int, string)                                 {}
func (d *rulebreaker) TimerFired(float64, uint64)                                       {}
func (d *rulebreaker) Abandon(float64, string)                                          {}
func (d *rulebreaker) CounterReplied(float64, uint64, policy.Outcome, float64, float64) {}
func (d *rulebreaker) UpdateHosts(_ float64, list []policy.HostEntry, whole bool) {
	d.list = append(d.list, list...)
}

func (d *rulebreaker) Accept(now float64, a policy.Request) {
	last := d.list[len(d.list)-1].Addr
	switch {
	case d.rule == 1: // no answer at all
	case d.rule == 2 && a.Operation == "charge": // a second delivery beside the first
		d.out.Send(a.Ref, d.list[0].Addr, 0)
		d.out.Send(a.Ref, d.list[1].Addr, 0)
	case d.rule == 3: // whatever the list says of it
		for _, l := range d.list {
			if l.State == "leaving" {
				last = l.Addr
			}
		}
		d.out.Send(a.Ref, last, 0)
	case d.rule == 4: // all to the host that came last
		d.out.Send(a.Ref, last, 0)
	default:
		d.out.Send(a.Ref, d.list[int(a.Deadline*1e4)%6].Addr, 0)
	}
}

func (d *rulebreaker) AttemptEnded(now float64, ref string, number int, e policy.AttemptResult) {
	if !e.Final {
		d.out.Fail(ref)
	}
}

// Each rule is seen broken in a day whose policy breaks it, and by none that keeps it.
func TestRulesBrokenOnPurposeAreReported(t *testing.T) {
	sets := []string{"clients.rate=60/s", "length=8s", "cold.warm=20s", "plan[0].ceiling_burst=20", "plan[0].ceiling_rate=2/s"}
	more := fault("replace", "0.3", "1", "100ms")
	for rule := 0; rule <= 5; rule++ {
		d := small(t, more, sets...)
		if rule == 4 {
			d = small(t, more, append(sets, "clients.rate=400/s")...)
		}
		if rule != 5 {
			d.Plans[0].CeilingRate, d.Plans[0].CeilingBurst = d.Plans[1].CeilingRate, d.Plans[1].CeilingBurst
		}
		w := simulation.New(d, 5, &rulebreaker{rule: rule})
		f, err := w.Run()
		if err != nil {
			t.Fatal(err)
		}
		seen := map[int]bool{}
		for _, b := range f.Violations {
			seen[b.Rule] = true
		}
		if rule == 0 { // hosts that leave are not sent to by the module
			if f = run(t, d, "module").Results; f.ViolationCount > 0 {
				t.Errorf("the module: %v", f.Violations)
			}
		} else if !seen[rule] {
			t.Errorf("rule %d broken on purpose: seen %v", rule, f.Violations)
		}
	}
}
