package reconcile

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/consensus"
	"otterseam/tier/control/ejection"
	"otterseam/tier/control/election"
	"otterseam/tier/control/heartbeat"
	"otterseam/tier/control/internal/fixture"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/outlier"
	"otterseam/tier/placement"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/timeline"
)

// heartbeatInterval is the heartbeat interval of hosts.
const heartbeatInterval = time.Second

// leader is a primary that is the only voter. Its clock is advanced manually, but its replica uses the real clock.
type leader struct {
	*Reconciler
	sessions *session.Sessions
	ejector  *ejection.Ejector
	state    *state.State
	hosts    *heartbeat.Hosts
	clock    int64
}

// permanentLease is a lease that never expires.
type permanentLease struct{}

func (permanentLease) MayServe() bool   { return true }
func (permanentLease) MayDecide() error { return nil }

func newLeader(t *testing.T) *leader {
	t.Helper()
	ctx := t.Context()
	logger, _ := test.NewNullLogger()
	log := logrus.NewEntry(logger)
	clients := rpc.NewClients(nil)
	acceptor := fixture.Witness()
	acceptor.Value = fixture.SingleVoterRecord()
	node, err := multigroup.Open(fixture.Disk(t, fixture.Voter, &acceptor), clients, log, true)
	if err != nil {
		t.Fatal(err)
	}
	l := &leader{state: state.New(), ejector: ejection.New(), clock: 1_000_000}
	now := func() int64 { return l.clock }
	elector, err := election.New(election.Config{
		Node: node, Clients: clients, Self: consensus.Member{ID: node.Identity}, Log: log, Now: multigroup.Now,
		Seeds: func() []string { return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := node.OpenGroup(state.Group, l.state, replica.Options{Incarnation: 9}); err != nil {
		t.Fatal(err)
	}
	go node.Run(ctx)
	node.SetView(state.Group, membership.View(fixture.SingleVoterRecord()))
	for !node.IsPrimary(state.Group) {
		if ctx.Err() != nil {
			t.Fatal("no primary")
		}
		time.Sleep(time.Millisecond)
	}
	proposer := proposal.New(node, nil)
	l.sessions = session.New(node.Identity, now)
	l.hosts = &heartbeat.Hosts{Node: node, State: l.state, Sessions: l.sessions, Lease: permanentLease{}, Proposer: proposer, Now: now}
	l.Reconciler = New(Config{
		Node: node, State: l.state, Sessions: l.sessions, Ejector: l.ejector, Elector: elector, Lease: permanentLease{}, Proposer: proposer,
		Hosts: l.hosts, Timeline: timeline.New(log), Log: log, Now: now, Heartbeat: heartbeatInterval, Tolerate: 1,
	})
	return l
}

// step is the increment of a leader's clock in milliseconds. It is below lease.StallThreshold, so that no stall is detected.
const step = 100

// advance advances the clock by span and calls afterStep after each step.
func (l *leader) advance(span int64, afterStep func()) {
	for end := l.clock + span; l.clock < end; {
		l.clock += step
		l.sessions.Tick(0)
		afterStep()
	}
}

// registerStore registers a store and starts its session.
func (l *leader) registerStore(ctx context.Context, t *testing.T, id uint64, node string) {
	t.Helper()
	store := fixture.Store(id, node)
	if _, err := l.config.Proposer.Propose(ctx, state.PutStore{Store: store}); err != nil {
		t.Fatal(err)
	}
	l.sessions.RenewStore(controlclient.StoreHeartbeat{Store: store})
}

// registerHost sends a heartbeat of a host.
func (l *leader) registerHost(ctx context.Context, t *testing.T, id string) {
	t.Helper()
	if _, err := l.hosts.Handle(ctx, controlclient.HostHeartbeat{Host: fixture.Host(id, false), Seq: 1}); err != nil {
		t.Fatal(err)
	}
}

func TestShardsArePlacedAfterStoresHadTimeToRegister(t *testing.T) {
	l := newLeader(t)
	l.Reconcile(t.Context())
	for id, node := range []string{"store-a", "store-b", "store-c"} {
		l.registerStore(t.Context(), t, uint64(id+1), node)
	}
	l.Reconcile(t.Context())
	if placed := len(directory.Shards(l.state.View)); placed != 0 {
		t.Fatalf("%d shards were placed before all stores could register", placed)
	}
	l.advance(firstPlacementWait+step, func() {
		for _, store := range directory.Stores(l.state.View) {
			l.sessions.RenewStore(controlclient.StoreHeartbeat{Store: store})
		}
	})
	l.Reconcile(t.Context())
	shards := directory.Shards(l.state.View)
	if len(shards) != placement.ShardCount {
		t.Fatalf("%d shards were placed", len(shards))
	}
	for id, shard := range shards {
		if len(shard.View.Replicas) < 2 {
			t.Errorf("shard %d has replicas %v, but must tolerate the loss of one machine", id, shard.View.Replicas)
		}
	}
	if got := directory.ControlAddresses(l.state.View); len(got) != 1 {
		t.Errorf("published addresses of control: %v", got)
	}
}

func TestOnlySilentHostIsRemoved(t *testing.T) {
	l := newLeader(t)
	l.Reconcile(t.Context())
	l.registerHost(t.Context(), t, "silent")
	l.registerHost(t.Context(), t, "heard")
	l.advance(20*heartbeatInterval.Milliseconds(), func() {
		l.registerHost(t.Context(), t, "heard")
		l.Reconcile(t.Context())
	})
	if _, listed := l.state.Host("silent"); listed {
		t.Error("a silent host is still listed")
	}
	if _, listed := l.state.Host("heard"); !listed {
		t.Error("a host that sends heartbeats was removed")
	}
}

func TestOutlierIsEjectedForItsDuration(t *testing.T) {
	l := newLeader(t)
	l.Reconcile(t.Context())
	for _, id := range []string{"a", "b", "c", "d"} {
		l.registerHost(t.Context(), t, id)
	}
	for reporter := range uint64(3) {
		failed := outlier.Observation{Host: "b"}
		failed.Counts[outlier.Hung] = 2
		l.ejector.Observe(outlier.Window{Reporter: reporter + 1, Number: 1, Contacted: 9, Hosts: []outlier.Observation{failed}}, l.clock)
	}
	l.Reconcile(t.Context())
	durations := l.state.EjectionDurations()
	if len(durations) != 1 || durations["b"] == 0 {
		t.Fatalf("ejections: %v", durations)
	}
	l.clock += durations["b"]
	l.Reconcile(t.Context())
	if durations := l.state.EjectionDurations(); len(durations) != 0 {
		t.Fatalf("ejections after their end: %v", durations)
	}
}
