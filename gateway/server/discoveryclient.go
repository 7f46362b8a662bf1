package server

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/overload"
)

// What discovery had to say counts as known to the gateway 6 s after it fell silent. These leave room for one attempt that fails in
// each way: 2.4 s, 0.7 to connect, 0.7 without a word, a pause of 0.25, and once more.
const (
	defaultSilenceTimeout   = 2400 * time.Millisecond // without a message or an empty line, which comes every 2 s, another stream is opened
	discoveryDialTimeout    = 700 * time.Millisecond
	defaultFirstWordTimeout = 700 * time.Millisecond // a new stream is waited for so long before the next is opened
	discoveryFirstBackoff   = 0.05                   // seconds
	steadyStreamAge         = time.Second            // after a stream that spoke and held for so long, the pause begins anew
)

// DiscoveryOptions are what a DiscoveryClient is made from.
type DiscoveryOptions struct {
	Backoffs *overload.Backoffs // between its streams; nil: as of one gateway alone
}

// DiscoveryClient watches the list of hosts: it owns the streams, their move to another address, and how far the list is known. One
// goroutine for each address keeps a stream standing, one for each stream reads it. Lists reach the event loop in their order, as
// they are posted under mu. A message that can't be read is never followed by another of its stream: the list is asked for anew. A
// silent discovery is not taken for an empty list, and two streams are not heard at once.
type DiscoveryClient struct {
	ctx      context.Context
	group    *errgroup.Group
	loop     *EventLoop
	log      zerolog.Logger
	backoffs *overload.Backoffs

	silenceTimeout   time.Duration // the defaults, but in tests
	firstWordTimeout time.Duration

	mu           sync.Mutex
	current      *discoverySource           // the one that is heard
	candidate    *discoverySource           // from a newer configuration; it takes over with its first list
	savedVersion int64                      // of the saved list, for the first source
	incarnations map[string]hostIncarnation // by host id
}

// discoverySource is discovery at one address. What may change is guarded by DiscoveryClient.mu.
type discoverySource struct {
	addr    string
	ctx     context.Context
	stop    context.CancelFunc
	backoff *overload.Backoff // between streams; of the goroutine that opens them

	acceptedVersion   int64        // of the list accepted last; 0: none was
	watchFrom         int64        // changes after this version are asked for; 0: the complete list
	incompleteVersion int64        // of a list of which entries were dropped: it was asked for once more
	stream            *watchStream // the one that is heard; nil: none
	lastHeard         time.Time
}

// NewDiscoveryClient makes a client that watches nothing yet.
func NewDiscoveryClient(ctx context.Context, group *errgroup.Group, loop *EventLoop, log zerolog.Logger, options DiscoveryOptions) *DiscoveryClient {
	return &DiscoveryClient{
		ctx:              ctx,
		group:            group,
		loop:             loop,
		log:              log,
		backoffs:         options.Backoffs,
		silenceTimeout:   defaultSilenceTimeout,
		firstWordTimeout: defaultFirstWordTimeout,
		incarnations:     map[string]hostIncarnation{},
	}
}

// UseSaved takes over the list as it was known at the gateway's last end, before anything is watched.
func (d *DiscoveryClient) UseSaved(ctx context.Context, list Roster) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dropped := d.apply(ctx, list, false); dropped == 0 {
		d.savedVersion = max(0, list.Version)
	}
}

// Watch watches at an address until the gateway's end or the next address. A new address is watched at once, from the complete list
// on, as its versions are its own; the old one is heard until the new one has sent a list.
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
	src := &discoverySource{addr: addr, backoff: d.backoffs.New(discoveryFirstBackoff)}
	src.ctx, src.stop = context.WithCancel(d.ctx)
	if d.current == nil {
		src.acceptedVersion, src.watchFrom = d.savedVersion, d.savedVersion
		d.current = src
	} else {
		d.candidate = src
	}
	d.group.Go(func() error { return d.run(src) })
}

// run keeps a stream standing at one address: another is opened when the one there has ended or has been silent for long. The silent
// one is heard on until another has spoken, and one that has not spoken is kept until the next one stands: a discovery that comes
// back is heard at once, on whichever it speaks.
func (d *DiscoveryClient) run(src *discoverySource) error {
	var last *watchStream // the one opened last; nil: that failed
	var opened time.Time
	for {
		d.waitForSilence(src)
		if !opened.IsZero() {
			src.pause(last, opened)
		}
		if src.ctx.Err() != nil {
			return nil
		}
		opened = time.Now()
		stream, err := d.open(src)
		if last != nil && !d.isHeard(last) {
			last.stop()
		}
		last = stream
		if err != nil {
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

// pause waits before another stream is opened, for longer each time unless the last one held.
func (s *discoverySource) pause(last *watchStream, opened time.Time) {
	if last != nil && last.hasSpoken() && time.Since(opened) > steadyStreamAge {
		s.backoff.Reset()
	}
	select {
	case <-s.ctx.Done():
	case <-time.After(time.Duration(s.backoff.Next() * 1e9)):
	}
}

// waitForSilence returns when no stream is heard or the one that is has been silent for long.
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

// isHeard says whether a stream is the one that is heard at its address.
func (d *DiscoveryClient) isHeard(stream *watchStream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return stream.source.stream == stream
}
