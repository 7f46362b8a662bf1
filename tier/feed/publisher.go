package feed

import (
	"sync"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

const (
	// keepAliveInterval is how long a publisher without changes waits before it sends an empty update. Several of them fit into
	// subscriptionTimeout, so that one that comes late ends no subscription.
	keepAliveInterval = 250 * time.Millisecond
	// batchDelay is how long changes are collected into one update.
	batchDelay = 4 * time.Millisecond
)

// Publisher serves a view to subscribers. Each subscription has a goroutine, which ends with its connection.
type Publisher struct {
	View *View
	// IsFresh tells whether the view may be served; nil means always.
	IsFresh func() bool

	mu      sync.Mutex    // guards expired
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
	request, err := DecodeSubscribeRequest(message.Payload)
	if err != nil {
		message.Answer(codes.Malformed, nil)
		return
	}
	if p.isStale() {
		message.Answer(codes.SubscriptionStale, nil)
		return
	}
	if p.View.RejectsCluster(request.ClusterID) {
		message.Answer(codes.DiskForeign, nil)
		return
	}
	message.Answer(codes.OK, nil)
	go p.stream(message.Conn, request.Revision)
}

func (p *Publisher) isStale() bool { return p.IsFresh != nil && !p.IsFresh() }

// stream sends a subscriber what it lacks, at each change and at least once in each keep-alive interval.
func (p *Publisher) stream(conn *rpc.Conn, revision uint64) {
	expired := p.expiry()
	keepAlive := time.NewTimer(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		changed := p.View.Changed()
		update, upTo := p.View.SinceEncoded(revision)
		if p.isStale() {
			conn.Close()
			return
		}
		conn.Send(KindUpdate, update)
		revision = upTo
		keepAlive.Reset(keepAliveInterval)
		select {
		case <-conn.Done():
			return
		case <-expired:
			conn.Close()
			return
		case <-changed:
			time.Sleep(batchDelay)
		case <-keepAlive.C:
		}
	}
}
