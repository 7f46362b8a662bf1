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

// Days of each kind, made small: no trouble, faults on links, most kinds of trouble, hosts that turn slow, hosts that refuse, hosts
// that leave one operation unanswered, and a counter that is lost.
var digestedDays = []struct {
	name, decider string
	sets          []string // of keys, as on the command line
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

// What happens to each invocation, and when, on days that are decided by the gateway's own decisions, with the figures.
func TestDayDigests(t *testing.T) {
	for _, each := range digestedDays {
		digesttest.Check(t, each.name, func(t *testing.T, seed int64, d *digesttest.Digest) {
			day, err := scenarios.Load(each.name)
			if err != nil {
				t.Fatal(err)
			}
			for _, set := range each.sets {
				key, value, _ := strings.Cut(set, "=")
				if err := day.Set(key, value); err != nil {
					t.Fatal(err)
				}
			}
			decider, err := policies.New(each.decider)
			if err != nil {
				t.Fatal(err)
			}
			world := simulation.New(day, uint64(seed), decider)
			world.OnTrace = func(from int, ref, _ string) {
				d.Float(world.Queue.Now())
				d.Int(int64(from))
				d.Text(ref)
			}
			played, err := world.Run()
			if err != nil {
				t.Fatal(err)
			}
			digestFigures(d, played)
		})
	}
}
