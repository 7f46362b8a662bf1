package feed

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterseam/tier/rpc"
)

func TestMergeNeverGoesBack(t *testing.T) {
	v := NewView()
	v.Merge(Update{Revision: 5, Snapshot: true, Items: []Item{{Section: SectionConfig, Key: "k", Revision: 5, Data: []byte("new")}}})
	v.Merge(Update{Revision: 3, Snapshot: true, Items: []Item{{Section: SectionConfig, Key: "k", Revision: 3, Data: []byte("old")}}})
	if data, _ := v.Get(SectionConfig, "k"); string(data) != "new" || v.Revision() != 5 {
		t.Fatalf("%q at %d", data, v.Revision())
	}
}

func TestAWholeUpdateRemovesWhatItLacks(t *testing.T) {
	v := NewView()
	v.Put(SectionHost, "gone", 1, []byte("x"))
	changed := v.Merge(Update{Revision: 9, Snapshot: true, Items: []Item{{Section: SectionHost, Key: "here", Revision: 7, Data: []byte("y")}}})
	if len(v.All(SectionHost)) != 1 || len(changed) != 2 {
		t.Fatalf("%d hosts, %d changes", len(v.All(SectionHost)), len(changed))
	}
}

// One that was filled by a whole update does not know what was deleted before: who lags behind that gets all.
func TestDeletionsReachASubscriberThroughAFreshCopy(t *testing.T) {
	source, proxy := NewView(), NewView()
	source.Put(SectionHost, "leaves", 1, []byte("x"))
	source.Put(SectionHost, "stays", 2, []byte("y"))
	proxy.Merge(source.Since(0))
	source.Delete(SectionHost, "leaves", 3)
	source.Put(SectionHost, "comes", 4, []byte("z"))
	agent := NewView() // the process between them was started again
	agent.Merge(source.Since(0))
	proxy.Merge(agent.Since(proxy.Revision()))
	if _, held := proxy.Get(SectionHost, "leaves"); held || len(proxy.All(SectionHost)) != 2 {
		t.Fatalf("%+v", proxy.All(SectionHost))
	}
}

// All that changed at a revision is seen at it, or nothing of it.
func TestChangesOfOneRevisionAreSeenTogether(t *testing.T) {
	v := NewView()
	const revisions = 2000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for revision := uint64(1); revision <= revisions; revision++ {
			v.PutAll(revision, Item{Section: SectionHost, Key: "a", Data: []byte{1}}, Item{Section: SectionConfig, Key: "b", Data: []byte{2}})
		}
	}()
	for seen := uint64(0); seen < revisions; {
		update := v.Since(seen)
		if update.Revision > seen && len(update.Items) != 2 {
			t.Fatalf("%d items at revision %d", len(update.Items), update.Revision)
		}
		seen = update.Revision
	}
	<-done
}

func TestPrivateSectionsAreNotDistributed(t *testing.T) {
	v := NewView()
	v.Put(SectionRetirement, "4", 1, []byte("hash"))
	v.Put(SectionHost, "h", 2, []byte("x"))
	if update := v.Since(0); len(update.Items) != 1 || update.Items[0].Section != SectionHost {
		t.Fatalf("%+v", update.Items)
	}
	if len(v.Export().Items) != 2 {
		t.Fatal("a snapshot lacks the private section")
	}
}

// Whatever changes and however seldom a subscriber asks, it ends with the same items as the source.
func TestASubscriberFollowsItsSource(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source, copied := NewView(), NewView()
		for revision := range uint64(rapid.IntRange(1, 1500).Draw(rt, "changes")) {
			key := fmt.Sprint(rapid.IntRange(0, 700).Draw(rt, "key"))
			if rapid.IntRange(0, 2).Draw(rt, "delete") == 0 {
				source.Delete(SectionHost, key, revision+1)
			} else {
				source.Put(SectionHost, key, revision+1, []byte(fmt.Sprint(revision)))
			}
			if rapid.IntRange(0, 40).Draw(rt, "ask") == 0 {
				follow(rt, source, copied)
			}
		}
		follow(rt, source, copied)
		want, got := source.All(SectionHost), copied.All(SectionHost)
		if len(want) != len(got) {
			rt.Fatalf("%d items, not %d", len(got), len(want))
		}
		for i := range want {
			if want[i].Key != got[i].Key || string(want[i].Data) != string(got[i].Data) {
				rt.Fatalf("item %+v, not %+v", got[i], want[i])
			}
		}
	})
}

func follow(rt *rapid.T, source, copied *View) {
	update, err := DecodeUpdate(source.Since(copied.Revision()).Encode())
	if err != nil {
		rt.Fatal(err)
	}
	copied.Merge(update)
}

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

// wait waits until a view holds a value.
func wait(t *testing.T, v *View, key, want string) {
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

// A subscriber leaves a publisher that is no longer fresh and goes on at another.
func TestASubscriberLeavesAStalePublisher(t *testing.T) {
	stale, fresh := NewView(), NewView()
	stale.Put(SectionHost, "h", 1, []byte("one"))
	fresh.Put(SectionHost, "h", 1, []byte("one"))
	isStale := make(chan struct{})
	first := &Publisher{View: stale, IsFresh: func() bool {
		select {
		case <-isStale:
			return false
		default:
			return true
		}
	}}
	second := &Publisher{View: fresh}
	firstAddress, secondAddress := listen(t, first.Handle), listen(t, second.Handle)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	copied := NewView()
	addresses := make(chan []string, 1)
	addresses <- []string{firstAddress}
	current := []string{firstAddress}
	s := &Subscriber{View: copied, Addresses: func() []string {
		select {
		case current = <-addresses:
		default:
		}
		return current
	}}
	go s.Run(ctx)
	wait(t, copied, "h", "one")
	addresses <- []string{firstAddress, secondAddress}
	close(isStale)
	fresh.Put(SectionHost, "h", 2, []byte("two"))
	wait(t, copied, "h", "two")
}

// A publisher that may serve no longer ends its subscriptions at once, though nothing changes and no update is due.
func TestAPublisherThatExpiresEndsItsSubscriptions(t *testing.T) {
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
		t.Fatal("the subscription goes on")
	}
}
