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

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/ejection"
	"otterseam/tier/control/election"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/feed"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

const (
	superviseEvery = 50 * time.Millisecond
	submitTimeout  = 850 * time.Millisecond
	// controlBytesKept bounds the changes kept in memory for members that lag: 80 configurations of 100 KB.
	controlBytesKept = 8 << 20
)

// Server is a control process.
type Server struct {
	settings   *settings.Settings
	log        *logrus.Entry
	host       *multigroup.Node
	elector    *election.Elector
	failover   *election.Failover
	status     *election.LeaseStatus
	state      *state.State
	publisher  *feed.Publisher
	clients    *rpc.Clients
	primary    *controlclient.Client
	sessions   *session.Sessions
	unreported *session.UnreportedHosts
	ejector    *ejection.Ejector
	timeline   *timeline.Timeline
	self       consensus.Member

	beatHere      []byte // the answer to a heartbeat that asks the host to stay here
	beatElsewhere []byte // the answer that leaves it the choice

	mu       sync.Mutex
	leading  uint64 // the entry that opened the lead for which sessions were begun
	ledSince int64

	draining atomic.Bool   // this process is about to stop
	wake     chan struct{} // has Supervise look at once; holds one at the start
	refusals atomic.Uint64 // heartbeats refused for want of a lease
}

// New opens the state of a control process.
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
		EagerCommit: true, RetainedBytes: controlBytesKept, Incarnation: rand.Uint64() | 1, StepDownAfter: lease.StepDownAfter,
	}
	if err := server.host.OpenGroup(state.Group, server.state, options); err != nil {
		return nil, err
	}
	server.elector.Learn(consensus.Record{})
	return server, nil
}

// open wires a control process on its disk, without the replicated group.
func open(s *settings.Settings, log *logrus.Entry) (*Server, error) {
	line := timeline.New(log)
	clients := rpc.NewClients(nil)
	host, err := multigroup.Open(s.DataDir, clients, log, true)
	if err != nil {
		return nil, err
	}
	line.Reach(timeline.DiskRead)
	server := &Server{
		settings:   s,
		log:        log,
		host:       host,
		state:      state.New(),
		clients:    clients,
		sessions:   session.New(host.Identity, multigroup.Now),
		self:       consensus.Member{ID: host.Identity, Address: s.ControlAddress(), Node: s.Node},
		unreported: session.NewUnreportedHosts(),
		timeline:   line,
		ejector:    ejection.New(),
		wake:       make(chan struct{}, 1),

		beatHere:      []byte(`{"beat_target":"` + s.ListenControl + `"}`),
		beatElsewhere: []byte(`{}`),
	}
	server.elector, err = election.New(election.Config{
		Node: host, Clients: clients, Self: server.self, Policy: membership.Policy{Tolerate: s.TolerateMachines}, Timeline: line, Log: log,
		Now: multigroup.Now, Seeds: settings.NewSeeds(s).Addresses, Bootstrap: s.Bootstrap, BootstrapSeeds: s.SeedAddresses,
	})
	if err != nil {
		return nil, err
	}
	server.failover = election.NewFailover(server.elector, server.draining.Load)
	server.status = election.NewLeaseStatus(server.elector)
	server.publisher = &feed.Publisher{View: server.state.View, IsFresh: server.status.MayServe}
	server.primary = controlclient.New(clients, server.elector.Addresses)
	return server, nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.self.Address)
	if err != nil {
		return oops.Wrapf(err, "internal_ports")
	}
	defer listener.Close()
	go rpc.Serve(listener, s.handle)
	go s.host.Run(ctx)
	go s.beat(ctx)
	go s.reportHeard(ctx)
	go s.watchLease(ctx)
	go s.adjustReplicas(ctx)
	return s.serveHTTP(ctx)
}

// Supervise founds, takes over, repairs and places until the context ends.
func (s *Server) Supervise(ctx context.Context) {
	s.wakeSupervisor()
	periodic.RunOrWake(ctx, superviseEvery, s.wake, func() {
		s.sessions.Tick(s.refusals.Load())
		if !s.host.IsPrimary(state.Group) {
			s.endLeading()
		}
		if s.host.DiskDegraded() {
			s.failover.StepAside(ctx, s.sessions.IsControlDraining)
		}
		switch {
		case !s.elector.Known().IsBootstrapped():
			s.failover.FindOrBootstrap(ctx)
		case s.host.IsPrimary(state.Group):
			s.lead(ctx)
		default:
			s.failover.Watch(ctx)
		}
	})
}

// wakeSupervisor has Supervise look at once, since something has changed that it may have waited for.
func (s *Server) wakeSupervisor() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// handle takes messages of other processes.
func (s *Server) handle(message rpc.Message) {
	switch message.Kind {
	case multigroup.KindReplica:
		s.host.HandleMessage(message.Payload, nil)
	case feed.KindSubscribe:
		s.publisher.Handle(message)
	case timeline.KindTimeline:
		message.Answer(codes.OK, s.timeline.Encode())
	case controlclient.KindLocate:
		s.elector.HandleLocate(message)
	case controlclient.KindPreVote:
		go s.elector.HandleSupport(message)
	case controlclient.KindPrepare:
		go s.elector.HandlePrepare(message)
	case controlclient.KindAccept:
		go s.elector.HandleAccept(message)
	case election.KindTakeOver:
		go s.failover.HandleTakeOver(message)
	case controlclient.KindMemberHeartbeat:
		go s.answerControlBeat(message)
	default:
		go s.handleAsPrimary(message)
	}
}

// handleAsPrimary takes what only the primary may decide.
func (s *Server) handleAsPrimary(message rpc.Message) {
	if err := s.status.MayDecide(); err != nil {
		message.Answer(err.(codes.Code), []byte(s.status.PrimaryAddress()))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	result, err := s.decide(ctx, message)
	if err != nil {
		code, isCode := err.(codes.Code)
		if !isCode {
			code = codes.Malformed
		}
		message.Answer(code, nil)
		return
	}
	message.Answer(result.Code, result.Body)
}

func (s *Server) decide(ctx context.Context, message rpc.Message) (state.Result, error) {
	switch message.Kind {
	case controlclient.KindSubmit:
		return s.submitHere(ctx, message.Payload)
	case controlclient.KindStoreHeartbeat:
		return s.storeBeat(ctx, message.Payload)
	case controlclient.KindInSyncChange:
		return s.shardChange(ctx, message.Payload)
	case controlclient.KindHostHeartbeat:
		beat, err := controlclient.DecodeHostHeartbeat(message.Payload)
		if err != nil {
			return state.Result{}, err
		}
		return s.hostBeat(ctx, beat)
	case controlclient.KindHostObservations:
		return s.observed(message.Payload)
	case controlclient.KindHeartbeatReport:
		return s.hostsHeard(message.Payload)
	case controlclient.KindDeregisterHost:
		return s.hostGone(ctx, string(message.Payload), true)
	case controlclient.KindRetirementState:
		return s.retireState(ctx, string(message.Payload))
	default:
		return state.Result{}, codes.Malformed
	}
}

const checkInterval = lease.CheckInterval * time.Millisecond

// watchLease ends the subscriptions once this process may not serve its copy any longer.
func (s *Server) watchLease(ctx context.Context) {
	periodic.Run(ctx, checkInterval, func() {
		if s.status.MayServe() {
			s.timeline.Reach(timeline.MajorityContacted)
		} else {
			s.publisher.Expire()
		}
	})
}
