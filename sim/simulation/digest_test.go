package simulation_test

import (
	"strings"
	"testing"

	"otterseam/internal/digesttest"
	"otterseam/sim/metrics"
	"otterseam/sim/policies"
	"otterseam/sim/scenarios"
	"otterseam/sim/simulation"
)

// digestedDays are shortened days of each kind: without faults, with faults on links, with most kinds of faults, with hosts that become
// slow, with hosts that refuse connections, with hosts that leave one operation unanswered, and with a counter that is lost.
var digestedDays = []struct {
	name, policy string
	sets         []string // overrides KEY=VALUE, as on the command line
}{
	{"calm-3", "module", []string{"length=3s"}},
	{"links-3", "module", nil},
	{"rough-4", "damped", []string{"clients.rate=40/s"}},
	{"pressed-3", "members", []string{"length=10s", "clients.rate=240/s"}},
	{"refusing-10", "damped", []string{"length=8s", "fleet.gateways=5", "fleet.hosts=12", "clients.rate=80/s"}},
	{"mute-47", "damped", []string{"length=12s", "fleet.gateways=5", "fleet.hosts=12", "clients.rate=60/s"}},
	{"counter-loss", "members", []string{"length=20s", "fleet.gateways=5", "fleet.hosts=8", "clients.rate=60/s"}},
}

func digestShare(d *digesttest.Digest, s metrics.Share) {
	d.Float(s.Requested, s.Served, s.Late, s.ThrottledWithRoom, s.ThrottledWithoutRoom, s.Errored, s.Lost)
	d.Float(s.BeyondQuota, s.BeyondCost, s.NetValue, s.FirstSent, s.ServedOfSent)
}

func digestFigures(d *digesttest.Digest, f *metrics.Results) {
	digestShare(d, f.Total)
	d.Float(f.FirstInvocations, f.Invocations, f.Attempts, f.WastedWork, f.CounterCalls, f.CounterCallsFailed, f.PeerMessages, f.Dials, f.Fairness)
	d.Uint(f.Events, uint64(f.ViolationCount))
	for i := range f.Seconds {
		s := &f.Seconds[i]
		digestShare(d, s.Share)
		d.Float(s.AttemptsInFlight, s.CoreUtilization, s.HostLoad, s.CounterCalls, s.CounterCallsFailed, s.GatewaysAlive, s.HostsUp, s.FirstInvocations, s.ClientRetries, s.Dials, s.Attempts, s.P50, s.P99)
	}
}

// TestDayDigests guards against unintended changes of behaviour: it compares digests of the time, the api gateway and the invocation of
// every trace line, and of the results, on days with the gateway's own policies.
func TestDayDigests(t *testing.T) {
	for _, c := range digestedDays {
		digesttest.CheckPerPlatform(t, c.name, func(t *testing.T, seed int64, d *digesttest.Digest) {
			day, err := scenarios.Load(c.name)
			if err != nil {
				t.Fatal(err)
			}
			for _, set := range c.sets {
				key, value, _ := strings.Cut(set, "=")
				if err := day.Set(key, value); err != nil {
					t.Fatal(err)
				}
			}
			policySource, err := policies.New(c.policy)
			if err != nil {
				t.Fatal(err)
			}
			simulated := simulation.New(day, uint64(seed), policySource)
			simulated.OnTrace = func(from int, ref, _ string) {
				d.Float(simulated.Queue.Now())
				d.Int(int64(from))
				d.Text(ref)
			}
			results, err := simulated.Run()
			if err != nil {
				t.Fatal(err)
			}
			digestFigures(d, results)
		})
	}
}
