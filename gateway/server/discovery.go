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
	silenceTimeout       = 2400 * time.Millisecond // without a message or an empty line, which comes every 2 s, another is opened
	discoveryDialTimeout = 700 * time.Millisecond
	firstWordTimeout     = 700 * time.Millisecond // so long a new one is waited for before the next
	maxMessageBytes      = 4 << 20                // bytes of one message
	maxLoggedDrops       = 5                      // dropped entries of one list that the log names
)

type DiscoveryClient struct {
	ctx   context.Context
	group *errgroup.Group
	loop  *EventLoop
	log   zerolog.Logger
	// Backoffs are those between its streams; nil: as of one alone.
	Backoffs *overload.Backoffs
	// silence and word are streamSilence and firstWord, but in tests.
	silenceTimeout, firstWordTimeout time.Duration

	mu           sync.Mutex
	current      *discoverySource           // the one that is heard
	candidate    *discoverySource           // not yet heard, from a newer configuration
	version      int64                      // of the first list, for the first source
	incarnations map[string]hostIncarnation // hosts by id
}

// source is discovery at one address.
type discoverySource struct {
	addr              string
	ctx               context.Context
	stop              context.CancelFunc
	backoff           *overload.Backoff // between streams
	acceptedVersion   int64             // the version of what was told here last; 0: nothing was
	watchFrom         int64             // the version from which changes are asked for; 0: the whole list
	incompleteVersion int64             // the version of a list of which entries were dropped: it was asked for once more
	stream            *watchStream      // the one that is heard; nil: none
	lastHeard         time.Time         // when it was heard last
}

// stream is one watch on one connection.
type watchStream struct {
	source          *discoverySource
	tcp             net.Conn
	opened          time.Time
	hasSpokenLocked bool          // under the lock: spoke is closed
	superseded      bool          // under the lock: another is heard
	firstWord       chan struct{} // closed with its first message or empty line
	ended           chan struct{} // closed when it is no more
}

// life is what was told of a host since its last start. Guards against a list whose numbers can't be compared with those
// held, as another discovery's, and that is behind: it would bring back a host that leaves.
type hostIncarnation struct {
	startedMS float64
	leftAt    float64 // when it was told to leave; 0: it was not
}

const leftHostsKept = 60.0 // seconds for which hosts that left are known

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

var hostStates = map[string]string{"Ready": "active", "Terminating": "leaving", "Gone": "left"}

func NewDiscoveryClient(ctx context.Context, group *errgroup.Group, loop *EventLoop, log zerolog.Logger) *DiscoveryClient {
	return &DiscoveryClient{
		ctx: ctx, group: group, loop: loop, log: log, silenceTimeout: silenceTimeout, firstWordTimeout: firstWordTimeout,
		incarnations: map[string]hostIncarnation{},
	}
}

// Watch watches at an address until the end. A new address is watched at once, from the whole list on, as its numbers are
// its own; the old one is heard until the new one has spoken: what either tells counts as told.
func (d *DiscoveryClient) Watch(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := d.current
	if d.candidate != nil {
		newest = d.candidate
	}
	if newest != nil && newest.addr == addr {
		return
	}
	if d.candidate != nil {
		d.candidate.stop()
		d.candidate = nil
	}
	if d.current != nil && d.current.addr == addr { // back to the one that is still heard
		return
	}
	src := &discoverySource{addr: addr, backoff: d.Backoffs.New(0.05)}
	src.ctx, src.stop = context.WithCancel(d.ctx)
	if d.current == nil {
		d.current, src.acceptedVersion, src.watchFrom = src, d.version, d.version
	} else {
		d.candidate = src
	}
	d.group.Go(func() error { return d.run(src) })
}

// Known takes over the list as it was held at the last end, before anything is watched.
func (d *DiscoveryClient) UseSaved(ctx context.Context, list Roster) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dropped := d.apply(ctx, list, false); dropped == 0 {
		d.version = max(0, list.Version)
	}
}

// use hands a list to the loop, entries that make no sense left out; it says how many. It runs under the lock, so that
// lists reach the loop in their order. odd: its numbers can't be compared with those of what was told before.
func (d *DiscoveryClient) apply(ctx context.Context, roster Roster, incomparable bool) (dropped int) {
	var entries []policy.HostEntry
	var addrs []string
	named, now := map[string]bool{}, d.loop.clock()
	for _, e := range roster.Servers {
		state := hostStates[e.State]
		if mutation.DrainIgnored && state != "" {
			state = "active"
		}
		if mutation.StartIgnored {
			e.Started = 0
		}
		if _, err := netip.ParseAddrPort(e.Addr); e.ID == "" || state == "" || err != nil && state != "left" {
			if dropped++; dropped <= maxLoggedDrops {
				d.log.Warn().Str("host", e.ID).Str("addr", e.Addr).Str("state", e.State).Msg("entry dropped")
			}
			continue
		}
		x := hostIncarnation{startedMS: e.Started}
		if was := d.incarnations[e.ID]; incomparable && was.leftAt > 0 && e.Started <= was.startedMS {
			state = "leaving"
		}
		if state != "active" {
			x.leftAt = now
		}
		d.incarnations[e.ID] = x
		named[e.ID] = true
		entries = append(entries, policy.HostEntry{
			Addr: e.ID, Zone: e.Zone, Cell: e.Cell, State: state,
			StartedAt: max(0, e.Started/1000), Weight: max(0, e.Weight),
		})
		addrs = append(addrs, e.Addr)
	}
	for id, x := range d.incarnations {
		if roster.Full && !named[id] && x.leftAt == 0 {
			x.leftAt = now
			d.incarnations[id] = x
		}
		if x.leftAt > 0 && now-x.leftAt > leftHostsKept {
			delete(d.incarnations, id)
		}
	}
	d.loop.post(ctx, func() { d.loop.updateHosts(entries, addrs, roster.Full) })
	return dropped
}

// list tells sockets and module of the hosts; a host that is left goes on being known.
func (l *EventLoop) updateHosts(entries []policy.HostEntry, addrs []string, complete bool) {
	listed := map[string]bool{}
	for i, e := range entries {
		listed[e.Addr] = true
		l.hosts.UpdateHost(e.Addr, addrs[i], e.State == "active")
	}
	if complete {
		l.hosts.KeepOnly(listed)
	}
	l.policy.UpdateHosts(l.now, entries, complete)
}

// run keeps a stream standing at one address: another is opened when the one there has ended or was silent for long. The
// silent one is heard on until another has spoken, and one that has not spoken is kept until the next one stands: a discovery
// that comes back is heard at once, on whichever it speaks.
func (d *DiscoveryClient) run(src *discoverySource) error {
	var last *watchStream // the one opened last
	var opened time.Time
	for {
		d.waitForSilence(src)
		if !opened.IsZero() {
			if last != nil && last.hasSpoken() && time.Since(opened) > time.Second {
				src.backoff.Reset()
			}
			select {
			case <-src.ctx.Done():
			case <-time.After(time.Duration(src.backoff.Next() * 1e9)):
			}
		}
		if src.ctx.Err() != nil {
			return nil
		}
		opened = time.Now()
		stream, err := d.open(src)
		if last != nil && !d.isCurrent(last) {
			last.stop()
		}
		if last = stream; err != nil {
			d.log.Debug().Err(err).Str("discovery", src.addr).Msg("watch not opened")
			continue
		}
		select {
		case <-stream.firstWord:
		case <-stream.ended:
		case <-time.After(d.firstWordTimeout):
		}
	}
}

// whileHeard returns when no stream stands or the one that stands has been silent for long.
func (d *DiscoveryClient) waitForSilence(src *discoverySource) {
	for {
		d.mu.Lock()
		stream, since := src.stream, src.lastHeard
		d.mu.Unlock()
		remaining := d.silenceTimeout - time.Since(since)
		if stream == nil || remaining <= 0 {
			return
		}
		select {
		case <-src.ctx.Done():
			return
		case <-stream.ended:
		case <-time.After(remaining):
		}
	}
}

func (d *DiscoveryClient) isCurrent(stream *watchStream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return stream.source.stream == stream
}

func (w *watchStream) hasSpoken() bool {
	select {
	case <-w.firstWord:
		return true
	default:
		return false
	}
}

// stop has the reading end, which closes the connection.
func (w *watchStream) stop() { w.tcp.SetDeadline(expired) }

// open asks for the changes since what is known, on a connection of its own.
func (d *DiscoveryClient) open(src *discoverySource) (*watchStream, error) {
	dialer := net.Dialer{Timeout: discoveryDialTimeout, KeepAlive: -1}
	tcp, err := dialer.DialContext(src.ctx, "tcp", src.addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	from := src.watchFrom
	d.mu.Unlock()
	stream := &watchStream{source: src, tcp: tcp, opened: time.Now(), firstWord: make(chan struct{}), ended: make(chan struct{})}
	tcp.SetWriteDeadline(stream.opened.Add(firstWordTimeout))
	if _, err = tcp.Write(http1.AppendDiscoveryWatch(nil, from)); err != nil {
		tcp.Close()
		return nil, err
	}
	d.group.Go(func() error {
		d.serveStream(stream)
		return nil
	})
	return stream, nil
}

// follow reads a stream until it ends, and closes its connection: the one place where that is done.
func (d *DiscoveryClient) serveStream(stream *watchStream) {
	stop := context.AfterFunc(stream.source.ctx, stream.stop)
	err := d.read(stream)
	stop()
	stream.tcp.Close()
	var unreadable *messageError
	malformed := errors.As(err, &unreadable)
	d.mu.Lock()
	if stream.source.stream == stream {
		stream.source.stream = nil
	}
	if malformed && !stream.superseded { // from a version that is known to be whole
		stream.source.watchFrom = 0
	}
	d.mu.Unlock()
	close(stream.ended)
	if stream.source.ctx.Err() != nil {
		return
	}
	if malformed {
		d.log.Warn().Err(err).Str("discovery", stream.source.addr).Msg("list not used as it came, asked for again")
	} else {
		d.log.Debug().Err(err).Str("discovery", stream.source.addr).Msg("watch has ended")
	}
}

var (
	errNotAWatch  = errors.New("not a watch")
	errSuperseded = errors.New("another is heard")
)

// unreadable is what is wrong with a message.
type messageError struct{ reason error }

func (e *messageError) Error() string { return e.reason.Error() }
func (e *messageError) Unwrap() error { return e.reason }

// read takes what a stream brings, message by message, until it ends or can't be followed.
func (d *DiscoveryClient) read(stream *watchStream) error {
	text := &streamText{
		tcp: stream.tcp, buffer: make([]byte, 2*http1.MaxHeadBytes), textBuffer: make([]byte, 0, 2*http1.MaxHeadBytes),
		onBlankLine: func() error { return d.accept(stream, nil) },
	}
	for decoder := json.NewDecoder(text); ; {
		var list Roster
		err := decoder.Decode(&list)
		switch {
		case text.err != nil:
			return text.err
		case err == nil && (list.Servers == nil || list.Version < 0): // not an empty list
			err = errors.New("a list without hosts or version")
		}
		if err == nil {
			err = d.accept(stream, &list)
		} else {
			err = &messageError{err}
		}
		if err != nil {
			return err
		}
		text.messageTaken(decoder.Buffered())
	}
}

// body is the text of a stream, however it is cut into chunks, in which messages and empty lines follow each other.
type streamText struct {
	tcp          net.Conn
	buffer       []byte
	buffered     int // bytes in raw
	headRead     bool
	lines        http1.ChunkedStream
	textBuffer   []byte       // for plain
	unread       []byte       // text that has not been read yet
	messageBytes int          // bytes of a message, or of what is none, that have been read
	onBlankLine  func() error // told of an empty line between messages
	err          error
}

func (s *streamText) Read(p []byte) (n int, err error) {
	for len(s.unread) == 0 && s.err == nil {
		s.err = s.fill()
	}
	if n = copy(p, s.unread); n > 0 {
		s.unread = s.unread[n:]
		s.scan(p[:n])
	}
	return n, s.err
}

// note looks for an empty line, which counts between messages only. Guards against half a message that trickles, which
// would count as speech.
func (s *streamText) scan(text []byte) {
	hasNewline := bytes.IndexByte(text, '\n') >= 0
	if text = bytes.TrimLeft(text, " \t\r\n"); s.messageBytes > 0 || len(text) > 0 {
		if s.messageBytes += len(text); s.messageBytes > maxMessageBytes && s.err == nil {
			s.err = &messageError{errors.New("a message without end")}
		}
	} else if hasNewline && s.err == nil {
		s.err = s.onBlankLine()
	}
}

// next: a message has been taken; rest has been read of what follows.
func (s *streamText) messageTaken(rest io.Reader) {
	s.messageBytes = 0
	text, _ := io.ReadAll(rest)
	s.scan(text)
}

// fill brings what comes next.
func (s *streamText) fill() error {
	m, err := s.tcp.Read(s.buffer[s.buffered:])
	if s.buffered += m; m == 0 && err != nil {
		return err
	}
	if !s.headRead {
		status, chunked, size, bad := http1.ParseStreamHead(s.buffer[:s.buffered])
		if bad != nil || size > 0 && (status != 200 || !chunked) {
			return errNotAWatch
		}
		if size == 0 {
			return nil
		}
		s.headRead, s.buffered = true, copy(s.buffer, s.buffer[size:s.buffered])
	}
	var used int
	var done bool
	if s.unread, used, done, err = s.lines.Decode(s.textBuffer, s.buffer[:s.buffered]); err != nil {
		return &messageError{err}
	}
	if s.buffered = copy(s.buffer, s.buffer[used:s.buffered]); done {
		return errNotAWatch
	}
	return nil
}

// hear takes a message, or an empty line, from a stream. A stream is heard from its first word on if the one heard before
// has said nothing since this one was opened; a new address, if that word is a list. An error: it is of no use any more.
func (d *DiscoveryClient) accept(stream *watchStream, list *Roster) error {
	src := stream.source
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := src.stream
	if stream.superseded || src != d.current && src != d.candidate || previous != nil && previous != stream && src.lastHeard.After(stream.opened) {
		return errSuperseded
	}
	if src.stream = stream; previous != nil && previous != stream {
		previous.superseded = true
		previous.stop()
	}
	src.lastHeard = time.Now()
	if !stream.hasSpokenLocked {
		stream.hasSpokenLocked = true
		close(stream.firstWord)
	}
	if list == nil {
		return nil
	}
	if !list.Full && list.Version < src.acceptedVersion {
		return &messageError{fmt.Errorf("a change to version %d after version %d", list.Version, src.acceptedVersion)}
	}
	moved := src == d.candidate
	if moved {
		d.current.stop()
		d.current, d.candidate = src, nil
	}
	incomparable := moved || list.Version < src.acceptedVersion
	dropped := d.apply(src.ctx, *list, incomparable)
	src.acceptedVersion = list.Version
	if dropped > 0 && src.incompleteVersion != list.Version {
		src.incompleteVersion = list.Version
		return &messageError{fmt.Errorf("version %d: %d entries were dropped", list.Version, dropped)}
	}
	src.watchFrom = list.Version
	return nil
}
