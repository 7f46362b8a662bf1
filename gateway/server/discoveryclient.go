package server

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/overload"
)

// The gateway is expected to know the updates of discovery 6 s after discovery fell silent. Within that time, these timeouts leave
// room for one attempt that fails in the slowest way: 2.4 s of silence, 0.7 s to connect, 0.7 s without data, a pause of 0.25 s, and
// a second attempt.
const (
	defaultSilenceTimeout   = 2400 * time.Millisecond // without a message or an empty line, which is sent every 2 s, another stream is opened
	discoveryDialTimeout    = 700 * time.Millisecond
	defaultFirstDataTimeout = 700 * time.Millisecond // how long to wait for data on a new stream before the next is opened
	discoveryFirstBackoff   = 0.05                   // seconds
	stableStreamAge         = time.Second            // a stream that received data and lasted this long resets the backoff
)

// DiscoveryOptions configure a DiscoveryClient.
type DiscoveryOptions struct {
	Backoffs *overload.Backoffs // between its streams; nil: those of a single gateway
}

// DiscoveryClient watches the host list. It owns the streams, the switch to another address, and the version up to which the list
// is known. One goroutine per address maintains a stream, one per stream reads it. Lists reach the event loop in order, because
// they are posted under mu. After an invalid message no further message of its stream is used; the complete list is requested
// instead. A silent discovery is not treated as an empty list, and only one stream per address is active at a time.
type DiscoveryClient struct {
	ctx      context.Context
	group    *errgroup.Group
	loop     *EventLoop
	log      zerolog.Logger
	backoffs *overload.Backoffs

	silenceTimeout   time.Duration // defaultSilenceTimeout, except in tests
	firstDataTimeout time.Duration

	mu           sync.Mutex
	current      *discoverySource           // the source whose lists are used
	candidate    *discoverySource           // from a newer configuration; becomes current with its first list
	savedVersion int64                      // version of the saved list, for the first source
	incarnations map[string]hostIncarnation // by host id
}

// discoverySource is discovery at one address. Its mutable fields are guarded by DiscoveryClient.mu.
type discoverySource struct {
	addr    string
	ctx     context.Context
	stop    context.CancelFunc
	backoff *overload.Backoff // between streams; used only by the goroutine that opens them

	acceptedVersion   int64        // version of the last accepted list; 0: none
	watchFrom         int64        // changes after this version are requested; 0: the complete list
	incompleteVersion int64        // version of a list with dropped entries, which was requested once more
	activeStream      *watchStream // nil: none
	lastReceived      time.Time
}

// NewDiscoveryClient returns a client that watches no address yet.
func NewDiscoveryClient(ctx context.Context, group *errgroup.Group, loop *EventLoop, log zerolog.Logger, options DiscoveryOptions) *DiscoveryClient {
	return &DiscoveryClient{
		ctx:              ctx,
		group:            group,
		loop:             loop,
		log:              log,
		backoffs:         options.Backoffs,
		silenceTimeout:   defaultSilenceTimeout,
		firstDataTimeout: defaultFirstDataTimeout,
		incarnations:     map[string]hostIncarnation{},
	}
}

// UseSaved applies the list that was saved when the gateway last ended. It must be called before Watch.
func (d *DiscoveryClient) UseSaved(ctx context.Context, list Roster) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dropped := d.apply(ctx, list, false); dropped == 0 {
		d.savedVersion = max(0, list.Version)
	}
}

// Watch watches the discovery at an address until the gateway ends or the address changes. A new address is watched at once,
// starting with the complete list because versions are specific to an address. The old one stays in use until the new one has sent
// a list.
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
	if d.current != nil && d.current.addr == addr { // back to the address that is still in use
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

// run maintains a stream to one address: it opens another when the active one has ended or gone silent. A silent stream stays
// active until another has received data, and a new stream without data is kept until the next one is connected. When discovery
// recovers, its data is therefore used at once, whichever stream it arrives on.
func (d *DiscoveryClient) run(src *discoverySource) error {
	var last *watchStream // the stream opened last; nil: opening it failed
	var opened time.Time
	for {
		d.waitForSilence(src)
		if !opened.IsZero() {
			src.backOff(last, opened)
		}
		if src.ctx.Err() != nil {
			return nil
		}
		opened = time.Now()
		stream, err := d.open(src)
		if last != nil && !d.isActive(last) {
			last.stop()
		}
		last = stream
		if err != nil {
			d.log.Debug().Err(err).Str("discovery", src.addr).Msg("cannot open discovery watch")
			continue
		}
		select {
		case <-stream.firstData:
		case <-stream.ended:
		case <-time.After(d.firstDataTimeout):
		}
	}
}

// backOff waits before another stream is opened. The delay grows each time unless the last stream was stable.
func (s *discoverySource) backOff(last *watchStream, opened time.Time) {
	if last != nil && last.hasReceived() && time.Since(opened) > stableStreamAge {
		s.backoff.Reset()
	}
	select {
	case <-s.ctx.Done():
	case <-time.After(time.Duration(s.backoff.Next() * 1e9)):
	}
}

// waitForSilence returns when there is no active stream or it has been silent for silenceTimeout.
func (d *DiscoveryClient) waitForSilence(src *discoverySource) {
	for {
		d.mu.Lock()
		stream, since := src.activeStream, src.lastReceived
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

// isActive reports whether a stream is the active one of its address.
func (d *DiscoveryClient) isActive(stream *watchStream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return stream.source.activeStream == stream
}
