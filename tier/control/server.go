package control

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/groups"
	"otterseam/tier/membership"
	"otterseam/tier/periodic"
	"otterseam/tier/register"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
)

const (
	superviseEvery = 50 * time.Millisecond
	submitTimeout  = 850 * time.Millisecond
	freshFor       = 800 // milliseconds
	locateEvery    = 200 // milliseconds
	// controlBytesKept bounds the changes kept in memory for members that lag: 80 configurations of 100 KB.
	controlBytesKept = 8 << 20
)

// Server is a control process.
type Server struct {
	settings  *settings.Settings
	seeds     *settings.Seeds
	log       *logrus.Entry
	host      *groups.Host
	elector   *Elector
	state     *State
	publisher *feed.Publisher
	clients   *rpc.Clients
	primary   *controlclient.Client
	sessions  *Sessions
	self      register.Member
	startedAt int64

	beatHere      []byte // the answer to a heartbeat that asks the host to stay here
	beatElsewhere []byte // the answer that leaves it the choice

	locatedAt int64 // of the supervising goroutine

	mu       sync.Mutex
	seen     *membership.Sightings
	leaving  bool
	heard    map[string]bool // hosts heard since the primary was told
	leading  uint64          // the epoch for which sessions were begun
	ledSince int64
}

// New opens the state of a control process.
func New(s *settings.Settings, log *logrus.Entry) (*Server, error) {
	required := map[string]string{"data_dir": s.DataDir, "listen.control": s.ListenControl}
	if err := settings.Require(required); err != nil {
		return nil, err
	}
	clients := rpc.NewClients(nil)
	host, err := groups.Open(s.DataDir, clients, log, true)
	if err != nil {
		return nil, err
	}
	server := &Server{
		settings:  s,
		seeds:     settings.NewSeeds(s),
		log:       log,
		host:      host,
		state:     NewState(),
		clients:   clients,
		sessions:  newSessions(),
		self:      register.Member{ID: host.Identity, Address: s.ControlAddress(), Node: s.Node},
		startedAt: groups.Now(),
		seen:      membership.NewSightings(),
		heard:     map[string]bool{},

		beatHere:      []byte(`{"beat_target":"` + s.ListenControl + `"}`),
		beatElsewhere: []byte(`{}`),
	}
	server.publisher = &feed.Publisher{View: server.state.View, Fresh: server.fresh}
	server.primary = controlclient.New(clients, server.otherAddresses)
	if server.elector, err = newElector(host, clients, server.self.Address, membership.Policy{Tolerate: s.TolerateMachine}, log); err != nil {
		return nil, err
	}
	if err := host.OpenGroup(controlGroup, server.state, replica.Options{EagerCommit: true, BytesKept: controlBytesKept}); err != nil {
		return nil, err
	}
	server.elector.Learn(register.Record{})
	return server, nil
}

// otherAddresses lists where other control processes may be.
func (s *Server) otherAddresses() []string {
	var addresses []string
	for _, member := range s.elector.Known().Members {
		addresses = append(addresses, member.Address)
	}
	for _, seed := range s.seeds.Addresses() {
		if !containsText(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func containsText(list []string, text string) bool {
	for _, each := range list {
		if each == text {
			return true
		}
	}
	return false
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
	go s.adjustReplicas(ctx)
	return s.serveHTTP(ctx)
}

// Supervise founds, takes over, repairs and places until the context ends.
func (s *Server) Supervise(ctx context.Context) {
	periodic.Run(ctx, superviseEvery, func() {
		s.sessions.Tick()
		if !s.host.IsPrimary(controlGroup) {
			s.endLeading()
		}
		switch {
		case !s.elector.Known().Known():
			s.findOrFound(ctx)
		case s.host.IsPrimary(controlGroup):
			s.lead(ctx)
		default:
			s.watchPrimary(ctx)
		}
	})
}

// fresh tells whether the state served to subscribers may be relied upon.
func (s *Server) fresh() bool {
	fresh := false
	s.host.With(controlGroup, func(g *replica.Group) {
		now := groups.Now()
		if g.IsPrimary() {
			fresh = g.IsReady() && g.HeardWithin(now, freshFor) > len(g.View().Replicas)/2
			return
		}
		fresh = g.View().Primary != 0 && now-g.PrimaryHeard() < freshFor
	})
	return fresh
}

// locate asks all control processes known who they are and what they know.
func (s *Server) locate(ctx context.Context) {
	s.locatedAt = groups.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, address := range s.otherAddresses() {
		if address == s.self.Address {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			asked := groups.Now()
			answer, err := s.clients.To(address).Call(call, controlclient.KindLocate, nil)
			if err != nil {
				return
			}
			d := codec.NewDecoder(answer)
			there := register.Member{ID: d.Uint64(), Address: address, Node: d.String()}
			record := register.DecodeRecord(d)
			if d.Err() == nil {
				s.elector.Learn(record)
				s.noteAnswered(there, asked)
			}
		}()
	}
	wait.Wait()
}

const foundAfter = 700 // milliseconds that a founder waits for all seeds

// findOrFound looks for an installation, or founds it where the settings say that there is none.
func (s *Server) findOrFound(ctx context.Context) {
	s.locate(ctx)
	seeds := s.settings.SeedAddresses()
	if s.elector.Known().Known() || !s.settings.Bootstrap || !containsText(seeds, s.self.Address) {
		return
	}
	members := []register.Member{s.self}
	for _, seed := range seeds {
		if found, answered := s.seenAt(seed); answered && seed != s.self.Address {
			members = append(members, found)
		}
	}
	complete := len(members) == len(seeds)
	waited := groups.Now()-s.startedAt > foundAfter
	first := s.self.Address == firstOf(seeds)
	if len(members) <= len(seeds)/2 || (!complete && !waited) || (!first && !waited) {
		return
	}
	if err := s.elector.Found(ctx, members); err != nil {
		s.log.WithError(err).Warn("founding did not succeed; trying again")
	}
}

func firstOf(addresses []string) string {
	first := ""
	for _, address := range addresses {
		if first == "" || address < first {
			first = address
		}
	}
	return first
}

// watchPrimary takes over when the primary has been silent for too long.
func (s *Server) watchPrimary(ctx context.Context) {
	known := s.elector.Known()
	if !known.IsInSync(s.self.ID) {
		if groups.Now()-s.locatedAt > locateEvery {
			s.locate(ctx)
		}
		return
	}
	heard := int64(0)
	leads := false
	s.host.With(controlGroup, func(g *replica.Group) {
		heard = g.PrimaryHeard()
		leads = g.IsPrimary()
	})
	if leads {
		return // it waits for a replica, which will answer, be dropped, or tell that the epoch has passed
	}
	heard = max(heard, s.startedAt)
	silence := groups.Now() - heard
	if known.Primary == s.self.ID {
		if s.elector.hasLed() && silence < suspectAfter {
			return
		}
		s.takeOver(ctx, prepareBySelf, known.Epoch)
		return
	}
	wait := int64(suspectAfter + rank(known, s.self.ID)*suspectRankStep + rand.IntN(suspectRankStep))
	if silence > wait {
		s.takeOver(ctx, prepareOnSilence, known.Epoch)
	}
}

// rank is a replica's place among those that may follow the primary.
func rank(record register.Record, id uint64) int {
	place := 0
	for _, each := range record.InSync {
		if each == id {
			return place
		}
		if each != record.Primary {
			place++
		}
	}
	return place
}

func (s *Server) takeOver(ctx context.Context, mode prepareMode, epoch uint64) {
	if mode != prepareOnTransfer {
		s.locate(ctx)
	}
	if s.elector.Known().Epoch != epoch {
		return
	}
	if err := s.elector.TakeOver(ctx, mode, epoch, s.lost); err != nil {
		s.log.WithField("epoch", epoch).WithError(err).Info("takeover did not succeed")
	}
}

// beat keeps this process's session with the primary.
func (s *Server) beat(ctx context.Context) {
	const every = 200 * time.Millisecond
	for ctx.Err() == nil {
		if s.leadsControl() {
			s.sessions.HeardControl(s.self, s.isLeaving())
		} else if s.elector.Known().Known() {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			answer, err := s.primary.Call(call, controlclient.KindControlBeat, s.controlBeatMessage())
			cancel()
			if err == nil {
				s.elector.Learn(register.DecodeRecord(codec.NewDecoder(answer)))
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

// submit has a command carried out by the primary, wherever it is.
func (s *Server) submit(ctx context.Context, command Command) (Result, error) {
	encoded := command.Encode()
	result, err := s.submitHere(ctx, encoded)
	if err != codes.NotPrimary {
		return result, err
	}
	answer, err := s.primary.Call(ctx, controlclient.KindSubmit, encoded)
	code, isCode := err.(codes.Code)
	if err != nil && (!isCode || code == codes.Timeout) {
		return Result{}, codes.Timeout
	}
	return Result{Code: code, Body: answer}, nil
}

func (s *Server) submitHere(ctx context.Context, encoded []byte) (Result, error) {
	call, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	got, err := s.host.Submit(call, controlGroup, encoded)
	if err != nil {
		return Result{}, err
	}
	return got.(Result), nil
}

// primaryAddress is where the primary is believed to be, as a hint for callers.
func (s *Server) primaryAddress() string {
	primary := uint64(0)
	s.host.With(controlGroup, func(g *replica.Group) { primary = g.View().Primary })
	if primary == s.self.ID && !s.host.IsPrimary(controlGroup) {
		return ""
	}
	if member, known := s.elector.Known().Member(primary); known {
		return member.Address
	}
	return ""
}

// handle takes messages of other processes.
func (s *Server) handle(message rpc.Message) {
	switch message.Kind {
	case groups.KindReplica:
		s.host.HandleMessage(message.Payload, nil)
	case feed.KindSubscribe:
		s.publisher.Handle(message)
	case controlclient.KindLocate:
		s.answerLocate(message)
	case controlclient.KindPrepare:
		go s.elector.handlePrepare(message)
	case controlclient.KindAccept:
		go s.elector.handleAccept(message)
	case KindTakeOver:
		go s.answerTakeOver(message)
	case controlclient.KindControlBeat:
		go s.answerControlBeat(message)
	default:
		go s.handleAsPrimary(message)
	}
}

func (s *Server) answerLocate(message rpc.Message) {
	var e codec.Encoder
	e.Uint64(s.self.ID)
	e.String(s.self.Node)
	register.EncodeRecord(&e, s.elector.Known())
	message.Answer(codes.OK, e.Bytes)
}

// handleAsPrimary takes what only the primary may decide.
func (s *Server) handleAsPrimary(message rpc.Message) {
	if !s.host.IsPrimary(controlGroup) {
		message.Answer(codes.NotPrimary, []byte(s.primaryAddress()))
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

func (s *Server) decide(ctx context.Context, message rpc.Message) (Result, error) {
	switch message.Kind {
	case controlclient.KindSubmit:
		return s.submitHere(ctx, message.Payload)
	case controlclient.KindStoreBeat:
		return s.storeBeat(ctx, message.Payload)
	case controlclient.KindShardChange:
		return s.shardChange(ctx, message.Payload)
	case controlclient.KindHostBeat:
		beat, err := controlclient.DecodeHostBeat(message.Payload)
		if err != nil {
			return Result{}, err
		}
		return s.hostBeat(ctx, beat)
	case controlclient.KindHostsHeard:
		return s.hostsHeard(message.Payload)
	case controlclient.KindHostGone:
		return s.hostGone(ctx, string(message.Payload), true)
	case controlclient.KindRetireRead:
		return s.retireState(ctx, string(message.Payload))
	default:
		return Result{}, codes.Malformed
	}
}

// storeBeat keeps a store's session, and registers a store that is new or was started again.
func (s *Server) storeBeat(ctx context.Context, payload []byte) (Result, error) {
	beat, err := controlclient.DecodeStoreBeat(payload)
	if err != nil {
		return Result{}, err
	}
	s.sessions.HeardStore(beat)
	held, known := s.state.View.Get(feed.SectionStore, directory.StoreKey(beat.Store.Identity))
	if known && bytes.Equal(held, beat.Store.Encode()) {
		return Result{}, nil
	}
	return s.submitHere(ctx, Command{Kind: CommandPutStore, Store: beat.Store}.Encode())
}

// hostBeat keeps a host's session; only what changed is replicated.
func (s *Server) hostBeat(ctx context.Context, beat controlclient.HostBeat) (Result, error) {
	s.sessions.HeardHost(beat.Host.ID)
	held, known := s.state.Host(beat.Host.ID)
	if known && held == beat.Host {
		return Result{}, nil
	}
	return s.submitHere(ctx, Command{Kind: CommandPutHost, Host: beat.Host, Seq: beat.Seq}.Encode())
}

// hostGone removes a host. One that deregistered never comes back, whatever heartbeats of its arrive late.
func (s *Server) hostGone(ctx context.Context, id string, deregistered bool) (Result, error) {
	s.sessions.ForgetHost(id)
	if _, known := s.state.Host(id); !known && !deregistered {
		return Result{}, nil
	}
	return s.submitHere(ctx, Command{Kind: CommandRemoveHost, Key: id, Final: deregistered}.Encode())
}

// shardChange takes a replica into a shard's in-sync set, or out of it, for the shard's primary.
func (s *Server) shardChange(ctx context.Context, payload []byte) (Result, error) {
	change, err := controlclient.DecodeShardChange(payload)
	if err != nil {
		return Result{}, err
	}
	shard, known := directory.Shards(s.state.View)[change.Shard]
	if !known || shard.View.Epoch != change.Epoch {
		return Result{Code: codes.HostStale}, nil
	}
	next, allowed := s.cluster().Change(shard, change.Replica, change.Admit)
	if !allowed {
		return Result{Code: codes.Unavailable}, nil
	}
	return s.submitHere(ctx, Command{Kind: CommandPutShard, Epoch: change.Epoch, Shard: next}.Encode())
}
