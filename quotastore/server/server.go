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

// Options selects the server of a cluster that this process runs, and overrides parts of its configuration.
type Options struct {
	Name           string // in the cluster's configuration
	Dir            string // data directory; "": data is lost when the process ends
	PeerAddress    string // listen address for servers and clients; "": as configured
	CounterAddress string // listen address for callers of the counter's protocol; "": as configured
	MemoryBytes    int64  // memory that the process should stay within; 0: the default of 256 MB
}

// Server is one running server of the quota store.
type Server struct {
	log       zerolog.Logger
	storage   *storage
	transport *transport
	counter   *counterListener
	started   time.Time // origin of the node's time
	seed      uint64    // random seed of the node, different in each process

	stopping      chan struct{}           // closed when Run's context is done
	events        chan func()             // for the event loop; events queued before Run wait for it
	writeRequests chan *replication.Ready // for the writer; at most one is in progress

	// Accessed only by the event loop.
	node    *replication.Node
	config  *ClusterConfig
	writing bool // a write is in progress, and the writer owns the storage
}

// eventBacklog is the number of events that may wait for the event loop before connections block.
const eventBacklog = 1024

// New opens a server's storage and its listeners. The caller must call Run next, which closes them. New returns an
// *UnknownMemberError for a name that is not configured, ErrInUse if another process uses the data directory, and an error
// that wraps statemachine.ErrNewerVersion if a newer build wrote the data.
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
		log:           log.With().Str("server", options.Name).Logger(),
		config:        config,
		started:       time.Now(),
		seed:          seed,
		stopping:      make(chan struct{}),
		events:        make(chan func(), eventBacklog),
		writeRequests: make(chan *replication.Ready, 1),
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

// prepare creates the node from the stored state and opens the listeners. If it fails, the caller closes the storage.
func (s *Server) prepare(number int, options Options, saved map[int]*replication.PersistentState) (err error) {
	if s.storage.corruption != nil {
		s.log.Error().Str("reason", s.storage.corruption.Error()).Msg("stored data is corrupt; starting empty in a new incarnation")
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
	if s.transport, err = newTransport(s, number, peerAddress, options.MemoryBytes); err != nil {
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

// Run serves until the context is done or the server fails. When it returns, all goroutines have ended and all files and
// connections are closed. It returns nil if the context ended it. It may be called only once.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() { close(s.stopping) })
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

// Reconfigure applies a configuration in which servers were added or marked as leaving. An invalid configuration is logged, and
// the server keeps its current one. If Run has not been called yet, the configuration is applied once Run starts.
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
