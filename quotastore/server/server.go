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
type Spot struct {
	Name    string `json:"name"`
	Peer    string `json:"peer"` // where keepers, api gateways and commands reach it
	Door    string `json:"door"` // where whoever counts reaches it
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"` // it is to hold nothing any more
}

// List is an installation's file: the same at every keeper, but for the addresses by which each reaches the others.
type List struct {
	Groups  int     `json:"groups"`  // parts into which names are spread; fixed at the founding
	Copies  int     `json:"copies"`  // keepers that hold each part: 3 or 5
	Lost    float64 `json:"lost"`    // seconds after which a silent keeper's part is copied to another; 30 where it isn't given
	Rate    float64 `json:"rate"`    // bytes a second at which parts are copied to one keeper; 4000000 where it isn't given
	Log     int     `json:"log"`     // entries of a part's log after which a snapshot takes their place; 4096 where it isn't given
	Keepers []Spot  `json:"keepers"` // new ones come at the end; none is taken off
}

// ReadList reads an installation's file.
func ReadList(path string) (*List, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("keepers' list: %w", err)
	}
	defer f.Close()
	l := &List{Groups: 16, Copies: 3, Lost: 30, Rate: 4e6, Log: 4096}
	d := json.NewDecoder(f)
	d.DisallowUnknownFields()
	if err := d.Decode(l); err != nil {
		return nil, fmt.Errorf("keepers' list %s: %w", path, err)
	}
	bad := func(form string, args ...any) (*List, error) {
		return nil, fmt.Errorf("keepers' list %s: %s", path, fmt.Sprintf(form, args...))
	}
	if l.Groups < 1 || l.Groups > 256 {
		return bad("groups is %d; 1 to 256 are wanted", l.Groups)
	}
	if l.Copies != 1 && l.Copies != 3 && l.Copies != 5 {
		return bad("copies is %d; 3 or 5 are wanted (1 keeps nothing safe)", l.Copies)
	}
	if l.Lost < 1 || l.Lost > 86400 || l.Rate < 1e4 || l.Log < 64 || l.Log > 1<<20 {
		return bad("lost is from 1 to 86400 s, rate at least 10000 bytes a second, log from 64 to 1048576 entries")
	}
	if len(l.Keepers) < l.Copies || len(l.Keepers) > 100 {
		return bad("%d keepers are listed; %d to 100 are wanted", len(l.Keepers), l.Copies)
	}
	seen := map[string]bool{}
	for i, k := range l.Keepers {
		if k.Name == "" || seen[k.Name] {
			return bad("keeper %d: its name %q is empty or comes twice", i, k.Name)
		}
		seen[k.Name] = true
		for _, a := range []string{k.Peer, k.Door} {
			if _, _, err := net.SplitHostPort(a); err != nil {
				return bad("keeper %s: address %q: %v", k.Name, a, err)
			}
		}
	}
	return l, nil
}

func (l *List) peers() (all []replication.Peer) {
	for _, k := range l.Keepers {
		all = append(all, replication.Peer{Name: k.Name, Zone: k.Zone, Draining: k.Leaving})
	}
	return all
}

// Number is a keeper's place in the list; -1: it isn't in it.
func (l *List) Number(name string) int {
	for i, k := range l.Keepers {
		if k.Name == name {
			return i
		}
	}
	return -1
}

func (l *List) terms() replication.Config {
	return replication.Config{Groups: l.Groups, Replicas: l.Copies, MaxLogEntries: l.Log, SnapshotRate: l.Rate, ReplaceAfter: l.Lost}
}

// Place is where one keeper runs.
type Place struct {
	Name       string
	Dir        string // "": without a disk
	Peer, Door string // where it listens; "": as the list says
}

// Keeper is a running keeper.
type Keeper struct {
	ctx     context.Context
	log     zerolog.Logger
	list    *List
	core    *replication.Node
	store   *Store
	queue   chan func()
	streams *streams
	base    time.Time
	seed    uint64
	failed  error
	doors   *doors
	writes  chan *replication.Ready
	writing bool // of the loop alone
}

// New opens what a keeper held and its listeners. Run lets it work.
func New(l *List, p Place, log zerolog.Logger) (*Keeper, error) {
	me := l.Number(p.Name)
	if me < 0 {
		return nil, fmt.Errorf("keeper %q is not in the list", p.Name)
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	k := &Keeper{log: log.With().Str("keeper", p.Name).Logger(), list: l, queue: make(chan func(), 1024), writes: make(chan *replication.Ready, 1), base: time.Now(), seed: binary.BigEndian.Uint64(b[:])}
	var saved map[int]*replication.PersistentState
	var err error
	if k.store, saved, err = OpenStore(p.Dir, k.base); err != nil {
		return nil, err
	}
	if k.store.Spoilt != "" {
		k.log.Error().Str("why", k.store.Spoilt).Msg("what was held on this disk can't be trusted: it begins anew, as one that lost it")
	}
	id := k.store.Identity()
	if k.core, err = replication.New(me, id.Life, id.Cluster, l.peers(), l.terms(), k.seed, saved); err != nil {
		k.store.Close()
		return nil, err
	}
	peer, door := l.Keepers[me].Peer, l.Keepers[me].Door
	if p.Peer != "" {
		peer = p.Peer
	}
	if p.Door != "" {
		door = p.Door
	}
	if k.streams, err = newStreams(k, me, peer); err != nil {
		k.store.Close()
		return nil, err
	}
	if k.doors, err = newDoors(k, door); err != nil {
		k.streams.listener.Close()
		k.store.Close()
		return nil, err
	}
	k.log.Info().Int("number", me).Str("life", fmt.Sprintf("%08x", id.Life)).Bool("disk", k.store.Disk()).Int("groups_held", len(saved)).
		Str("peer", peer).Str("door", door).Msg("up")
	return k, nil
}

// now is the process's monotonic time, in seconds.
func (k *Keeper) now() float64 { return time.Since(k.base).Seconds() }

// tell puts one thing on the queue; false: the keeper is ending.
func (k *Keeper) tell(what func()) bool {
	select {
	case k.queue <- what:
		return true
	case <-k.ctx.Done():
		return false
	}
}

// Run lets it work until the context ends, or it can't go on.
func (k *Keeper) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	k.ctx = ctx
	k.streams.run(ctx, group)
	k.doors.run(ctx, group)
	group.Go(func() error { return k.loop(ctx) })
	group.Go(func() error { return k.write(ctx) })
	err := group.Wait()
	k.store.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// write is the disk's goroutine: one commit after another, each with all that came during the one before.
func (k *Keeper) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case w := <-k.writes:
			if err := k.store.Write(w.Writes); err != nil {
				return fmt.Errorf("what was to be kept could not be written, and nothing that rests on it was said: %w", err)
			}
			k.tell(func() {
				k.writing = false
				k.core.Advance(w)
			})
		}
	}
}

const tick = 20 * time.Millisecond

func (k *Keeper) loop(ctx context.Context) error {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case what := <-k.queue:
			what()
			for n := len(k.queue); n > 0; n-- {
				(<-k.queue)()
			}
		case <-timer.C:
		}
		if now := time.Now(); now.Sub(last) >= tick {
			last = now
			k.core.Tick(k.now())
		}
		if err := k.flush(); err != nil {
			return err
		}
	}
}

// flush has written what has to be written, and lets out what rests on what is. While the disk is busy all else goes on.
func (k *Keeper) flush() error {
	for !k.writing {
		w := k.core.Ready()
		if w == nil {
			break
		}
		if k.store.Disk() && len(w.Writes) > 0 {
			k.writing = true
			k.writes <- w // always has room: one is out at a time
			break
		}
		k.core.Advance(w)
		if err := k.core.Err(); err != nil {
			return err
		}
	}
	k.post() // a leader's own messages need not wait for its disk
	if c := k.core.Cluster(); c != 0 && !k.writing {
		if err := k.store.Join(c); err != nil {
			return fmt.Errorf("the installation's number could not be written: %w", err)
		}
	}
	for _, line := range k.core.TakeLogLines() {
		k.log.Info().Msg(line)
	}
	k.doors.flush()
	return errors.Join(k.failed, k.core.Err())
}

func (k *Keeper) post() {
	for _, l := range k.core.TakeMessages() {
		k.streams.send(l)
	}
}

// Take takes up a list to which keepers were added, or in which some are to leave.
func (k *Keeper) Take(l *List) {
	k.tell(func() {
		if l.Groups != k.list.Groups || l.Copies != k.list.Copies {
			k.log.Error().Msg("new list not taken up: groups and copies are fixed at the founding")
			return
		}
		if err := k.core.SetPeers(k.now(), l.peers(), k.seed); err != nil {
			k.log.Error().Err(err).Msg("new list not taken up")
			return
		}
		k.list = l
		k.streams.reach(l)
		k.log.Info().Int("keepers", len(l.Keepers)).Msg("new list")
	})
}
