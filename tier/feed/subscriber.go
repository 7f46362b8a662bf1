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
	// OnChange is called with the items that an update changed, one call at a time, by the reader of a connection; nil if not
	// wanted.
	OnChange func(items []Item)
	// RotateAfter is how long a subscription lasts on average before the subscriber moves to another publisher, so that the
	// subscribers of one that ended don't stay with the others for ever once it is back. 0: it stays.
	RotateAfter time.Duration

	merging sync.Mutex // held while an update is merged: for a moment there are two subscriptions when the subscriber moves

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

// follow serves subscriptions, from the one at an address on, until one ends or times out. A subscription that has lasted for long is
// kept until the next one stands.
func (s *Subscriber) follow(ctx context.Context, address string) {
	current := s.open(ctx, address)
	if current == nil {
		return
	}
	defer func() { current.conn.Close() }()
	for {
		isDue, err := current.awaitEnd(ctx, s.rotationDelay())
		if err != nil {
			s.logMalformedUpdate(current.address, err)
		}
		if !isDue {
			return
		}
		if next := s.open(ctx, s.otherAddress(current.address)); next != nil {
			current.conn.Close()
			current = next
		}
	}
}

// rotationDelay spreads the moves of many subscribers, also of those that subscribed in one instant.
func (s *Subscriber) rotationDelay() time.Duration {
	if s.RotateAfter == 0 {
		return math.MaxInt64
	}
	return s.RotateAfter/2 + rand.N(s.RotateAfter)
}

// otherAddress is that of a random publisher besides the present one; "" if there is none.
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

// open subscribes at a publisher; nil if it doesn't accept.
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

// subscription is one at a publisher.
type subscription struct {
	subscriber *Subscriber
	address    string
	conn       *rpc.Conn
	received   chan struct{} // tells that an update came
	malformed  chan error    // has the error of an update that can't be decoded

	hasFailed bool // owned by the reader of the connection
}

// handle merges an update. Behind one that can't be decoded nothing is merged: a later update would raise the view's revision, and
// what the lost one carried would not be asked for again.
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

// subscribe asks a publisher for what the view lacks.
func (s *Subscriber) subscribe(ctx context.Context, conn *rpc.Conn) error {
	request := SubscribeRequest{Revision: s.View.Revision(), ClusterID: s.View.ClusterID()}
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	_, err := conn.Call(ctx, KindSubscribe, request.Encode())
	return err
}

// awaitEnd waits until the subscription ends, brings nothing for too long, or has lasted for the time after which it is due to move.
// An error is that of an update that can't be decoded.
func (sub *subscription) awaitEnd(ctx context.Context, rotateAfter time.Duration) (isDue bool, err error) {
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

// apply merges an encoded update and tells OnChange what it changed. One that can't be decoded changes nothing.
func (s *Subscriber) apply(payload []byte) error {
	update, err := DecodeUpdate(payload)
	if err != nil {
		return err
	}
	s.merging.Lock()
	defer s.merging.Unlock()
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
