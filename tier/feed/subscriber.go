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

	loggedForeign bool // owned by the goroutine of Run
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
	received := make(chan struct{}, 1)
	conn, err := rpc.Dial(ctx, address, func(message rpc.Message) {
		if message.Kind != KindUpdate {
			return
		}
		s.apply(message.Payload)
		select {
		case received <- struct{}{}:
		default:
		}
	})
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
	awaitEnd(ctx, conn, received)
}

// subscribe asks a publisher for what the view lacks.
func (s *Subscriber) subscribe(ctx context.Context, conn *rpc.Conn) error {
	request := SubscribeRequest{Revision: s.View.Revision(), ClusterID: s.View.ClusterID()}
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	_, err := conn.Call(ctx, KindSubscribe, request.Encode())
	return err
}

// awaitEnd waits until a subscription ends or brings nothing for too long.
func awaitEnd(ctx context.Context, conn *rpc.Conn, received <-chan struct{}) {
	timeout := time.NewTimer(subscriptionTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-received:
			timeout.Reset(subscriptionTimeout)
		case <-timeout.C:
			return
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// apply merges an encoded update and tells OnChange what it changed. One that cannot be read is skipped.
func (s *Subscriber) apply(payload []byte) {
	update, err := DecodeUpdate(payload)
	if err != nil {
		return
	}
	changed := s.View.Merge(update)
	if len(changed) > 0 && s.OnChange != nil {
		s.OnChange(changed)
	}
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
