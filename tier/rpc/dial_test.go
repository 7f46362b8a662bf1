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

// The opening packet to a machine that is not up yet is lost: a further attempt connects as soon as it is.
func TestHedgedDialOutlivesALostOpeningPacket(t *testing.T) {
	var attempts atomic.Int32
	here, there := net.Pipe()
	defer there.Close()
	socket, err := dialHedged(t.Context(), func(ctx context.Context) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-ctx.Done() // lost
			return nil, ctx.Err()
		}
		return here, nil
	})
	if err != nil || socket != here {
		t.Fatal(socket, err)
	}
}

func TestRefusedDialEndsAtOnce(t *testing.T) {
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

// What is sent while a connection is being opened arrives, in order; the first message is what others wait for after a restart.
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
			t.Fatalf("message %d came as number %d", got, number)
		}
	}
}

func TestPendingMessagesAreBounded(t *testing.T) {
	var held pendingMessages
	for range 3 * maxPendingMessages {
		held.add(7, []byte("x"))
	}
	held.add(7, make([]byte, maxPendingBytes))
	if len(held.messages) != maxPendingMessages || held.bytes != maxPendingMessages {
		t.Fatalf("%d messages of %d bytes", len(held.messages), held.bytes)
	}
	held.clear()
	held.add(7, make([]byte, maxPendingBytes+1))
	if len(held.messages) != 0 {
		t.Fatal("a message longer than the bound is held")
	}
}

// A process that comes up a moment after it was dialled gets what was sent to it meanwhile.
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
	again, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	arrived := make(chan struct{}, 1)
	go Serve(again, func(Message) { arrived <- struct{}{} })
	client.Send(7, nil)
	<-arrived
}

// A connection is unresponsive only when nothing has come since the call was sent, and the call has waited for long.
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

// A connection on which nothing comes while an answer is due is closed.
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
