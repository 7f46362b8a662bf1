package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/quotastore/replication"
)

// Options say which server of a cluster runs here, and how.
type Options struct {
	Name           string // in the cluster's configuration
	Dir            string // where it keeps its data; "": nothing outlives the process
	PeerAddress    string // where it listens for servers and clients; "": as the configuration says
	CounterAddress string // where it listens for callers of the counter's protocol; "": as the configuration says
}

// Server is one running server of the quota store.
type Server struct {
	log       zerolog.Logger
	storage   *storage
	transport *transport
	counter   *counterListener
	started   time.Time // the zero of the time that the node is told
	seed      uint64    // another one in each process

	ended       chan struct{}           // closed when Run's context has ended
	events      chan func()             // for the event loop; what comes before Run waits for it
	writeOrders chan *replication.Ready // for the writer; one at most is under way

	// Of the event loop alone.
	node    *replication.Node
	config  *ClusterConfig
	writing bool // a write is under way, and the storage is the writer's
}

// eventBacklog is how many events wait for the event loop before connections are held up.
const eventBacklog = 1024

// New opens a server's storage and its listeners. Run has to be called next: it closes them. It returns an
// *UnknownMemberError for a name that is not configured, ErrInUse if another process uses the directory, and an error that
// is statemachine.ErrNewerVersion if a newer build wrote the data.
func New(config *ClusterConfig, options Options, log zerolog.Logger) (*Server, error) {
	number := config.IndexOf(options.Name)
	if number < 0 {
		return nil, &UnknownMemberError{Name: options.Name}
	}
	seed, err := randomUint64()
	if err != nil {
		return nil, err
	}
	s := &Server{
		log:         log.With().Str("server", options.Name).Logger(),
		config:      config,
		started:     time.Now(),
		seed:        seed,
		ended:       make(chan struct{}),
		events:      make(chan func(), eventBacklog),
		writeOrders: make(chan *replication.Ready, 1),
	}
	var saved map[int]*replication.PersistentState
	if s.storage, saved, err = openStorage(options.Dir, s.started); err != nil {
		return nil, err
	}
	if err := s.prepare(number, options, saved); err != nil {
		s.storage.close()
		return nil, err
	}
	return s, nil
}

// prepare makes the node of what was stored, and opens the listeners. The caller closes the storage if it fails.
func (s *Server) prepare(number int, options Options, saved map[int]*replication.PersistentState) (err error) {
	if s.storage.discarded != nil {
		s.log.Error().Str("reason", s.storage.discarded.Error()).Msg("stored data is corrupt: starting empty, in a new incarnation")
	}
	id := s.storage.identity()
	s.node, err = replication.New(number, id.incarnation, id.cluster, s.config.peers(), s.config.replicationConfig(), s.seed, saved)
	if err != nil {
		return err
	}
	peerAddress, counterAddress := s.config.Members[number].PeerAddress, s.config.Members[number].CounterAddress
	if options.PeerAddress != "" {
		peerAddress = options.PeerAddress
	}
	if options.CounterAddress != "" {
		counterAddress = options.CounterAddress
	}
	if s.transport, err = newTransport(s, number, peerAddress); err != nil {
		return err
	}
	if s.counter, err = newCounterListener(s, counterAddress); err != nil {
		s.transport.listener.Close()
		return err
	}
	s.log.Info().
		Int("number", number).
		Str("incarnation", fmt.Sprintf("%08x", id.incarnation)).
		Bool("persistent", s.storage.persistent()).
		Int("groups", len(saved)).
		Str("peer_address", peerAddress).
		Str("counter_address", counterAddress).
		Msg("started")
	return nil
}

func randomUint64() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

// Run serves until the context ends, or until the server can't go on. All its goroutines have ended and all its files and
// connections are closed when it returns. It returns nil if the context ended it. It may be called once.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() { close(s.ended) })
	s.transport.start(ctx, group)
	s.counter.start(ctx, group)
	group.Go(func() error { return s.runEventLoop(ctx) })
	group.Go(func() error { return s.runWriter(ctx) })
	err := group.Wait()
	s.storage.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Reconfigure takes up a configuration to which servers were added, or in which some are to leave. One that can't be taken up
// is logged, and the server goes on with the one it has. Before Run it waits for it.
func (s *Server) Reconfigure(config *ClusterConfig) {
	s.enqueue(func() {
		if config.Groups != s.config.Groups || config.Replicas != s.config.Replicas {
			s.log.Error().Msg("configuration rejected: groups and copies are fixed at bootstrap")
			return
		}
		if err := s.node.SetPeers(s.now(), config.peers(), s.seed); err != nil {
			s.log.Error().Err(err).Msg("configuration rejected")
			return
		}
		s.config = config
		s.transport.setPeers(config)
		s.log.Info().Int("servers", len(config.Members)).Msg("configuration reloaded")
	})
}
