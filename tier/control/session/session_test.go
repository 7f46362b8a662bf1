package session

import (
	"fmt"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/lease"
)

// clock is set by hand.
type clock struct{ at int64 }

func (c *clock) now() int64 { return c.at }

func heartbeatOf(id string, seq uint64) AcknowledgedHeartbeat {
	return AcknowledgedHeartbeat{Heartbeat: controlclient.HostHeartbeat{Host: directory.Host{ID: id}, Seq: seq}}
}

func TestHeartbeatsThatCouldNotBeReportedGiveWayToNewerOnes(t *testing.T) {
	var unreported UnreportedHosts
	unreported.Add(heartbeatOf("a", 1))
	unreported.Add(heartbeatOf("b", 1))
	taken := unreported.Take()
	if len(taken) != 2 || len(unreported.Take()) != 0 {
		t.Fatalf("taken: %+v", taken)
	}
	unreported.Add(heartbeatOf("a", 2))
	unreported.PutBack(taken)
	again := unreported.Take()
	if len(again) != 2 || again["a"].Heartbeat.Seq != 2 || again["b"].Heartbeat.Seq != 1 {
		t.Fatalf("taken again: %+v", again)
	}
}

func TestAControlProcessThatComesBackWithAnotherDiskReplacesItself(t *testing.T) {
	c := &clock{at: 1000}
	sessions := New(1, c.now)
	sessions.RenewControl(consensus.Member{ID: 2, Address: "a:1", Node: "n"}, true)
	if !sessions.IsControlDraining(2) {
		t.Fatal("what it said of itself is not known")
	}
	sessions.RenewControl(consensus.Member{ID: 3, Address: "a:1", Node: "n"}, false)
	if live := sessions.LiveControls(); len(live) != 1 || live[0].ID != 3 {
		t.Fatalf("live: %+v", live)
	}
	c.at += lease.ControlTimeout + 1
	if live := sessions.LiveControls(); len(live) != 0 {
		t.Fatalf("live after silence: %+v", live)
	}
	if silent := sessions.ControlSilentFor(3, 1500); silent != c.at-1500 {
		t.Fatalf("silent for %d ms, counted from 1500 at the earliest", silent)
	}
}

// A process that stood still can't tell who was silent meanwhile.
func TestAStallOfTheListenerEndsNoSession(t *testing.T) {
	c := &clock{at: 1000}
	sessions := New(1, c.now)
	sessions.Begin(state.New())
	sessions.RenewControl(consensus.Member{ID: 2}, false)
	sessions.Tick(0)
	c.at += lease.ControlTimeout + 1
	sessions.Tick(0)
	if live := sessions.LiveControls(); len(live) != 1 {
		t.Fatalf("live: %+v", live)
	}
}

const (
	spreadHosts    = 120
	spreadControls = 5
)

// spreadFixture is hosts that send their heartbeats to control processes, all but two of which were down for a while.
type spreadFixture struct {
	clock    *clock
	sessions *Sessions
	holders  []uint64 // by host
}

func newSpreadFixture() *spreadFixture {
	f := &spreadFixture{clock: &clock{at: 100_000}}
	f.sessions = New(1, f.clock.now)
	st := state.New()
	for i := range spreadHosts {
		st.Apply(uint64(i+1), state.PutHost{Host: directory.Host{ID: fmt.Sprint(i), Service: "s"}, Seq: 1}.Encode())
		f.holders = append(f.holders, uint64(1+i%2)) // of the two that were up
	}
	f.sessions.Begin(st)
	return f
}

// heartbeats has all control processes and all hosts be heard.
func (f *spreadFixture) heartbeats() {
	for id := range uint64(spreadControls) {
		f.sessions.RenewControl(consensus.Member{ID: id + 1, Address: fmt.Sprint("10.0.0.", id+1, ":7")}, false)
	}
	for i, holder := range f.holders {
		f.sessions.RenewHost(fmt.Sprint(i), holder, f.clock.at)
	}
}

// follow has hosts move as they are asked to.
func (f *spreadFixture) follow(from uint64, move Move) {
	for i := 0; i < spreadHosts && move.Hosts > 0; i++ {
		if f.holders[i] == from {
			f.holders[i] = move.Target.ID
			move.Hosts--
		}
	}
}

// After a failover two control processes have all hosts: they move until none has more than a fifth beyond the mean, some at a time.
func TestHostsSpreadAgainAfterAFailover(t *testing.T) {
	f := newSpreadFixture()
	for range 40 {
		f.heartbeats()
		for id := range uint64(spreadControls) {
			move := f.sessions.PlanMove(id + 1)
			if again := f.sessions.PlanMove(id + 1); again.Hosts != 0 {
				t.Fatalf("asked twice at once: %+v", again)
			}
			f.follow(id+1, move)
		}
		f.clock.at += movePause
	}
	counts := map[uint64]int{}
	for _, holder := range f.holders {
		counts[holder]++
	}
	for id := range uint64(spreadControls) {
		if count := counts[id+1]; count > 12*spreadHosts/spreadControls/10 || count < spreadHosts/spreadControls/2 {
			t.Errorf("control process %d has %d of %d hosts: %v", id+1, count, spreadHosts, counts)
		}
	}
}

// Nothing moves before all hosts were heard, or onto a process that is silent.
func TestHostsMoveOnlyWhereAllIsKnown(t *testing.T) {
	f := newSpreadFixture()
	if move := f.sessions.PlanMove(1); move.Hosts != 0 {
		t.Fatalf("moved before the hosts were heard: %+v", move)
	}
	f.heartbeats()
	f.clock.at += lease.ControlTimeout + 1 // all others are silent
	f.sessions.RenewControl(consensus.Member{ID: 1, Address: "10.0.0.1:7"}, false)
	if move := f.sessions.PlanMove(1); move.Hosts != 0 {
		t.Fatalf("moved onto a silent process: %+v", move)
	}
}
