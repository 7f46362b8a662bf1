package rpc

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// The SYN packet to a machine that is not up yet is lost. A later attempt connects as soon as the machine is up.
func TestHedgedDialSurvivesALostSYN(t *testing.T) {
	var attempts atomic.Int32
	here, there := net.Pipe()
	defer there.Close()
	socket, err := dialHedged(t.Context(), func(ctx context.Context) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-ctx.Done() // the SYN packet is lost
			return nil, ctx.Err()
		}
		return here, nil
	})
	if err != nil || socket != here {
		t.Fatal(socket, err)
	}
}

func TestRefusedDialEndsImmediately(t *testing.T) {
	refused := errors.New("refused")
	var attempts atomic.Int32
	_, err := dialHedged(t.Context(), func(context.Context) (net.Conn, error) {
		attempts.Add(1)
		return nil, refused
	})
	if !errors.Is(err, refused) || attempts.Load() != 1 {
		t.Fatal(err, attempts.Load())
	}
}

// One-way messages that are sent while a connection is being opened arrive in order. After a restart, other processes wait for the first
// one.
func TestMessagesSentDuringADialArriveInOrder(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	arrived := make(chan uint64, 8)
	go Serve(listener, func(m Message) {
		d := codec.NewDecoder(m.Payload)
		arrived <- d.Uint64()
		m.Answer(codes.OK, nil)
	})
	client := NewClient(listener.Addr().String(), nil)
	defer client.Close()
	for number := range uint64(5) {
		var e codec.Encoder
		e.Uint64(number)
		client.Send(7, e.Bytes)
	}
	for number := range uint64(5) {
		if got := <-arrived; got != number {
			t.Fatalf("received message %d, expected message %d", got, number)
		}
	}
}

func TestPendingMessagesAreBounded(t *testing.T) {
	var pending pendingMessages
	for range 3 * maxPendingMessages {
		pending.add(7, []byte("x"))
	}
	pending.add(7, make([]byte, maxPendingBytes))
	if len(pending.messages) != maxPendingMessages || pending.bytes != maxPendingMessages {
		t.Fatalf("%d messages of %d bytes", len(pending.messages), pending.bytes)
	}
	pending.clear()
	pending.add(7, make([]byte, maxPendingBytes+1))
	if len(pending.messages) != 0 {
		t.Fatal("a message longer than the limit was kept")
	}
}

// A process that starts shortly after a failed dial receives the messages that were sent to it since that dial.
func TestMessageSentAfterAFailedDialArrives(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := NewClient(address, nil)
	defer client.Close()
	if _, err := client.Call(t.Context(), 7, nil); !errors.Is(err, codes.LinkBroken) {
		t.Fatal(err)
	}
	reopened, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer reopened.Close()
	arrived := make(chan struct{}, 1)
	go Serve(reopened, func(Message) { arrived <- struct{}{} })
	client.Send(7, nil)
	<-arrived
}

// A connection is unresponsive only if it has received nothing since the call was sent and the call has been pending for the timeout.
func TestUnresponsiveConnection(t *testing.T) {
	const sentAt = time.Second
	for name, test := range map[string]struct {
		now, lastReadAt time.Duration
		want            bool
	}{
		"nothing since the call":   {sentAt + unresponsiveTimeout, 900 * time.Millisecond, true},
		"something since the call": {sentAt + unresponsiveTimeout, 1100 * time.Millisecond, false},
		"too early to tell":        {sentAt + unresponsiveTimeout - 1, 0, false},
	} {
		if got := isUnresponsive(sentAt, test.now, test.lastReadAt); got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A connection that receives nothing while a call is pending is closed.
func TestUnresponsiveConnectionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go Serve(listener, func(Message) {}) // never answers
	conn, err := Dial(t.Context(), listener.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	call, cancel := context.WithTimeout(t.Context(), unresponsiveTimeout+50*time.Millisecond)
	defer cancel()
	if _, err := conn.Call(call, 7, nil); !errors.Is(err, codes.Timeout) {
		t.Fatal(err)
	}
	<-conn.Done()
}
