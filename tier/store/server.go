package store

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/internal/bytebudget"
	"otterseam/tier/codes"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/fleetload"
	"otterseam/tier/limits"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

// Server is a store process.
type Server struct {
	settings *settings.Settings
	log      *logrus.Entry
	node     *multigroup.Node
	clients  *rpc.Clients
	control  *controlclient.Client
	view     *feed.View
	seeds    *settings.Seeds
	self     directory.Store
	timeline *timeline.Timeline
	loads    *loadHome
	frames   *bytebudget.Budget
	commands *commandBudget // of the commands that wait to be committed
	answers  *commandBudget // of the answers that are being written
	turns    *turnAdmission

	shardsMu sync.Mutex // held while a shard is opened or dropped

	mu       sync.Mutex      // guards the fields below
	draining bool            // Drain was called
	changing map[uint32]bool // shards with a request to change their in-sync set in progress
}

// New opens the state on disk and returns a store process that does not run yet.
func New(s *settings.Settings, log *logrus.Entry) (*Server, error) {
	if err := settings.Require(map[string]string{"data_dir": s.DataDir, "seeds": strings.Join(s.Seeds, ",")}); err != nil {
		return nil, err
	}
	steps := timeline.New(log)
	clients := rpc.NewClients(nil)
	node, err := multigroup.Open(s.DataDir, clients, log, false)
	if err != nil {
		return nil, err
	}
	steps.Reach(timeline.DiskRead)
	processLimits := limits.Of(s)
	server := &Server{
		settings: s,
		log:      log,
		node:     node,
		clients:  clients,
		view:     feed.NewView(),
		seeds:    settings.NewSeeds(s),
		changing: map[uint32]bool{},
		timeline: steps,
		frames:   bytebudget.New(processLimits.CommandBytes()),
		commands: newCommandBudget(processLimits.CommandBytes(), 1),
		answers:  newCommandBudget(processLimits.CommandBytes(), maxWaitingAnswers),
		turns:    newTurnAdmission(processLimits),
		self: directory.Store{
			Identity: node.Identity, Incarnation: rand.Uint64(), Node: s.Node, Address: s.StoreAddress(), Zone: s.Zone,
		},
	}
	server.loads = newLoadHome(server.self, server.view, clients)
	server.view.SetClusterID(node.ClusterID())
	server.control = controlclient.New(clients, server.controlAddresses)
	for _, id := range node.UnopenedGroups() {
		server.openShard(id)
	}
	return server, nil
}

// controlAddresses returns the addresses of the control processes in the view, and those of the seeds.
func (s *Server) controlAddresses() []string {
	return append(directory.ControlAddresses(s.view), s.seeds.Addresses()...)
}

// Run serves until the context is cancelled and then waits for its loops. It does not wait for the node, because a stalled disk must
// not prevent the process from ending, nor for calls in progress, which end by their own timeouts.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.self.Address)
	if err != nil {
		return oops.Wrapf(err, "internal_ports")
	}
	go s.node.Run(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { rpc.ServeWithin(listener, s.handle, s.frames) })
	loops.Go(func() { s.sendHeartbeats(ctx) })
	loops.Go(func() { s.watchInSync(ctx) })
	loops.Go(func() { s.loads.run(ctx) })
	loops.Go(func() { periodic.Run(ctx, usageInterval, s.reportUsage) })
	subscriber := &feed.Subscriber{View: s.view, Addresses: s.controlAddresses, OnChange: s.onViewChange}
	subscriber.Run(ctx)
	_ = listener.Close() // the error does not matter: closing only makes Serve return
	loops.Wait()
	return nil
}

// onViewChange applies a change of the view.
func (s *Server) onViewChange(items []feed.Item) {
	s.applyShardMap()
	s.loads.update(items)
}

// handle dispatches a message by its kind. Messages come from gateways, other stores and operators' status commands.
func (s *Server) handle(message rpc.Message) {
	switch message.Kind {
	case multigroup.KindReplica:
		s.node.HandleMessage(message.Payload, s.openShard)
	case KindProgram:
		go s.handleProgram(message)
	case KindRetainedUsage:
		s.handleUsage(message)
	case fleetload.KindReport:
		s.loads.handleReport(message)
	case fleetload.KindPlace:
		s.loads.handlePlace(message)
	case fleetload.KindZoneLoad:
		s.loads.handleZoneLoad(message)
	case timeline.KindTimeline:
		message.Answer(codes.OK, s.timeline.Encode())
	default:
		message.Answer(codes.Malformed, nil)
	}
}
