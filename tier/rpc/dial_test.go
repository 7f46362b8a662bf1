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
func TestADialOutlivesALostOpeningPacket(t *testing.T) {
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

func TestADialThatIsTurnedDownEndsAtOnce(t *testing.T) {
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
func TestMessagesSentDuringADialArrive(t *testing.T) {
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

func TestHeldMessagesAreBounded(t *testing.T) {
	var held heldMessages
	for range 3 * mostHeld {
		held.add(7, []byte("x"))
	}
	held.add(7, make([]byte, mostHeldBytes))
	if len(held.messages) != mostHeld || held.bytes != mostHeld {
		t.Fatalf("%d messages of %d bytes", len(held.messages), held.bytes)
	}
	held.clear()
	held.add(7, make([]byte, mostHeldBytes+1))
	if len(held.messages) != 0 {
		t.Fatal("a message longer than the bound is held")
	}
}

// A process that comes up a moment after it was dialled gets what was sent to it meanwhile.
func TestAMessageOutlivesADialThatFailedAMomentAgo(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
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

// A connection on which nothing comes while an answer is due is given up; one that brings anything at all is not.
func TestASilentConnectionIsGivenUp(t *testing.T) {
	for _, step := range []struct {
		sentAt, now, heardAt time.Duration
		dead                 bool
	}{
		{time.Second, time.Second + deadAfter, 900 * time.Millisecond, true},
		{time.Second, time.Second + deadAfter, 1100 * time.Millisecond, false},
		{time.Second, time.Second + deadAfter - 1, 0, false},
	} {
		if got := seemsDead(step.sentAt, step.now, step.heardAt); got != step.dead {
			t.Errorf("%+v: %v", step, got)
		}
	}
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
	call, cancel := context.WithTimeout(t.Context(), deadAfter+50*time.Millisecond)
	defer cancel()
	if _, err := conn.Call(call, 7, nil); !errors.Is(err, codes.Timeout) {
		t.Fatal(err)
	}
	<-conn.Done()
}
