package server

// This file owns the streams on which discovery is watched, their move to another address, and how far the list of hosts is
// known. A message that can't be read is never followed by another: the list is asked for anew. It must never make the loop
// wait, take a silent discovery for an empty list, or hear two streams at once.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/gateway/overload"
	"otterseam/gateway/policy"
	"otterseam/internal/mutation"
)

// What discovery had to tell counts as told 6 s after it fell silent. These four leave room for one try that fails in each
// way: 2.4, 0.7 to connect, 0.7 without a word, a pause of 0.25, and once more.
const (
	streamSilence = 2400 * time.Millisecond // without a message or an empty line, which comes every 2 s, another is opened
	streamDial    = 700 * time.Millisecond
	firstWord     = 700 * time.Millisecond // so long a new one is waited for before the next
	mostMessage   = 4 << 20                // bytes of one message
	mostNamed     = 5                      // dropped entries of one list that the log names
)

type Discovery struct {
	ctx   context.Context
	group *errgroup.Group
	loop  *Loop
	log   zerolog.Logger
	// Backoffs are those between its streams; nil: as of one alone.
	Backoffs *overload.Backoffs
	// silence and word are streamSilence and firstWord, but in tests.
	silence, word time.Duration

	mu      sync.Mutex
	inForce *source         // the one that is heard
	next    *source         // not yet heard, from a newer configuration
	version int64           // of the first list, for the first source
	lives   map[string]life // hosts by id
}

// source is discovery at one address.
type source struct {
	addr   string
	ctx    context.Context
	stop   context.CancelFunc
	pause  *overload.Backoff // between streams
	held   int64             // the version of what was told here last; 0: nothing was
	from   int64             // the version from which changes are asked for; 0: the whole list
	partly int64             // the version of a list of which entries were dropped: it was asked for once more
	stream *stream           // the one that is heard; nil: none
	since  time.Time         // when it was heard last
}

// stream is one watch on one connection.
type stream struct {
	source *source
	tcp    net.Conn
	opened time.Time
	spoken bool          // under the lock: spoke is closed
	over   bool          // under the lock: another is heard
	spoke  chan struct{} // closed with its first message or empty line
	ended  chan struct{} // closed when it is no more
}

// life is what was told of a host since its last start. Guards against a list whose numbers can't be compared with those
// held, as another discovery's, and that is behind: it would bring back a host that leaves.
type life struct {
	started float64
	left    float64 // when it was told to leave; 0: it was not
}

const leftFor = 60.0 // seconds for which hosts that left are known

// Roster is the list of hosts, or a change of it, as discovery writes it.
type Roster struct {
	Version int64         `json:"version"`
	Full    bool          `json:"full"`
	Servers []RosterEntry `json:"servers"`
}

type RosterEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

var states = map[string]string{"Ready": "active", "Terminating": "leaving", "Gone": "left"}

func NewDiscovery(ctx context.Context, group *errgroup.Group, loop *Loop, log zerolog.Logger) *Discovery {
	return &Discovery{
		ctx: ctx, group: group, loop: loop, log: log, silence: streamSilence, word: firstWord,
		lives: map[string]life{},
	}
}

// Watch watches at an address until the end. A new address is watched at once, from the whole list on, as its numbers are
// its own; the old one is heard until the new one has spoken: what either tells counts as told.
func (d *Discovery) Watch(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := d.inForce
	if d.next != nil {
		newest = d.next
	}
	if newest != nil && newest.addr == addr {
		return
	}
	if d.next != nil {
		d.next.stop()
		d.next = nil
	}
	if d.inForce != nil && d.inForce.addr == addr { // back to the one that is still heard
		return
	}
	s := &source{addr: addr, pause: d.Backoffs.New(0.05)}
	s.ctx, s.stop = context.WithCancel(d.ctx)
	if d.inForce == nil {
		d.inForce, s.held, s.from = s, d.version, d.version
	} else {
		d.next = s
	}
	d.group.Go(func() error { return d.run(s) })
}

// Known takes over the list as it was held at the last end, before anything is watched.
func (d *Discovery) Known(ctx context.Context, r Roster) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dropped := d.use(ctx, r, false); dropped == 0 {
		d.version = max(0, r.Version)
	}
}

// use hands a list to the loop, entries that make no sense left out; it says how many. It runs under the lock, so that
// lists reach the loop in their order. odd: its numbers can't be compared with those of what was told before.
func (d *Discovery) use(ctx context.Context, r Roster, odd bool) (dropped int) {
	var list []policy.HostEntry
	var addrs []string
	named, now := map[string]bool{}, d.loop.clock()
	for _, e := range r.Servers {
		state := states[e.State]
		if mutation.DrainIgnored && state != "" {
			state = "active"
		}
		if mutation.StartIgnored {
			e.Started = 0
		}
		if _, err := netip.ParseAddrPort(e.Addr); e.ID == "" || state == "" || err != nil && state != "left" {
			if dropped++; dropped <= mostNamed {
				d.log.Warn().Str("host", e.ID).Str("addr", e.Addr).Str("state", e.State).Msg("entry dropped")
			}
			continue
		}
		x := life{started: e.Started}
		if was := d.lives[e.ID]; odd && was.left > 0 && e.Started <= was.started {
			state = "leaving"
		}
		if state != "active" {
			x.left = now
		}
		d.lives[e.ID] = x
		named[e.ID] = true
		list = append(list, policy.HostEntry{
			Addr: e.ID, Zone: e.Zone, Cell: e.Cell, State: state,
			StartedAt: max(0, e.Started/1000), Weight: max(0, e.Weight),
		})
		addrs = append(addrs, e.Addr)
	}
	for id, x := range d.lives {
		if r.Full && !named[id] && x.left == 0 {
			x.left = now
			d.lives[id] = x
		}
		if x.left > 0 && now-x.left > leftFor {
			delete(d.lives, id)
		}
	}
	d.loop.tell(ctx, func() { d.loop.list(list, addrs, r.Full) })
	return dropped
}

// list tells sockets and module of the hosts; a host that is left goes on being known.
func (l *Loop) list(list []policy.HostEntry, addrs []string, whole bool) {
	listed := map[string]bool{}
	for i, e := range list {
		listed[e.Addr] = true
		l.hosts.List(e.Addr, addrs[i], e.State == "active")
	}
	if whole {
		l.hosts.Only(listed)
	}
	l.module.UpdateHosts(l.now, list, whole)
}

// run keeps a stream standing at one address: another is opened when the one there has ended or was silent for long. The
// silent one is heard on until another has spoken, and one that has not spoken is kept until the next one stands: a discovery
// that comes back is heard at once, on whichever it speaks.
func (d *Discovery) run(s *source) error {
	var last *stream // the one opened last
	var opened time.Time
	for {
		d.whileHeard(s)
		if !opened.IsZero() {
			if last != nil && last.hasSpoken() && time.Since(opened) > time.Second {
				s.pause.Reset()
			}
			select {
			case <-s.ctx.Done():
			case <-time.After(time.Duration(s.pause.Next() * 1e9)):
			}
		}
		if s.ctx.Err() != nil {
			return nil
		}
		opened = time.Now()
		x, err := d.open(s)
		if last != nil && !d.hears(last) {
			last.stop()
		}
		if last = x; err != nil {
			d.log.Debug().Err(err).Str("discovery", s.addr).Msg("watch not opened")
			continue
		}
		select {
		case <-x.spoke:
		case <-x.ended:
		case <-time.After(d.word):
		}
	}
}

// whileHeard returns when no stream stands or the one that stands has been silent for long.
func (d *Discovery) whileHeard(s *source) {
	for {
		d.mu.Lock()
		x, since := s.stream, s.since
		d.mu.Unlock()
		left := d.silence - time.Since(since)
		if x == nil || left <= 0 {
			return
		}
		select {
		case <-s.ctx.Done():
			return
		case <-x.ended:
		case <-time.After(left):
		}
	}
}

func (d *Discovery) hears(x *stream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return x.source.stream == x
}

func (x *stream) hasSpoken() bool {
	select {
	case <-x.spoke:
		return true
	default:
		return false
	}
}

// stop has the reading end, which closes the connection.
func (x *stream) stop() { x.tcp.SetDeadline(past) }

// open asks for the changes since what is known, on a connection of its own.
func (d *Discovery) open(s *source) (*stream, error) {
	dialer := net.Dialer{Timeout: streamDial, KeepAlive: -1}
	tcp, err := dialer.DialContext(s.ctx, "tcp", s.addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	from := s.from
	d.mu.Unlock()
	x := &stream{source: s, tcp: tcp, opened: time.Now(), spoke: make(chan struct{}), ended: make(chan struct{})}
	tcp.SetWriteDeadline(x.opened.Add(firstWord))
	if _, err = tcp.Write(http1.AppendDiscoveryWatch(nil, from)); err != nil {
		tcp.Close()
		return nil, err
	}
	d.group.Go(func() error {
		d.follow(x)
		return nil
	})
	return x, nil
}

// follow reads a stream until it ends, and closes its connection: the one place where that is done.
func (d *Discovery) follow(x *stream) {
	stop := context.AfterFunc(x.source.ctx, x.stop)
	err := d.read(x)
	stop()
	x.tcp.Close()
	var bad *unreadable
	spoilt := errors.As(err, &bad)
	d.mu.Lock()
	if x.source.stream == x {
		x.source.stream = nil
	}
	if spoilt && !x.over { // from a version that is known to be whole
		x.source.from = 0
	}
	d.mu.Unlock()
	close(x.ended)
	if x.source.ctx.Err() != nil {
		return
	}
	if spoilt {
		d.log.Warn().Err(err).Str("discovery", x.source.addr).Msg("list not used as it came, asked for again")
	} else {
		d.log.Debug().Err(err).Str("discovery", x.source.addr).Msg("watch has ended")
	}
}

var (
	errNoWatch = errors.New("not a watch")
	errUnheard = errors.New("another is heard")
)

// unreadable is what is wrong with a message.
type unreadable struct{ what error }

func (u *unreadable) Error() string { return u.what.Error() }
func (u *unreadable) Unwrap() error { return u.what }

// read takes what a stream brings, message by message, until it ends or can't be followed.
func (d *Discovery) read(x *stream) error {
	in := &body{
		tcp: x.tcp, raw: make([]byte, 2*http1.MaxHeadBytes), room: make([]byte, 0, 2*http1.MaxHeadBytes),
		blank: func() error { return d.hear(x, nil) },
	}
	for messages := json.NewDecoder(in); ; {
		var r Roster
		err := messages.Decode(&r)
		switch {
		case in.err != nil:
			return in.err
		case err == nil && (r.Servers == nil || r.Version < 0): // not an empty list
			err = errors.New("a list without hosts or version")
		}
		if err == nil {
			err = d.hear(x, &r)
		} else {
			err = &unreadable{err}
		}
		if err != nil {
			return err
		}
		in.next(messages.Buffered())
	}
}

// body is the text of a stream, however it is cut into chunks, in which messages and empty lines follow each other.
type body struct {
	tcp    net.Conn
	raw    []byte
	n      int // bytes in raw
	headed bool
	lines  http1.ChunkedStream
	room   []byte       // for plain
	plain  []byte       // text that has not been read yet
	begun  int          // bytes of a message, or of what is none, that have been read
	blank  func() error // told of an empty line between messages
	err    error
}

func (b *body) Read(p []byte) (n int, err error) {
	for len(b.plain) == 0 && b.err == nil {
		b.err = b.fill()
	}
	if n = copy(p, b.plain); n > 0 {
		b.plain = b.plain[n:]
		b.note(p[:n])
	}
	return n, b.err
}

// note looks for an empty line, which counts between messages only. Guards against half a message that trickles, which
// would count as speech.
func (b *body) note(text []byte) {
	lines := bytes.IndexByte(text, '\n') >= 0
	if text = bytes.TrimLeft(text, " \t\r\n"); b.begun > 0 || len(text) > 0 {
		if b.begun += len(text); b.begun > mostMessage && b.err == nil {
			b.err = &unreadable{errors.New("a message without end")}
		}
	} else if lines && b.err == nil {
		b.err = b.blank()
	}
}

// next: a message has been taken; rest has been read of what follows.
func (b *body) next(rest io.Reader) {
	b.begun = 0
	text, _ := io.ReadAll(rest)
	b.note(text)
}

// fill brings what comes next.
func (b *body) fill() error {
	m, err := b.tcp.Read(b.raw[b.n:])
	if b.n += m; m == 0 && err != nil {
		return err
	}
	if !b.headed {
		status, chunked, size, bad := http1.ParseStreamHead(b.raw[:b.n])
		if bad != nil || size > 0 && (status != 200 || !chunked) {
			return errNoWatch
		}
		if size == 0 {
			return nil
		}
		b.headed, b.n = true, copy(b.raw, b.raw[size:b.n])
	}
	var used int
	var done bool
	if b.plain, used, done, err = b.lines.Decode(b.room, b.raw[:b.n]); err != nil {
		return &unreadable{err}
	}
	if b.n = copy(b.raw, b.raw[used:b.n]); done {
		return errNoWatch
	}
	return nil
}

// hear takes a message, or an empty line, from a stream. A stream is heard from its first word on if the one heard before
// has said nothing since this one was opened; a new address, if that word is a list. An error: it is of no use any more.
func (d *Discovery) hear(x *stream, r *Roster) error {
	s := x.source
	d.mu.Lock()
	defer d.mu.Unlock()
	old := s.stream
	if x.over || s != d.inForce && s != d.next || old != nil && old != x && s.since.After(x.opened) {
		return errUnheard
	}
	if s.stream = x; old != nil && old != x {
		old.over = true
		old.stop()
	}
	s.since = time.Now()
	if !x.spoken {
		x.spoken = true
		close(x.spoke)
	}
	if r == nil {
		return nil
	}
	if !r.Full && r.Version < s.held {
		return &unreadable{fmt.Errorf("a change to version %d after version %d", r.Version, s.held)}
	}
	moved := s == d.next
	if moved {
		d.inForce.stop()
		d.inForce, d.next = s, nil
	}
	odd := moved || r.Version < s.held
	dropped := d.use(s.ctx, *r, odd)
	s.held = r.Version
	if dropped > 0 && s.partly != r.Version {
		s.partly = r.Version
		return &unreadable{fmt.Errorf("version %d: %d entries were dropped", r.Version, dropped)}
	}
	s.from = r.Version
	return nil
}
