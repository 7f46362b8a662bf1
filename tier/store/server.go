// Package store is the process that holds shards of agent programs on a storage machine. It leads the shards that control
// gives it and backs up others.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/lease"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/placement"
	"otterseam/tier/programs"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

// KindProgram is a call with a shard number and a command of package programs.
const KindProgram rpc.Kind = 40

const (
	beatEvery     = lease.StoreHeartbeatInterval * time.Millisecond
	beatTimeout   = 500 * time.Millisecond
	watchEvery    = 60 * time.Millisecond
	submitTimeout = 1500 * time.Millisecond
)

// Server is a store process.
type Server struct {
	settings *settings.Settings
	log      *logrus.Entry
	host     *multigroup.Node
	clients  *rpc.Clients
	control  *controlclient.Client
	view     *feed.View
	seeds    *settings.Seeds
	self     directory.Store
	timeline *timeline.Timeline

	mu      sync.Mutex
	leaving bool
	asking  map[uint32]bool // shards with a change of their in-sync set under way
}

// New opens the state of a store process.
func New(s *settings.Settings, log *logrus.Entry) (*Server, error) {
	if err := settings.Require(map[string]string{"data_dir": s.DataDir, "seeds": strings.Join(s.Seeds, ",")}); err != nil {
		return nil, err
	}
	line := timeline.New(log)
	clients := rpc.NewClients(nil)
	host, err := multigroup.Open(s.DataDir, clients, log, false)
	if err != nil {
		return nil, err
	}
	line.Reach(timeline.DiskRead)
	server := &Server{
		settings: s,
		log:      log,
		host:     host,
		clients:  clients,
		view:     feed.NewView(),
		seeds:    settings.NewSeeds(s),
		asking:   map[uint32]bool{},
		timeline: line,
		self: directory.Store{
			Identity: host.Identity, Incarnation: rand.Uint64(), Node: s.Node, Address: s.StoreAddress(), Zone: s.Zone,
		},
	}
	server.view.SetClusterID(host.ClusterID())
	server.control = controlclient.New(clients, server.controlAddresses)
	for _, id := range host.UnopenedGroups() {
		server.openShard(id)
	}
	return server, nil
}

// controlAddresses lists the control processes: those that the view names, and the seeds.
func (s *Server) controlAddresses() []string {
	return append(directory.ControlAddresses(s.view), s.seeds.Addresses()...)
}

func (s *Server) openShard(id uint32) {
	if err := s.host.OpenGroup(id, programs.NewState(), replica.Options{}); err != nil {
		s.log.WithField("shard", id).WithError(err).Error("shard cannot be opened")
	}
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
	go s.watch(ctx)
	subscriber := &feed.Subscriber{View: s.view, Addresses: s.controlAddresses, OnChange: func([]feed.Item) { s.follow() }}
	subscriber.Run(ctx)
	return nil
}

func (s *Server) handle(message rpc.Message) {
	switch message.Kind {
	case multigroup.KindReplica:
		s.host.HandleMessage(message.Payload, s.openShard)
	case KindProgram:
		go s.program(message)
	case timeline.KindTimeline:
		message.Answer(codes.OK, s.timeline.Encode())
	default:
		message.Answer(codes.Malformed, nil)
	}
}

// program carries out a command on the shard that it names, if this process leads it.
func (s *Server) program(message rpc.Message) {
	d := codec.NewDecoder(message.Payload)
	shard := d.Uint32()
	command := d.Rest()
	if d.Err() != nil || !programs.IsCommand(command) {
		message.Answer(codes.Malformed, nil)
		return
	}
	programs.Stamp(command, time.Now().UnixMilli())
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	got, err := s.host.Submit(ctx, shard, command)
	if err != nil {
		var code codes.Code
		if !errors.As(err, &code) {
			code = codes.Unavailable
		}
		message.Answer(code, nil)
		return
	}
	s.timeline.Reach(timeline.ShardLed)
	result := got.(programs.Result)
	message.Answer(result.Code, result.Encode())
}

// follow acts on the shard map: it opens and drops shards and tells the groups their views.
func (s *Server) follow() {
	s.timeline.Reach(timeline.ViewReceived)
	if !s.host.BindCluster(s.view.ClusterID()) {
		return
	}
	for _, store := range directory.Stores(s.view) {
		s.host.SetAddress(store.Identity, store.Address)
	}
	for id, shard := range directory.Shards(s.view) {
		switch {
		case slices.Contains(shard.View.Replicas, s.self.Identity):
			s.hold(id, shard)
		case s.host.HasGroup(id):
			s.release(id, shard)
		}
	}
}

func (s *Server) hold(id uint32, shard directory.Shard) {
	if !s.host.HasGroup(id) {
		s.openShard(id)
	}
	if shard.View.Primary == s.self.Identity && shard.PrimaryIncarnation != s.self.Incarnation {
		return // it names an earlier life of this process
	}
	s.host.SetView(id, shard.View)
}

// release drops a shard that has moved away.
func (s *Server) release(id uint32, shard directory.Shard) {
	dropped := false
	s.host.WithGroup(id, func(g *replica.Group) { dropped = shard.View.Epoch >= g.View().Epoch })
	if dropped {
		s.host.DropGroup(id)
	}
}

// beat keeps the session with control.
func (s *Server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, beatTimeout)
		var err error
		if s.knowsInstallation() {
			_, err = s.control.Call(call, controlclient.KindStoreHeartbeat, s.beatMessage())
		}
		cancel()
		if err != nil {
			s.log.WithError(err).Debug("heartbeat to control failed")
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

// knowsInstallation tells whether the control processes reached are of the installation of this disk: one that belongs to an
// installation reports only once it was given a view of it.
func (s *Server) knowsInstallation() bool {
	return s.host.ClusterID() == 0 || s.view.Revision() > 0
}

func (s *Server) beatMessage() []byte {
	troubled := s.host.DiskDegraded() // others lead its shards until its disk works again
	s.mu.Lock()
	defer s.mu.Unlock()
	return controlclient.StoreHeartbeat{Store: s.self, Leaving: s.leaving || troubled}.Encode()
}

// watch asks control to change the in-sync sets of shards led here: silent replicas out, those that caught up in.
func (s *Server) watch(ctx context.Context) {
	periodic.Run(ctx, watchEvery, func() {
		for _, shard := range placement.LeastProtectedFirst(directory.Shards(s.view)) {
			s.watchShard(ctx, shard.ID)
		}
	})
}

func (s *Server) watchShard(ctx context.Context, id uint32) {
	s.mu.Lock()
	busy := s.asking[id]
	s.mu.Unlock()
	if busy {
		return
	}
	change, wanted := s.neededChange(id)
	if !wanted {
		return
	}
	s.mu.Lock()
	s.asking[id] = true
	s.mu.Unlock()
	go s.askChange(ctx, change)
}

// neededChange tells which change of a shard's in-sync set its primary wants. A replica to be taken in counts from this moment
// on, in the same step in which it was found to have caught up.
func (s *Server) neededChange(id uint32) (change controlclient.InSyncChange, wanted bool) {
	s.host.WithGroup(id, func(g *replica.Group) {
		change = controlclient.InSyncChange{Shard: id, Epoch: g.View().Epoch}
		// one that caught up comes first: the set may be too small to let a silent one go without it
		if caughtUp := g.CaughtUp(multigroup.Now()); len(caughtUp) > 0 {
			g.Admit(caughtUp[0])
			change.Replica = caughtUp[0]
			change.Admit = true
			wanted = true
			return
		}
		if silent := g.Unresponsive(multigroup.Now()); len(silent) > 0 {
			change.Replica = silent[0]
			wanted = true
		}
	})
	return change, wanted
}

func (s *Server) askChange(ctx context.Context, change controlclient.InSyncChange) {
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	_, err := s.control.Call(call, controlclient.KindInSyncChange, change.Encode())
	cancel()
	if err != nil {
		s.log.WithFields(logrus.Fields{"shard": change.Shard, "admit": change.Admit}).WithError(err).Debug("change of in-sync set refused")
	}
	time.Sleep(watchEvery)
	s.mu.Lock()
	delete(s.asking, change.Shard)
	s.mu.Unlock()
}
