// Package server carries out what a keeper decides (package keep): streams to other keepers, the door for whoever counts,
// and the disk. One goroutine owns the deciding core and reaches the disk; sockets reach it by its queue only. It must never
// decide anything, nor let a word out that rests on what is not written yet.
package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/quotastore/replication"
)

// Spot is one keeper of an installation's list.
type ServerConfig struct {
	Name           string `json:"name"`
	PeerAddress    string `json:"peer"` // where keepers, api gateways and commands reach it
	CounterAddress string `json:"door"` // where whoever counts reaches it
	Zone           string `json:"zone"`
	Leaving        bool   `json:"leaving"` // it is to hold nothing any more
}

// List is an installation's file: the same at every keeper, but for the addresses by which each reaches the others.
type ClusterConfig struct {
	Groups        int            `json:"groups"`  // parts into which names are spread; fixed at the founding
	Replicas      int            `json:"copies"`  // keepers that hold each part: 3 or 5
	ReplaceAfter  float64        `json:"lost"`    // seconds after which a silent keeper's part is copied to another; 30 where it isn't given
	SnapshotRate  float64        `json:"rate"`    // bytes a second at which parts are copied to one keeper; 4000000 where it isn't given
	MaxLogEntries int            `json:"log"`     // entries of a part's log after which a snapshot takes their place; 4096 where it isn't given
	Servers       []ServerConfig `json:"keepers"` // new ones come at the end; none is taken off
}

// ReadList reads an installation's file.
func ReadClusterConfig(path string) (*ClusterConfig, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("keepers' list: %w", err)
	}
	defer f.Close()
	l := &ClusterConfig{Groups: 16, Replicas: 3, ReplaceAfter: 30, SnapshotRate: 4e6, MaxLogEntries: 4096}
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(l); err != nil {
		return nil, fmt.Errorf("keepers' list %s: %w", path, err)
	}
	bad := func(form string, args ...any) (*ClusterConfig, error) {
		return nil, fmt.Errorf("keepers' list %s: %s", path, fmt.Sprintf(form, args...))
	}
	if l.Groups < 1 || l.Groups > 256 {
		return bad("groups is %d; 1 to 256 are wanted", l.Groups)
	}
	if l.Replicas != 1 && l.Replicas != 3 && l.Replicas != 5 {
		return bad("copies is %d; 3 or 5 are wanted (1 keeps nothing safe)", l.Replicas)
	}
	if l.ReplaceAfter < 1 || l.ReplaceAfter > 86400 || l.SnapshotRate < 1e4 || l.MaxLogEntries < 64 || l.MaxLogEntries > 1<<20 {
		return bad("lost is from 1 to 86400 s, rate at least 10000 bytes a second, log from 64 to 1048576 entries")
	}
	if len(l.Servers) < l.Replicas || len(l.Servers) > 100 {
		return bad("%d keepers are listed; %d to 100 are wanted", len(l.Servers), l.Replicas)
	}
	seen := map[string]bool{}
	for i, k := range l.Servers {
		if k.Name == "" || seen[k.Name] {
			return bad("keeper %d: its name %q is empty or comes twice", i, k.Name)
		}
		seen[k.Name] = true
		for _, a := range []string{k.PeerAddress, k.CounterAddress} {
			if _, _, err := net.SplitHostPort(a); err != nil {
				return bad("keeper %s: address %q: %v", k.Name, a, err)
			}
		}
	}
	return l, nil
}

func (l *ClusterConfig) peers() (all []replication.Peer) {
	for _, k := range l.Servers {
		all = append(all, replication.Peer{Name: k.Name, Zone: k.Zone, Draining: k.Leaving})
	}
	return all
}

// Number is a keeper's place in the list; -1: it isn't in it.
func (l *ClusterConfig) IndexOf(name string) int {
	for i, k := range l.Servers {
		if k.Name == name {
			return i
		}
	}
	return -1
}

func (l *ClusterConfig) replicationConfig() replication.Config {
	return replication.Config{Groups: l.Groups, Replicas: l.Replicas, MaxLogEntries: l.MaxLogEntries, SnapshotRate: l.SnapshotRate, ReplaceAfter: l.ReplaceAfter}
}

// Place is where one keeper runs.
type Options struct {
	Name                        string
	Dir                         string // "": without a disk
	PeerAddress, CounterAddress string // where it listens; "": as the list says
}

// Keeper is a running keeper.
type Server struct {
	ctx       context.Context
	log       zerolog.Logger
	config    *ClusterConfig
	node      *replication.Node
	storage   *storage
	events    chan func()
	transport *transport
	base      time.Time
	seed      uint64
	failed    error
	counter   *counterListener
	writes    chan *replication.Ready
	writing   bool // of the loop alone
}

// New opens what a keeper held and its listeners. Run lets it work.
func New(l *ClusterConfig, p Options, log zerolog.Logger) (*Server, error) {
	me := l.IndexOf(p.Name)
	if me < 0 {
		return nil, fmt.Errorf("keeper %q is not in the list", p.Name)
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	k := &Server{log: log.With().Str("keeper", p.Name).Logger(), config: l, events: make(chan func(), 1024), writes: make(chan *replication.Ready, 1), base: time.Now(), seed: binary.BigEndian.Uint64(b[:])}
	var saved map[int]*replication.PersistentState
	var err error
	if k.storage, saved, err = openStorage(p.Dir, k.base); err != nil {
		return nil, err
	}
	if k.storage.discarded != "" {
		k.log.Error().Str("why", k.storage.discarded).Msg("what was held on this disk can't be trusted: it begins anew, as one that lost it")
	}
	id := k.storage.Identity()
	if k.node, err = replication.New(me, id.incarnation, id.cluster, l.peers(), l.replicationConfig(), k.seed, saved); err != nil {
		k.storage.close()
		return nil, err
	}
	peer, door := l.Servers[me].PeerAddress, l.Servers[me].CounterAddress
	if p.PeerAddress != "" {
		peer = p.PeerAddress
	}
	if p.CounterAddress != "" {
		door = p.CounterAddress
	}
	if k.transport, err = newStreams(k, me, peer); err != nil {
		k.storage.close()
		return nil, err
	}
	if k.counter, err = newDoors(k, door); err != nil {
		k.transport.listener.Close()
		k.storage.close()
		return nil, err
	}
	k.log.Info().Int("number", me).Str("life", fmt.Sprintf("%08x", id.incarnation)).Bool("disk", k.storage.persistent()).Int("groups_held", len(saved)).
		Str("peer", peer).Str("door", door).Msg("up")
	return k, nil
}

// now is the process's monotonic time, in seconds.
func (k *Server) now() float64 { return time.Since(k.base).Seconds() }

// tell puts one thing on the queue; false: the keeper is ending.
func (k *Server) enqueue(what func()) bool {
	select {
	case k.events <- what:
		return true
	case <-k.ctx.Done():
		return false
	}
}

// Run lets it work until the context ends, or it can't go on.
func (k *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	k.ctx = ctx
	k.transport.run(ctx, group)
	k.counter.run(ctx, group)
	group.Go(func() error { return k.loop(ctx) })
	group.Go(func() error { return k.write(ctx) })
	err := group.Wait()
	k.storage.close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// write is the disk's goroutine: one commit after another, each with all that came during the one before.
func (k *Server) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-k.writes:
			if err := k.storage.write(w.Writes); err != nil {
				return fmt.Errorf("what was to be kept could not be written, and nothing that rests on it was said: %w", err)
			}
			k.enqueue(func() {
				k.writing = false
				k.node.Advance(w)
			})
		}
	}
}

const tick = 20 * time.Millisecond

func (k *Server) loop(ctx context.Context) error {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case what := <-k.events:
			what()
			for n := len(k.events); n > 0; n-- {
				(<-k.events)()
			}
		case <-timer.C:
		}
		if now := time.Now(); now.Sub(last) >= tick {
			last = now
			k.node.Tick(k.now())
		}
		if err := k.flush(); err != nil {
			return err
		}
	}
}

// flush has written what has to be written, and lets out what rests on what is. While the disk is busy all else goes on.
func (k *Server) flush() error {
	for !k.writing {
		w := k.node.Ready()
		if w == nil {
			break
		}
		if k.storage.persistent() && len(w.Writes) > 0 {
			k.writing = true
			k.writes <- w // always has room: one is out at a time
			break
		}
		k.node.Advance(w)
		if err := k.node.Err(); err != nil {
			return err
		}
	}
	k.post() // a leader's own messages need not wait for its disk
	if c := k.node.Cluster(); c != 0 && !k.writing {
		if err := k.storage.setCluster(c); err != nil {
			return fmt.Errorf("the installation's number could not be written: %w", err)
		}
	}
	for _, line := range k.node.TakeLogLines() {
		k.log.Info().Msg(line)
	}
	k.counter.flush()
	return errors.Join(k.failed, k.node.Err())
}

func (k *Server) post() {
	for _, l := range k.node.TakeMessages() {
		k.transport.send(l)
	}
}

// Take takes up a list to which keepers were added, or in which some are to leave.
func (k *Server) Reconfigure(l *ClusterConfig) {
	k.enqueue(func() {
		if l.Groups != k.config.Groups || l.Replicas != k.config.Replicas {
			k.log.Error().Msg("new list not taken up: groups and copies are fixed at the founding")
			return
		}
		if err := k.node.SetPeers(k.now(), l.peers(), k.seed); err != nil {
			k.log.Error().Err(err).Msg("new list not taken up")
			return
		}
		k.config = l
		k.transport.reach(l)
		k.log.Info().Int("keepers", len(l.Servers)).Msg("new list")
	})
}
