package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

const (
	// subscriptionTimeout is how long a subscription may bring no update before its publisher is given up: more than three times
	// keepAliveInterval.
	subscriptionTimeout = 900 * time.Millisecond
	// subscribeTimeout is how long a publisher may take to answer a SubscribeRequest.
	subscribeTimeout = 700 * time.Millisecond
	// resubscribeDelay is the pause between two publishers.
	resubscribeDelay = 60 * time.Millisecond
	// maxFirstPosition spreads subscribers over the publishers: each begins at a random one.
	maxFirstPosition = 1 << 16
)

// Subscriber keeps a view up to date from one publisher after another.
type Subscriber struct {
	View *View
	// Addresses returns where publishers are.
	Addresses func() []string
	// OnChange is called with the items that an update changed, by the reader of the connection; nil if not wanted.
	OnChange func(items []Item)

	loggedForeign   bool            // owned by the goroutine of Run
	loggedMalformed map[string]bool // by publisher; owned by the goroutine of Run
}

// Run subscribes until the context ends.
func (s *Subscriber) Run(ctx context.Context) {
	position := rand.IntN(maxFirstPosition)
	for ctx.Err() == nil {
		addresses := s.Addresses()
		if len(addresses) > 0 {
			s.follow(ctx, addresses[position%len(addresses)])
		}
		position++
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeDelay):
		}
	}
}

// follow serves one subscription until it ends or times out.
func (s *Subscriber) follow(ctx context.Context, address string) {
	updates := updateReader{subscriber: s, received: make(chan struct{}, 1), malformed: make(chan error, 1)}
	conn, err := rpc.Dial(ctx, address, updates.handle)
	if err != nil {
		return
	}
	defer conn.Close()
	if err := s.subscribe(ctx, conn); err != nil {
		if errors.Is(err, codes.DiskForeign) {
			s.logForeignPublisher(address)
		}
		return
	}
	if err := updates.awaitEnd(ctx, conn); err != nil {
		s.logMalformedUpdate(address, err)
	}
}

// updateReader takes the updates of one subscription.
type updateReader struct {
	subscriber *Subscriber
	received   chan struct{} // tells that an update came
	malformed  chan error    // has the error of an update that can't be decoded

	hasFailed bool // owned by the reader of the connection
}

// handle merges an update. Behind one that can't be decoded nothing is merged: a later update would raise the view's revision, and
// what the lost one carried would not be asked for again.
func (r *updateReader) handle(message rpc.Message) {
	if message.Kind != KindUpdate || r.hasFailed {
		return
	}
	if err := r.subscriber.apply(message.Payload); err != nil {
		r.hasFailed = true
		r.malformed <- err
		return
	}
	select {
	case r.received <- struct{}{}:
	default:
	}
}

// subscribe asks a publisher for what the view lacks.
func (s *Subscriber) subscribe(ctx context.Context, conn *rpc.Conn) error {
	request := SubscribeRequest{Revision: s.View.Revision(), ClusterID: s.View.ClusterID()}
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	_, err := conn.Call(ctx, KindSubscribe, request.Encode())
	return err
}

// awaitEnd waits until a subscription ends or brings nothing for too long. An error is that of an update that can't be decoded.
func (r *updateReader) awaitEnd(ctx context.Context, conn *rpc.Conn) error {
	timeout := time.NewTimer(subscriptionTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-r.received:
			timeout.Reset(subscriptionTimeout)
		case err := <-r.malformed:
			return err
		case <-timeout.C:
			return nil
		case <-conn.Done():
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// apply merges an encoded update and tells OnChange what it changed. One that can't be decoded changes nothing.
func (s *Subscriber) apply(payload []byte) error {
	update, err := DecodeUpdate(payload)
	if err != nil {
		return err
	}
	changed := s.View.Merge(update)
	if len(changed) > 0 && s.OnChange != nil {
		s.OnChange(changed)
	}
	return nil
}

// logMalformedUpdate writes into the log, once for each publisher, that it sent an update that can't be decoded. The next
// subscription asks for what it carried.
func (s *Subscriber) logMalformedUpdate(address string, err error) {
	if s.loggedMalformed[address] {
		return
	}
	if s.loggedMalformed == nil {
		s.loggedMalformed = map[string]bool{}
	}
	s.loggedMalformed[address] = true
	logrus.WithError(err).WithFields(logrus.Fields{"code": uint16(codes.Malformed), "publisher": address}).
		Error("a publisher sent an update that can't be decoded; the subscription begins anew")
}

// logForeignPublisher writes into the log, once, that a publisher serves another cluster.
func (s *Subscriber) logForeignPublisher(address string) {
	if s.loggedForeign {
		return
	}
	s.loggedForeign = true
	logrus.WithFields(logrus.Fields{"code": uint16(codes.DiskForeign), "publisher": address, "own_cluster_id": s.View.ClusterID()}).
		Error("a publisher serves another cluster; its views are rejected")
}
