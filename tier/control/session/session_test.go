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

// clock is a manually advanced clock.
type clock struct{ ms int64 }

func (c *clock) now() int64 { return c.ms }

func heartbeatOf(id string, seq uint64) AcknowledgedHeartbeat {
	return AcknowledgedHeartbeat{Heartbeat: controlclient.HostHeartbeat{Host: directory.Host{ID: id}, Seq: seq}}
}

func TestPutBackKeepsNewerHeartbeats(t *testing.T) {
	var unreported UnreportedHosts
	unreported.Add(heartbeatOf("a", 1))
	unreported.Add(heartbeatOf("b", 1))
	first := unreported.Take()
	if len(first) != 2 || len(unreported.Take()) != 0 {
		t.Fatalf("unreported: %+v", first)
	}
	unreported.Add(heartbeatOf("a", 2))
	unreported.PutBack(first)
	second := unreported.Take()
	if len(second) != 2 || second["a"].Heartbeat.Seq != 2 || second["b"].Heartbeat.Seq != 1 {
		t.Fatalf("unreported after PutBack: %+v", second)
	}
}

func TestControlProcessWithNewIdentityReplacesOldSession(t *testing.T) {
	c := &clock{ms: 1000}
	sessions := New(1, c.now)
	sessions.RenewControl(consensus.Member{ID: 2, Address: "a:1", Node: "n"}, true)
	if !sessions.IsControlDraining(2) {
		t.Fatal("control process 2 is not draining")
	}
	sessions.RenewControl(consensus.Member{ID: 3, Address: "a:1", Node: "n"}, false)
	if live := sessions.LiveControls(); len(live) != 1 || live[0].ID != 3 {
		t.Fatalf("live control processes: %+v", live)
	}
	c.ms += lease.ControlTimeout + 1
	if live := sessions.LiveControls(); len(live) != 0 {
		t.Fatalf("live control processes after the timeout: %+v", live)
	}
	if silent := sessions.ControlSilentFor(3, 1500); silent != c.ms-1500 {
		t.Fatalf("silent for %d ms since 1500", silent)
	}
}

// A process that was stalled can't tell who was silent during the stall, so no session may expire because of it.
func TestOwnStallExpiresNoSession(t *testing.T) {
	c := &clock{ms: 1000}
	sessions := New(1, c.now)
	sessions.Begin(state.New())
	sessions.RenewControl(consensus.Member{ID: 2}, false)
	sessions.Tick(0)
	c.ms += lease.ControlTimeout + 1
	sessions.Tick(0)
	if live := sessions.LiveControls(); len(live) != 1 {
		t.Fatalf("live control processes: %+v", live)
	}
}

const (
	spreadHosts    = 120
	spreadControls = 5
)

// spreadFixture simulates hosts that send all heartbeats to two of the control processes, because the others were down.
type spreadFixture struct {
	clock    *clock
	sessions *Sessions
	holders  []uint64 // control process that receives the heartbeats of each host
}

func newSpreadFixture() *spreadFixture {
	f := &spreadFixture{clock: &clock{ms: 100_000}}
	f.sessions = New(1, f.clock.now)
	st := state.New()
	for i := range spreadHosts {
		st.Apply(uint64(i+1), state.PutHost{Host: directory.Host{ID: fmt.Sprint(i), Service: "s"}, Seq: 1}.Encode())
		f.holders = append(f.holders, uint64(1+i%2)) // one of the two that were up
	}
	f.sessions.Begin(st)
	return f
}

// heartbeats renews the sessions of all control processes and hosts.
func (f *spreadFixture) heartbeats() {
	for id := range uint64(spreadControls) {
		f.sessions.RenewControl(consensus.Member{ID: id + 1, Address: fmt.Sprint("10.0.0.", id+1, ":7")}, false)
	}
	for i, holder := range f.holders {
		f.sessions.RenewHost(fmt.Sprint(i), holder, f.clock.ms)
	}
}

// follow moves the hosts of a control process as planned.
func (f *spreadFixture) follow(from uint64, move Move) {
	for i := 0; i < spreadHosts && move.Hosts > 0; i++ {
		if f.holders[i] == from {
			f.holders[i] = move.Target.ID
			move.Hosts--
		}
	}
}

// After a failover, two control processes receive the heartbeats of all hosts. Hosts move in small batches until no control process has
// more than 20 % above the mean.
func TestHostsAreRebalancedAfterFailover(t *testing.T) {
	f := newSpreadFixture()
	for range 40 {
		f.heartbeats()
		for id := range uint64(spreadControls) {
			move := f.sessions.PlanMove(id + 1)
			if second := f.sessions.PlanMove(id + 1); second.Hosts != 0 {
				t.Fatalf("second move within movePause: %+v", second)
			}
			f.follow(id+1, move)
		}
		f.clock.ms += movePause
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

// No host is moved before this primary has a heartbeat of every host, or to a silent process.
func TestNoMoveWithIncompleteCountsOrToSilentProcess(t *testing.T) {
	f := newSpreadFixture()
	if move := f.sessions.PlanMove(1); move.Hosts != 0 {
		t.Fatalf("move planned before the heartbeats of all hosts: %+v", move)
	}
	f.heartbeats()
	f.clock.ms += lease.ControlTimeout + 1 // all others are silent
	f.sessions.RenewControl(consensus.Member{ID: 1, Address: "10.0.0.1:7"}, false)
	if move := f.sessions.PlanMove(1); move.Hosts != 0 {
		t.Fatalf("move planned to a silent process: %+v", move)
	}
}
