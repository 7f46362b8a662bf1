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
	d.Float(s.Asked, s.Served, s.Late, s.WithRoom, s.WithoutRoom, s.Errored, s.Lost)
	d.Float(s.Beyond, s.BeyondCost, s.Worth, s.Sent, s.Within)
}

func digestFigures(d *digesttest.Digest, f *metrics.Figures) {
	digestShare(d, f.Whole)
	d.Float(f.First, f.Tries, f.Deliveries, f.Wasted, f.Calls, f.Missed, f.Mail, f.Dials, f.Fairness)
	d.Uint(f.Events, uint64(f.Breaks))
	for i := range f.Seconds {
		s := &f.Seconds[i]
		digestShare(d, s.Share)
		d.Float(s.Out, s.Busy, s.Waiting, s.Calls, s.Missed, s.Alive, s.HostsUp, s.First, s.Repeats, s.Dials, s.Sends, s.P50, s.P99)
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
			world.Heard = func(from int, ref, _ string) {
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
