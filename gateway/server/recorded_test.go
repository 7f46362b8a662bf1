package server

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"otterseam/gateway/http1"
	"otterseam/gateway/membership"
	"otterseam/gateway/policy"
	"otterseam/harness/leakcheck"
	"otterseam/quotastore/protocol"
	"otterseam/quotastore/statemachine"
)

// recordedBytes returns the contents of a file of testdata/recorded. The bytes were recorded from the code of commit 1895881.
func recordedBytes(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata/recorded", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// recordedCalls makes the recorded calls on one counter connection, and returns the bytes to be sent and the calls.
func recordedCalls(t *testing.T) (text []byte, calls []*counterCall) {
	t.Helper()
	conn := &counterConn{connected: true, wake: make(chan struct{}, 1)}
	for _, c := range []struct {
		name         uint64
		amount, life float64
	}{{1<<64 - 1, 0.1, 60}, {9041552, -3.25, 0.0001}, {0, 1e9, 1.5}} {
		call := &counterCall{name: c.name, amount: c.amount}
		if !conn.enqueue(call, c.amount, c.life) {
			t.Fatal("a call was not enqueued")
		}
		if call.endOffset != int64(len(conn.pending)) {
			t.Errorf("a call ends at byte %d, but %d bytes are pending", call.endOffset, len(conn.pending))
		}
		calls = append(calls, call)
	}
	return conn.pending, calls
}

func TestCounterCallsMatchRecordedBytes(t *testing.T) {
	text, calls := recordedCalls(t)
	if want := recordedBytes(t, "counter-calls.bin"); !bytes.Equal(text, want) {
		t.Errorf("sent bytes\n%s\nwant\n%s", text, want)
	}
	replies := recordedBytes(t, "counter-answers.bin")
	var m http1.Message
	m.Reset(make([]byte, http1.SmallBufferBytes), true)
	n := copy(m.Space(), replies)
	for i, want := range []struct {
		outcome policy.Outcome
		total   float64
	}{{policy.Succeeded, 41.125}, {policy.Rejected, 0}, {policy.Rejected, 0}} {
		complete, err := m.Advance(n)
		if !complete || err != nil {
			t.Fatal(i, complete, err)
		}
		if call := calls[i]; !call.parseReply(&m) || call.outcome != want.outcome || call.total != want.total {
			t.Errorf("reply %d was parsed as %v, %v", i, call.outcome, call.total)
		}
		n = m.Next()
	}
	if n != 0 {
		t.Errorf("%d bytes left after the replies", n)
	}
}

// A gateway sends the messages of its membership and its module to its peers without adding anything.
func TestDatagramsMatchRecordedBytes(t *testing.T) {
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	p, err := NewPeerSocket(nil, PeerOptions{Listen: "127.0.0.1:0", Addrs: []string{"127.0.0.1:1", peer.LocalAddr().String()}})
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 10)
	p.onReceive = func(from int, text string) { received <- strconv.Itoa(from) + text }
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = p.Write(ctx) }()
	go func() { _ = p.Read(ctx) }()
	buffer := make([]byte, 300)
	for i, text := range bytes.Split(recordedBytes(t, "datagrams.bin"), []byte("\n")) {
		p.send([]int{1, membership.Broadcast}[i%2], string(text))
		_ = peer.SetReadDeadline(time.Now().Add(3 * time.Second))
		n, _, err := peer.ReadFrom(buffer)
		if err != nil || !bytes.Equal(buffer[:n], text) {
			t.Errorf("the peer received %q (%v), want %q", buffer[:n], err, text)
		}
		if _, err := peer.WriteTo(text, p.udp.LocalAddr()); err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-received:
			if got != "1"+string(text) {
				t.Errorf("received %q, want %q", got, text)
			}
		case <-time.After(3 * time.Second):
			t.Errorf("%q was not received", text)
		}
	}
}

// storeStream connects a stream to a fake store and sends a marker request and metered usage. It returns the stream, its event loop
// and the store's end of the connection.
func storeStream(t *testing.T) (stream *StoreStream, loop *EventLoop, storeEnd net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, stop := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	loop = NewEventLoop(zerolog.Nop())
	stream = NewStoreStream(ctx, group, loop, nil, StoreOptions{Servers: []string{listener.Addr().String()}, Name: "edge-3.7f00ba12"})
	storeEnd, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		storeEnd.Close()
		_ = group.Wait()
	})
	_ = storeEnd.SetDeadline(time.Now().Add(10 * time.Second))
	for until := time.Now().Add(10 * time.Second); !stream.isConnected(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the stream is not connected")
		}
	}
	stream.client.AcquireMarker("fc64a7745d3a91c4", "pool-a", 0.5)
	stream.client.MeterUsage("gold 0011", 2.5)
	stream.send(stream.client.TakeRequests(1))
	return stream, loop, storeEnd
}

func TestStoreStreamMatchesRecordedBytes(t *testing.T) {
	leakcheck.Check(t)
	stream, loop, storeEnd := storeStream(t)
	want := recordedBytes(t, "store-asks.bin")
	got := make([]byte, len(want))
	if _, err := io.ReadFull(storeEnd, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("sent\n%x (%v)\nwant\n%x", got, err, want)
	}
	// The recorded response reports that the store has let this gateway's lease expire.
	if _, err := storeEnd.Write(recordedBytes(t, "store-replies.bin")); err != nil {
		t.Fatal(err)
	}
	select {
	case event := <-loop.queue:
		event()
	case <-time.After(10 * time.Second):
		t.Fatal("the recorded response was not received")
	}
	if stream.client.LeaseLosses() != 1 || stream.client.Holder() != "edge-3.7f00ba12.1" {
		t.Errorf("after the recorded response: %d lost leases, holder %s", stream.client.LeaseLosses(), stream.client.Holder())
	}
}

// recordedReplies returns the response frame that the recording holds.
func recordedReplies() *protocol.Frame {
	return protocol.ResponsesFrame([]protocol.Response{{Group: -1, RequestID: 2, Reply: statemachine.Reply{Code: statemachine.LeaseExpired, Clock: math.Pi}}})
}

func TestStoreRepliesMatchRecordedBytes(t *testing.T) {
	got, err := recordedReplies().AppendTo(nil)
	if want := recordedBytes(t, "store-replies.bin"); err != nil || !bytes.Equal(got, want) {
		t.Errorf("encoded\n%x (%v)\nwant\n%x", got, err, want)
	}
}
