package session

import (
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
