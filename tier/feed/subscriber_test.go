package feed

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

func listen(t *testing.T, handler rpc.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go rpc.Serve(listener, handler)
	return listener.Addr().String()
}

// awaitHost waits until a view contains a host with the given data.
func awaitHost(t *testing.T, v *View, key, want string) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		changed := v.Changed()
		if data, _ := v.Get(SectionHost, key); string(data) == want {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("%s never became %q", key, want)
		}
	}
}

func TestSubscriberLeavesAStalePublisher(t *testing.T) {
	stale, fresh := NewView(), NewView()
	stale.Put(SectionHost, "h", 1, []byte("one"))
	fresh.Put(SectionHost, "h", 1, []byte("one"))
	staleNow := make(chan struct{})
	first := &Publisher{View: stale, IsFresh: func() bool {
		select {
		case <-staleNow:
			return false
		default:
			return true
		}
	}}
	second := &Publisher{View: fresh}
	firstAddress, secondAddress := listen(t, first.Handle), listen(t, second.Handle)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	replica := NewView()
	addresses := make(chan []string, 1)
	addresses <- []string{firstAddress}
	current := []string{firstAddress}
	s := &Subscriber{View: replica, Addresses: func() []string {
		select {
		case current = <-addresses:
		default:
		}
		return current
	}}
	go s.Run(ctx)
	awaitHost(t, replica, "h", "one")
	addresses <- []string{firstAddress, secondAddress}
	close(staleNow)
	fresh.Put(SectionHost, "h", 2, []byte("two"))
	awaitHost(t, replica, "h", "two")
}

// An update that can't be decoded ends its subscription, and no later update of that subscription is merged. The next subscription
// requests the lost items again.
func TestMalformedUpdateIsRequestedAgain(t *testing.T) {
	lost := Update{Revision: 2, Items: []Item{{Section: SectionHost, Key: "lost", Revision: 2, Data: []byte("two")}}}
	later := Update{Revision: 3, Items: []Item{{Section: SectionHost, Key: "later", Revision: 3, Data: []byte("three")}}}
	var subscriptions atomic.Int32
	address := listen(t, func(message rpc.Message) {
		request, err := DecodeSubscribeRequest(message.Payload)
		if err != nil {
			t.Error(err)
		}
		isFirst := subscriptions.Add(1) == 1
		message.Answer(codes.OK, nil)
		if isFirst {
			message.Conn.Send(KindUpdate, lost.Encode()[:len(lost.Encode())-1])
			message.Conn.Send(KindUpdate, later.Encode())
			return
		}
		if request.Revision >= lost.Revision {
			t.Errorf("subscribed from revision %d, after the lost update", request.Revision)
		}
		message.Conn.Send(KindUpdate, lost.Encode())
		message.Conn.Send(KindUpdate, later.Encode())
	})
	view := NewView()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { (&Subscriber{View: view, Addresses: func() []string { return []string{address} }}).Run(ctx) })
	awaitHost(t, view, "later", "three")
	awaitHost(t, view, "lost", "two")
	cancel()
	running.Wait()
}

// Expire ends the subscriptions immediately, without waiting for a change or a keep-alive.
func TestExpireEndsSubscriptionsImmediately(t *testing.T) {
	view := NewView()
	view.Put(SectionHost, "h", 1, []byte("one"))
	publisher := &Publisher{View: view}
	updated := make(chan struct{}, 1)
	conn, err := rpc.Dial(context.Background(), listen(t, publisher.Handle), func(message rpc.Message) {
		if message.Kind == KindUpdate {
			select {
			case updated <- struct{}{}:
			default:
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Call(context.Background(), KindSubscribe, make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	<-updated
	publisher.Expire()
	select {
	case <-conn.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the subscription is still open")
	}
}

func TestPublisherRejectsSubscriptions(t *testing.T) {
	view := viewOfCluster(7, 1, "config")
	never := func() bool { return false }
	for name, test := range map[string]struct {
		publisher *Publisher
		request   []byte
		want      codes.Code
	}{
		"request cut short":             {&Publisher{View: view}, make([]byte, 15), codes.Malformed},
		"publisher not fresh":           {&Publisher{View: view, IsFresh: never}, SubscribeRequest{}.Encode(), codes.SubscriptionStale},
		"subscriber of another cluster": {&Publisher{View: view}, SubscribeRequest{ClusterID: 8}.Encode(), codes.DiskForeign},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := rpc.Dial(t.Context(), listen(t, test.publisher.Handle), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Call(t.Context(), KindSubscribe, test.request); !errors.Is(err, test.want) {
				t.Fatalf("answered %v, not %v", err, test.want)
			}
		})
	}
}

// A subscriber moves to another publisher while its current one is up. It misses no update, as it opens the next subscription before it
// closes the current one. It stays if no other publisher accepts a subscription.
func TestSubscriberRotatesPublishers(t *testing.T) {
	first, second := NewView(), NewView()
	firstAddress := listen(t, (&Publisher{View: first}).Handle)
	var subscribed sync.Once
	atSecond := make(chan struct{})
	publisher := &Publisher{View: second}
	secondAddress := listen(t, func(message rpc.Message) {
		subscribed.Do(func() { close(atSecond) })
		publisher.Handle(message)
	})
	refusing := listen(t, func(message rpc.Message) { message.Answer(codes.SubscriptionStale, nil) })
	first.Put(SectionHost, "h", 1, []byte("one"))
	second.Put(SectionHost, "h", 1, []byte("one"))

	var addresses atomic.Pointer[[]string]
	addresses.Store(&[]string{firstAddress, firstAddress, refusing})
	replica := NewView()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	s := &Subscriber{View: replica, Addresses: func() []string { return *addresses.Load() }, RotateAfter: 20 * time.Millisecond}
	running.Go(func() { s.Run(ctx) })
	awaitHost(t, replica, "h", "one")
	first.Put(SectionHost, "h", 2, []byte("two"))
	awaitHost(t, replica, "h", "two")
	second.Put(SectionHost, "h", 3, []byte("three"))
	addresses.Store(&[]string{firstAddress, secondAddress})
	<-atSecond
	awaitHost(t, replica, "h", "three")
	cancel()
	running.Wait()
}

func TestRotationDelaysAreSpread(t *testing.T) {
	s := &Subscriber{RotateAfter: 10 * time.Second}
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		delay := s.rotationDelay()
		shortest, longest = min(shortest, delay), max(longest, delay)
	}
	if shortest < 5*time.Second || shortest > 6*time.Second || longest > 15*time.Second || longest < 14*time.Second {
		t.Fatalf("from %v to %v", shortest, longest)
	}
	if delay := (&Subscriber{}).rotationDelay(); delay < 24*time.Hour {
		t.Fatalf("a subscriber without RotateAfter moves after %v", delay)
	}
}
