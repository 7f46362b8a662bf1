package feed

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/internal/recorded"
	"otterseam/tier/rpc"
)

const recordedClusterID = uint64(0xfedcba9876543210)

func recordedUpdate() Update {
	return Update{
		ClusterID: recordedClusterID, Revision: 0x0102030405060708, Snapshot: true,
		Items: []Item{
			{Section: SectionConfig, Key: "current", Revision: 1, Data: []byte("\x00\x00\x00\x00\x00\x00\x00\x05{}")},
			{Section: SectionHost, Key: "host-1", Revision: 2, Data: []byte("a host")},
			{Section: SectionStore, Key: "102030405060708", Revision: 3, Data: []byte("a store")},
			{Section: SectionShard, Key: "37", Revision: 4, Data: []byte("a shard")},
			{Section: SectionControl, Key: "current", Revision: 5, Data: []byte("members")},
			{Section: SectionRetirement, Key: "store-a", Revision: 6, Data: []byte("a retirement")},
			{Section: SectionEjection, Key: "host-1", Revision: 0x1112131415161718, Data: []byte("a term")},
			{Section: SectionHost, Key: "host-2", Revision: 7, Deleted: true, Data: []byte{}},
		},
	}
}

func TestRecordedUpdate(t *testing.T) {
	recorded.CheckBoth(t, "update", recordedUpdate(), Update.Encode, DecodeUpdate)
}

// recordedView returns a view with public and private items and a tombstone.
func recordedView() *View {
	view := NewView()
	view.SetClusterID(recordedClusterID)
	for _, item := range recordedUpdate().Items[:7] {
		view.Put(item.Section, item.Key, min(item.Revision, 9), item.Data)
	}
	view.Put(SectionHost, "host-2", 10, []byte("another host"))
	view.Delete(SectionHost, "host-1", 11)
	return view
}

// The updates for a new subscriber and for one that lags, and the exported snapshot, equal the recordings. Views restored or merged from
// the recordings are encoded to the same bytes again.
func TestRecordedView(t *testing.T) {
	view := recordedView()
	all, _ := view.SinceEncoded(0)
	recorded.Check(t, "since-0", all)
	changes, upTo := view.SinceEncoded(4)
	recorded.Check(t, "since-4", changes)
	if upTo != 11 {
		t.Fatalf("up to %d", upTo)
	}
	recorded.Check(t, "export", view.Export().Encode())

	update, err := DecodeUpdate(recorded.Read(t, "export"))
	if err != nil {
		t.Fatal(err)
	}
	restored := NewView()
	restored.Restore(update)
	recorded.Check(t, "export", restored.Export().Encode())
	merged := NewView()
	for _, name := range []string{"since-0", "since-4"} {
		if err := (&Subscriber{View: merged}).apply(recorded.Read(t, name)); err != nil {
			t.Error(err)
		}
	}
	reencoded, _ := merged.SinceEncoded(0)
	recorded.Check(t, "since-0", reencoded)
}

// recordedServer starts a server that calls handler for each message. It returns its address.
func recordedServer(t *testing.T, handler rpc.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go rpc.Serve(listener, handler)
	return listener.Addr().String()
}

// A subscriber sends the recorded request and merges the recorded update.
func TestRecordedSubscription(t *testing.T) {
	requests := make(chan []byte, 16)
	address := recordedServer(t, func(m rpc.Message) {
		if m.Kind == KindSubscribe {
			requests <- m.Payload
			m.Answer(codes.OK, nil)
			m.Conn.Send(KindUpdate, recorded.Read(t, "since-4"))
		}
	})
	view := NewView()
	if err := (&Subscriber{View: view}).apply(recorded.Read(t, "since-0")); err != nil {
		t.Error(err)
	}
	view.revision = 4 // as if the later updates had not been received
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	changed := view.Changed()
	subscriber := &Subscriber{View: view, Addresses: func() []string { return []string{address} }}
	go subscriber.Run(ctx)
	recorded.Check(t, "subscribe", <-requests)
	select {
	case <-changed:
	case <-ctx.Done():
		t.Fatal("the recorded update was not merged")
	}
	if view.Revision() != 11 {
		t.Fatalf("revision %d", view.Revision())
	}
}

// A publisher accepts the recorded request and sends the recorded update.
func TestRecordedPublication(t *testing.T) {
	publisher := &Publisher{View: recordedView()}
	address := recordedServer(t, publisher.Handle)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	updates := make(chan rpc.Message, 16)
	conn, err := rpc.Dial(ctx, address, func(m rpc.Message) { updates <- m })
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if answer, err := conn.Call(ctx, KindSubscribe, recorded.Read(t, "subscribe")); err != nil || len(answer) > 0 {
		t.Fatalf("%q, %v", answer, err)
	}
	select {
	case m := <-updates:
		if m.Kind != KindUpdate || m.IsCall() {
			t.Errorf("not a one-way update: %+v", m)
		}
		recorded.Check(t, "since-4", m.Payload)
	case <-ctx.Done():
		t.Fatal("no update was received")
	}
}

// The numbers of the message kinds and of the sections equal the recorded ones.
func TestRecordedKinds(t *testing.T) {
	var numbers []byte
	for _, kind := range []rpc.Kind{KindSubscribe, KindUpdate} {
		numbers = binary.BigEndian.AppendUint16(numbers, uint16(kind))
	}
	for section := Section(1); section <= SectionEjection; section++ {
		numbers = append(numbers, byte(section))
		if section.isPublic() {
			numbers = append(numbers, 'p')
		}
	}
	recorded.Check(t, "kinds", numbers)
}
