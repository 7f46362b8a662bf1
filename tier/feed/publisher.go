package feed

import (
	"sync"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

const (
	// keepAliveInterval is how long a publisher without changes waits before it sends an empty update. It is a fraction of
	// subscriptionTimeout, so that one late update does not end a subscription.
	keepAliveInterval = 250 * time.Millisecond
	// batchDelay is how long a publisher waits after a change to batch further changes into one update.
	batchDelay = 4 * time.Millisecond
)

// Publisher serves a view to subscribers. Each subscription has a goroutine that ends with its connection.
type Publisher struct {
	View *View
	// IsFresh reports whether the view may be served; nil means always.
	IsFresh func() bool

	mu      sync.Mutex    // guards expired
	expired chan struct{} // closed to end the current subscriptions; nil if there are none
}

// Expire ends all subscriptions immediately, so that the subscribers move to other publishers.
func (p *Publisher) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expired != nil {
		close(p.expired)
		p.expired = nil
	}
}

// expiry returns a channel that Expire closes to end the current subscriptions.
func (p *Publisher) expiry() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expired == nil {
		p.expired = make(chan struct{})
	}
	return p.expired
}

// Handle handles a SubscribeRequest. It serves the subscription in the background until the connection ends, the view is no longer fresh
// or Expire is called.
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

// stream sends updates to a subscriber after each change, and at least once per keepAliveInterval.
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
