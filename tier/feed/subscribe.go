package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

// The kinds of messages of a subscription.
const (
	KindSubscribe rpc.Kind = 60 // call: from which revision on; answered when refused or accepted
	KindUpdate    rpc.Kind = 61 // pushed to the subscriber
)

const (
	keepAlive        = 250 * time.Millisecond
	subscriberWaits  = 900 * time.Millisecond
	subscribeTimeout = 700 * time.Millisecond
	resubscribePause = 60 * time.Millisecond
	// gather is how long changes are collected into one update.
	gather = 4 * time.Millisecond
)

// Publisher serves a view to subscribers.
type Publisher struct {
	View *View
	// IsFresh tells whether the view may be served; nil means always.
	IsFresh func() bool

	mu      sync.Mutex
	expired chan struct{} // closed when the subscriptions are to end; nil until one begins
}

// Expire ends all subscriptions at once, so that their subscribers go on to other publishers.
func (p *Publisher) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expired != nil {
		close(p.expired)
		p.expired = nil
	}
}

// expiry is closed when the subscriptions that run now are to end.
func (p *Publisher) expiry() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expired == nil {
		p.expired = make(chan struct{})
	}
	return p.expired
}

// Handle takes a subscription and serves it until the connection ends or the view is no longer fresh.
func (p *Publisher) Handle(message rpc.Message) {
	d := codec.NewDecoder(message.Payload)
	revision := d.Uint64()
	installation := d.Uint64()
	if d.Err() != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if p.stale() {
		message.Answer(codes.SubscriptionStale, nil)
		return
	}
	if p.View.RejectsCluster(installation) {
		message.Answer(codes.DiskForeign, nil)
		return
	}
	message.Answer(codes.OK, nil)
	go p.serve(message.Conn, revision)
}

func (p *Publisher) stale() bool { return p.IsFresh != nil && !p.IsFresh() }

func (p *Publisher) serve(conn *rpc.Conn, revision uint64) {
	expired := p.expiry()
	timer := time.NewTimer(keepAlive)
	defer timer.Stop()
	for {
		changed := p.View.Changed()
		update, upTo := p.View.SinceEncoded(revision)
		if p.stale() {
			conn.Close()
			return
		}
		conn.Send(KindUpdate, update)
		revision = upTo
		timer.Reset(keepAlive)
		select {
		case <-conn.Done():
			return
		case <-expired:
			conn.Close()
			return
		case <-changed:
			time.Sleep(gather)
		case <-timer.C:
		}
	}
}

// Subscriber keeps a view up to date from one publisher after another.
type Subscriber struct {
	View *View
	// Addresses returns where publishers are, the preferred first.
	Addresses func() []string
	// OnChange is called with the items that an update changed; nil if not wanted.
	OnChange func(items []Item)

	loggedForeign bool
}

// Run subscribes until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	position := rand.IntN(1 << 16)
	for ctx.Err() == nil {
		addresses := s.Addresses()
		if len(addresses) > 0 {
			s.follow(ctx, addresses[position%len(addresses)])
		}
		position++
		select {
		case <-ctx.Done():
		case <-time.After(resubscribePause):
		}
	}
}

// follow serves one subscription until it ends or falls silent.
func (s *Subscriber) follow(ctx context.Context, address string) {
	heard := make(chan struct{}, 1)
	conn, err := rpc.Dial(ctx, address, func(message rpc.Message) {
		if message.Kind != KindUpdate {
			return
		}
		s.take(message.Payload)
		select {
		case heard <- struct{}{}:
		default:
		}
	})
	if err != nil {
		return
	}
	defer conn.Close()
	var e codec.Encoder
	e.Uint64(s.View.Revision())
	e.Uint64(s.View.ClusterID())
	call, cancel := context.WithTimeout(ctx, subscribeTimeout)
	_, err = conn.Call(call, KindSubscribe, e.Bytes)
	cancel()
	if errors.Is(err, codes.DiskForeign) {
		s.logForeignPublisher(address)
	}
	if err != nil {
		return
	}
	s.watch(ctx, conn, heard)
}

func (s *Subscriber) watch(ctx context.Context, conn *rpc.Conn, heard <-chan struct{}) {
	silence := time.NewTimer(subscriberWaits)
	defer silence.Stop()
	for {
		select {
		case <-heard:
			silence.Reset(subscriberWaits)
		case <-silence.C:
			return
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Subscriber) take(payload []byte) {
	update, err := DecodeUpdate(payload)
	if err != nil {
		return
	}
	changed := s.View.Merge(update)
	if len(changed) > 0 && s.OnChange != nil {
		s.OnChange(changed)
	}
}
