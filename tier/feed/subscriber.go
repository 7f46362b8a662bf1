package feed

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

const (
	// subscriptionTimeout is how long a subscription may receive no update before it is closed. It is more than three times
	// keepAliveInterval.
	subscriptionTimeout = 900 * time.Millisecond
	// subscribeTimeout is how long a publisher may take to answer a SubscribeRequest.
	subscribeTimeout = 700 * time.Millisecond
	// resubscribeDelay is the delay before the subscriber tries the next publisher.
	resubscribeDelay = 60 * time.Millisecond
	// maxFirstPosition is the upper bound of a subscriber's random first position in the list of publishers. Random positions spread the
	// subscribers over the publishers.
	maxFirstPosition = 1 << 16
)

// Subscriber keeps a view up to date by subscribing to one publisher at a time.
type Subscriber struct {
	View *View
	// Addresses returns the addresses of the publishers.
	Addresses func() []string
	// OnChange is called with the items that an update changed. Calls don't overlap. They run on the goroutine that reads the
	// connection. It may be nil.
	OnChange func(items []Item)
	// RotateAfter is how long a subscription lasts on average before the subscriber moves to another publisher. Without these moves, the
	// subscribers of a publisher that failed would stay with the other publishers forever, even after it is back. 0 disables the moves.
	RotateAfter time.Duration

	mergeMutex sync.Mutex // held while an update is merged, as two subscriptions are open during a move

	loggedForeign   bool            // owned by the goroutine of Run
	loggedMalformed map[string]bool // by publisher; owned by the goroutine of Run
}

// Run keeps the view subscribed until the context ends.
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

// follow subscribes to the publisher at an address and moves to another publisher whenever a rotation is due. It returns when a
// subscription fails, ends or times out. A move keeps the current subscription until the next one is established.
func (s *Subscriber) follow(ctx context.Context, address string) {
	current := s.open(ctx, address)
	if current == nil {
		return
	}
	defer func() { current.conn.Close() }()
	for {
		rotationDue, err := current.awaitEnd(ctx, s.rotationDelay())
		if err != nil {
			s.logMalformedUpdate(current.address, err)
		}
		if !rotationDue {
			return
		}
		if next := s.open(ctx, s.otherAddress(current.address)); next != nil {
			current.conn.Close()
			current = next
		}
	}
}

// rotationDelay returns a random delay, so that subscribers that subscribed at the same time don't move at the same time.
func (s *Subscriber) rotationDelay() time.Duration {
	if s.RotateAfter == 0 {
		return math.MaxInt64
	}
	return s.RotateAfter/2 + rand.N(s.RotateAfter)
}

// otherAddress returns the address of a random publisher other than the current one, or "" if there is none.
func (s *Subscriber) otherAddress(current string) string {
	var others []string
	for _, address := range s.Addresses() {
		if address != current && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// open subscribes to the publisher at an address. It returns nil if that fails.
func (s *Subscriber) open(ctx context.Context, address string) *subscription {
	if address == "" {
		return nil
	}
	opened := &subscription{subscriber: s, address: address, received: make(chan struct{}, 1), malformed: make(chan error, 1)}
	conn, err := rpc.Dial(ctx, address, opened.handle)
	if err != nil {
		return nil
	}
	if err := s.subscribe(ctx, conn); err != nil {
		conn.Close()
		if errors.Is(err, codes.DiskForeign) {
			s.logForeignPublisher(address)
		}
		return nil
	}
	opened.conn = conn
	return opened
}

// subscription is an open subscription to one publisher.
type subscription struct {
	subscriber *Subscriber
	address    string
	conn       *rpc.Conn
	received   chan struct{} // signals that an update was merged
	malformed  chan error    // receives the error of an update that can't be decoded

	hasFailed bool // an update could not be decoded; owned by the goroutine that reads the connection
}

// handle merges an update. After an update that can't be decoded it merges no further ones: a later update would raise the view's
// revision, and the items of the lost update would not be requested again.
func (sub *subscription) handle(message rpc.Message) {
	if message.Kind != KindUpdate || sub.hasFailed {
		return
	}
	if err := sub.subscriber.apply(message.Payload); err != nil {
		sub.hasFailed = true
		sub.malformed <- err
		return
	}
	select {
	case sub.received <- struct{}{}:
	default:
	}
}

// subscribe requests the updates after the view's revision from a publisher.
func (s *Subscriber) subscribe(ctx context.Context, conn *rpc.Conn) error {
	request := SubscribeRequest{Revision: s.View.Revision(), ClusterID: s.View.ClusterID()}
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	_, err := conn.Call(ctx, KindSubscribe, request.Encode())
	return err
}

// awaitEnd waits until the subscription ends, receives no update for subscriptionTimeout, or has lasted for rotateAfter, in which case
// it returns true. The error is that of an update that can't be decoded.
func (sub *subscription) awaitEnd(ctx context.Context, rotateAfter time.Duration) (rotationDue bool, err error) {
	rotation := time.NewTimer(rotateAfter)
	defer rotation.Stop()
	timeout := time.NewTimer(subscriptionTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-sub.received:
			timeout.Reset(subscriptionTimeout)
		case err := <-sub.malformed:
			return false, err
		case <-rotation.C:
			return true, nil
		case <-timeout.C:
			return false, nil
		case <-sub.conn.Done():
			return false, nil
		case <-ctx.Done():
			return false, nil
		}
	}
}

// apply merges an encoded update and calls OnChange with the changed items. An update that can't be decoded has no effect.
func (s *Subscriber) apply(payload []byte) error {
	update, err := DecodeUpdate(payload)
	if err != nil {
		return err
	}
	s.mergeMutex.Lock()
	defer s.mergeMutex.Unlock()
	changed := s.View.Merge(update)
	if len(changed) > 0 && s.OnChange != nil {
		s.OnChange(changed)
	}
	return nil
}

// logMalformedUpdate logs, once per publisher, that the publisher sent an update that can't be decoded. The next subscription requests
// the items of that update again.
func (s *Subscriber) logMalformedUpdate(address string, err error) {
	if s.loggedMalformed[address] {
		return
	}
	if s.loggedMalformed == nil {
		s.loggedMalformed = map[string]bool{}
	}
	s.loggedMalformed[address] = true
	logrus.WithError(err).WithFields(logrus.Fields{"code": uint16(codes.Malformed), "publisher": address}).
		Error("publisher sent an update that can't be decoded; resubscribing")
}

// logForeignPublisher logs, once, that a publisher belongs to another cluster.
func (s *Subscriber) logForeignPublisher(address string) {
	if s.loggedForeign {
		return
	}
	s.loggedForeign = true
	logrus.WithFields(logrus.Fields{"code": uint16(codes.DiskForeign), "publisher": address, "own_cluster_id": s.View.ClusterID()}).
		Error("publisher belongs to another cluster; it rejected the subscription")
}
