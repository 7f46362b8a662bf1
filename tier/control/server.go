package control

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/tier/consensus"
	"otterseam/tier/control/api"
	"otterseam/tier/control/ejection"
	"otterseam/tier/control/election"
	"otterseam/tier/control/heartbeat"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/reconcile"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/feed"
	"otterseam/tier/lease"
	"otterseam/tier/limits"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

const (
	// superviseInterval is the interval at which a process checks its primary or, if it is the primary, reconciles the state.
	superviseInterval = 50 * time.Millisecond
	// leaseCheckInterval is the interval at which a process checks whether it may still serve its replica.
	leaseCheckInterval = lease.CheckInterval * time.Millisecond
	// retainedBytes is the maximum size of the changes that are kept in memory for lagging members: 80 configurations of 100 KB.
	retainedBytes = 8 << 20
)

// Server is a control process.
type Server struct {
	settings *settings.Settings
	log      *logrus.Entry
	now      func() int64
	timeline *timeline.Timeline
	self     consensus.Member

	node      *multigroup.Node
	clients   *rpc.Clients
	state     *state.State
	publisher *feed.Publisher

	elector  *election.Elector
	failover *election.Failover
	status   *election.LeaseStatus
	primary  *controlclient.Client
	proposer *proposal.Proposer

	sessions         *session.Sessions
	ejector          *ejection.Ejector
	hostHeartbeats   *heartbeat.Hosts
	storeHeartbeats  *heartbeat.Stores
	memberHeartbeats *heartbeat.Members
	reconciler       *reconcile.Reconciler
	members          *reconcile.Members
	api              *api.API

	votes    voteHandlers
	draining atomic.Bool   // this process is shutting down
	wake     chan struct{} // makes the supervisor run immediately; has a capacity of one
}

// New opens the data folder of a control process and returns the process, which is started by Run.
func New(s *settings.Settings, log *logrus.Entry) (*Server, error) {
	required := map[string]string{"data_dir": s.DataDir, "listen.control": s.ListenControl}
	if err := settings.Require(required); err != nil {
		return nil, err
	}
	server, err := open(s, log)
	if err != nil {
		return nil, err
	}
	options := replica.Options{
		EagerCommit: true, RetainedBytes: retainedBytes, Incarnation: rand.Uint64() | 1, StepDownAfter: lease.StepDownAfter,
	}
	if err := server.node.OpenGroup(state.Group, server.state, options); err != nil {
		return nil, err
	}
	server.elector.Learn(consensus.Record{}) // gives the replica the vote and the addresses stored on disk
	return server, nil
}

// open connects the parts of a control process, without the replicated group.
func open(s *settings.Settings, log *logrus.Entry) (*Server, error) {
	events := timeline.New(log)
	clients := rpc.NewClients(nil)
	node, err := multigroup.Open(s.DataDir, clients, log, true)
	if err != nil {
		return nil, err
	}
	events.Reach(timeline.DiskRead)
	server := &Server{
		settings: s,
		log:      log,
		now:      multigroup.Now,
		timeline: events,
		self:     consensus.Member{ID: node.Identity, Address: s.ControlAddress(), Node: s.Node},
		node:     node,
		clients:  clients,
		state:    state.New(),
		wake:     make(chan struct{}, 1),
	}
	if err := server.openElection(); err != nil {
		return nil, err
	}
	server.wireHeartbeats()
	server.wireReconciler()
	server.wireAPI()
	return server, nil
}

// openElection creates the election of the primary and the parts that depend only on it.
func (s *Server) openElection() error {
	var err error
	s.elector, err = election.New(election.Config{
		Node: s.node, Clients: s.clients, Self: s.self, Policy: s.membershipPolicy(),
		Timeline: s.timeline, Log: s.log, Now: s.now,
		Seeds: settings.NewSeeds(s.settings).Addresses, Bootstrap: s.settings.Bootstrap, BootstrapSeeds: s.settings.SeedAddresses,
	})
	if err != nil {
		return err
	}
	s.failover = election.NewFailover(s.elector, s.draining.Load)
	s.status = election.NewLeaseStatus(s.elector)
	s.publisher = &feed.Publisher{View: s.state.View, IsFresh: s.status.MayServe}
	s.primary = controlclient.New(s.clients, s.elector.Addresses)
	s.proposer = proposal.New(s.node, s.primary)
	return nil
}

func (s *Server) membershipPolicy() membership.Policy {
	return membership.Policy{Tolerate: s.settings.TolerateMachines}
}

func (s *Server) wireHeartbeats() {
	s.sessions = session.New(s.node.Identity, s.now)
	s.hostHeartbeats = &heartbeat.Hosts{
		Node: s.node, State: s.state, Sessions: s.sessions, Lease: s.status, Proposer: s.proposer, Primary: s.primary, Now: s.now,
	}
	s.storeHeartbeats = &heartbeat.Stores{
		State: s.state, Sessions: s.sessions, Lease: s.status, Proposer: s.proposer, Registered: s.wakeSupervisor,
	}
	s.memberHeartbeats = &heartbeat.Members{
		Node: s.node, Self: s.self, Elector: s.elector, Status: s.status, Sessions: s.sessions, Primary: s.primary,
		Draining: s.draining.Load, Rejected: s.hostHeartbeats.Rejected, Now: s.now,
	}
}

func (s *Server) wireReconciler() {
	s.ejector = ejection.New()
	s.reconciler = reconcile.New(reconcile.Config{
		Node: s.node, State: s.state, Sessions: s.sessions, Ejector: s.ejector, Elector: s.elector, Lease: s.status, Proposer: s.proposer,
		Hosts: s.hostHeartbeats, Timeline: s.timeline, Log: s.log, Now: s.now,
		Heartbeat: s.settings.Heartbeat, Tolerate: s.settings.TolerateMachines,
	})
	s.members = &reconcile.Members{
		Node: s.node, Elector: s.elector, Status: s.status, Sessions: s.sessions, Policy: s.membershipPolicy(), Now: s.now,
	}
}

func (s *Server) wireAPI() {
	config := api.Config{
		Address: s.settings.ListenControl, StoresNeeded: uint32(s.settings.TolerateMachines + 1), Limits: limits.Of(s.settings),
	}
	s.api = api.New(config, &backend{
		Proposer: s.proposer, Lease: s.status, hosts: s.hostHeartbeats, reconciler: s.reconciler, mayForward: s.status.MayForward,
	})
}

// Run serves until the context is cancelled, then until the other processes no longer require this one or the drain timeout expires, and
// shuts down. The order of the shutdown is described in the package documentation.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.self.Address)
	if err != nil {
		return oops.Wrapf(err, "internal_ports")
	}
	background, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()
	work := s.startBackground(background, listener)

	serving, cancelServing := context.WithCancel(background)
	defer cancelServing()
	cancelDrain := context.AfterFunc(ctx, func() {
		s.drain(background)
		cancelServing()
	})
	defer cancelDrain()
	err = s.api.Serve(serving)
	cancelBackground()
	s.awaitBackground(work)
	return err
}

// startBackground starts the work that runs until the context is cancelled, with the listener for other processes first. None of it
// returns errors: what fails is tried again at the next interval.
func (s *Server) startBackground(ctx context.Context, listener net.Listener) *sync.WaitGroup {
	var work sync.WaitGroup
	context.AfterFunc(ctx, func() { _ = listener.Close() }) // makes rpc.Serve return
	work.Go(func() { rpc.Serve(listener, s.handle) })
	for _, run := range []func(context.Context){
		s.node.Run,
		s.memberHeartbeats.Run,
		s.hostHeartbeats.Report,
		s.watchLease,
		s.members.Run,
		s.supervise,
	} {
		work.Go(func() { run(ctx) })
	}
	return &work
}

// supervise finds or bootstraps the cluster, makes this process primary when necessary, and reconciles the state as the primary, until
// the context is cancelled.
func (s *Server) supervise(ctx context.Context) {
	s.wakeSupervisor()
	periodic.RunOrWake(ctx, superviseInterval, s.wake, func() { s.superviseOnce(ctx) })
}

func (s *Server) superviseOnce(ctx context.Context) {
	s.sessions.Tick(s.hostHeartbeats.Rejected())
	if !s.node.IsPrimary(state.Group) {
		s.reconciler.EndLeadership()
	}
	if s.node.DiskDegraded() {
		s.failover.StepAside(ctx, s.sessions.IsControlDraining)
	}
	switch {
	case !s.elector.Known().IsBootstrapped():
		s.failover.FindOrBootstrap(ctx)
	case s.node.IsPrimary(state.Group):
		s.reconciler.Reconcile(ctx)
	default:
		s.failover.Watch(ctx)
	}
}

// wakeSupervisor makes the supervisor run immediately, after a change that it may be waiting for.
func (s *Server) wakeSupervisor() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// watchLease ends the subscriptions when this process may no longer serve its replica.
func (s *Server) watchLease(ctx context.Context) {
	periodic.Run(ctx, leaseCheckInterval, func() {
		if s.status.MayServe() {
			s.timeline.Reach(timeline.MajorityContacted)
		} else {
			s.publisher.Expire()
		}
	})
}
