package batch

import (
	"testing"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/simulation"
)

// ruleBreaker is a policy that breaks one rule on purpose and otherwise sends each invocation to one host.
type ruleBreaker struct {
	rule      int
	simulated *simulation.Simulation
	out       policydriver.Output
	hosts     []policy.HostEntry
}

func (d *ruleBreaker) Name() string { return "rulebreaker" }
func (d *ruleBreaker) Err() error   { return nil }
func (d *ruleBreaker) Close()       {}
func (d *ruleBreaker) NewPolicy(simulated *simulation.Simulation, slot int, seed uint64, out policydriver.Output) (gatewaymodel.Policy, error) {
	return &ruleBreaker{rule: d.rule, simulated: simulated, out: out}, nil
}

func (d *ruleBreaker) SetTimers(float64)                                                {}
func (d *ruleBreaker) PeerMessage(float64, int, string)                                 {}
func (d *ruleBreaker) TimerFired(float64, uint64)                                       {}
func (d *ruleBreaker) Abandon(float64, string)                                          {}
func (d *ruleBreaker) CounterReplied(float64, uint64, policy.Outcome, float64, float64) {}
func (d *ruleBreaker) UpdateHosts(_ float64, hosts []policy.HostEntry, whole bool) {
	d.hosts = append(d.hosts, hosts...)
}

func (d *ruleBreaker) Accept(now float64, request policy.Request) {
	addr := d.hosts[len(d.hosts)-1].Addr
	switch {
	case d.rule == 1: // never answers
	case d.rule == 2 && request.Operation == "charge": // sends a second attempt while the first is running
		d.out.Send(request.Ref, d.hosts[0].Addr, 0)
		d.out.Send(request.Ref, d.hosts[1].Addr, 0)
	case d.rule == 3: // sends to a host that is leaving
		for _, host := range d.hosts {
			if host.State == "leaving" {
				addr = host.Addr
			}
		}
		d.out.Send(request.Ref, addr, 0)
	case d.rule == 4: // sends everything to the newest host, which is cold
		d.out.Send(request.Ref, addr, 0)
	default:
		d.out.Send(request.Ref, d.hosts[int(request.Deadline*1e4)%6].Addr, 0)
	}
}

func (d *ruleBreaker) AttemptEnded(now float64, ref string, number int, result policy.AttemptResult) {
	if !result.Final {
		d.out.Fail(ref)
	}
}

// TestRulesBrokenOnPurposeAreReported checks that each rule is reported as broken on a day whose policy breaks it, and that the module
// breaks none.
func TestRulesBrokenOnPurposeAreReported(t *testing.T) {
	overrides := []string{"clients.rate=60/s", "length=8s", "cold.warm=20s", "plan[0].ceiling_burst=20", "plan[0].ceiling_rate=2/s"}
	replacement := fault("replace", "0.3", "1", "100ms")
	for rule := 0; rule <= 5; rule++ {
		d := smallDay(t, replacement, overrides...)
		if rule == 4 {
			d = smallDay(t, replacement, append(overrides, "clients.rate=400/s")...)
		}
		if rule != 5 {
			d.Plans[0].CeilingRate, d.Plans[0].CeilingBurst = d.Plans[1].CeilingRate, d.Plans[1].CeilingBurst
		}
		simulated := simulation.New(d, 5, &ruleBreaker{rule: rule})
		results, err := simulated.Run()
		if err != nil {
			t.Fatal(err)
		}
		reported := map[int]bool{}
		for _, violation := range results.Violations {
			reported[violation.Rule] = true
		}
		if rule == 0 { // the run with the module must break no rule
			if results = run(t, d, "module").Results; results.ViolationCount > 0 {
				t.Errorf("the module: %v", results.Violations)
			}
		} else if !reported[rule] {
			t.Errorf("rule %d was broken on purpose: reported %v", rule, results.Violations)
		}
	}
}
