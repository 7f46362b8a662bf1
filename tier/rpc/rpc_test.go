package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"otterseam/tier/codes"
)

const (
	kindEcho   Kind = 900
	kindRefuse Kind = 901
	kindHang   Kind = 902
)

func serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go Serve(listener, func(m Message) {
		switch m.Kind {
		case kindEcho:
			go m.Answer(codes.OK, m.Payload)
		case kindRefuse:
			m.Answer(codes.NotPrimary, []byte("elsewhere"))
		}
	})
	return listener.Addr().String()
}

func limited(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	client := NewClient(serve(t), nil)
	defer client.Close()
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			text := fmt.Sprint(i)
			got, err := client.Call(limited(t, 10*time.Second), kindEcho, []byte(text))
			if err != nil || string(got) != text {
				t.Errorf("call %s got %q, %v", text, got, err)
			}
		}()
	}
	wait.Wait()
}

func TestCallReturnsTheCodeAsTheError(t *testing.T) {
	client := NewClient(serve(t), nil)
	defer client.Close()
	got, err := client.Call(limited(t, 10*time.Second), kindRefuse, nil)
	if !errors.Is(err, codes.NotPrimary) || string(got) != "elsewhere" {
		t.Fatalf("%q, %v", got, err)
	}
}

func TestCallWithoutAnAnswerEndsWithItsContext(t *testing.T) {
	client := NewClient(serve(t), nil)
	defer client.Close()
	if _, err := client.Call(limited(t, 20*time.Millisecond), kindHang, nil); !errors.Is(err, codes.Timeout) {
		t.Fatal(err)
	}
	if _, err := client.Call(limited(t, 10*time.Second), kindEcho, nil); err != nil {
		t.Fatalf("the connection is of no use: %v", err)
	}
}

func TestPendingCallsEndWithTheConnection(t *testing.T) {
	conn, err := Dial(limited(t, 10*time.Second), serve(t), nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Call(limited(t, 10*time.Second), kindHang, nil)
		ended <- err
	}()
	go conn.Close()
	if err := <-ended; !errors.Is(err, codes.LinkBroken) {
		t.Fatal(err)
	}
}

func TestCallToADeadAddressFailsAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := NewClient(address, nil).Call(limited(t, 10*time.Second), kindEcho, nil); !errors.Is(err, codes.LinkBroken) {
		t.Fatal(err)
	}
}

// A damaged length is told by its type, before any memory is taken for it.
func TestFrameBeyondTheLimitIsAFrameTooLargeError(t *testing.T) {
	for name, test := range map[string]struct {
		length   uint32
		tooLarge bool
	}{
		"largest":          {MaxFrame, false}, // cut short instead
		"one beyond":       {MaxFrame + 1, true},
		"largest possible": {math.MaxUint32, true},
	} {
		t.Run(name, func(t *testing.T) {
			head := appendFrame(nil, header{Kind: kindEcho, ID: 1}, nil)
			binary.BigEndian.PutUint32(head, test.length)
			_, _, err := readFrame(bytes.NewReader(head))
			var tooLarge *FrameTooLargeError
			if got := errors.As(err, &tooLarge); got != test.tooLarge {
				t.Fatalf("%v", err)
			}
			if test.tooLarge && (tooLarge.Length != test.length || !errors.Is(err, codes.Malformed)) {
				t.Fatalf("%+v", tooLarge)
			}
			if !test.tooLarge && !errors.Is(err, io.EOF) {
				t.Fatalf("%v", err)
			}
		})
	}
}

// Once a connection has ended at either end, its goroutines return at both.
func TestWaitReturnsWhenTheConnectionHasEnded(t *testing.T) {
	for name, end := range map[string]func(near, far *Conn){
		"closed here":  func(near, _ *Conn) { near.Close() },
		"closed there": func(_, far *Conn) { far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			near, far := openConn(here, func(Message) {}), openConn(there, func(Message) {})
			near.Send(kindEcho, []byte("on its way"))
			end(near, far)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				near.Wait()
				far.Wait()
			}()
			select {
			case <-ended:
			case <-time.After(10 * time.Second):
				t.Fatal("a goroutine of the connection runs on")
			}
		})
	}
}

// A peer that does not read loses the connection; the sender never waits.
func TestPeerThatDoesNotReadLosesTheConnection(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	conn := newConn(here, func(Message) {})
	payload := make([]byte, MaxFrame)
	for range 3 { // one may be with the writer, one in the queue
		conn.Send(kindEcho, payload)
	}
	select {
	case <-conn.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the connection goes on")
	}
	conn.Wait()
}

// A frame with a damaged length ends the connection and takes no memory for it.
func FuzzFrame(f *testing.F) {
	f.Add(appendFrame(nil, header{Kind: kindEcho, ID: 1}, []byte("payload")))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, payload, err := readFrame(&sliceReader{data})
		if err == nil && int(h.Length) != len(payload) {
			t.Fatalf("length %d, payload of %d bytes", h.Length, len(payload))
		}
	})
}

type sliceReader struct{ rest []byte }

func (r *sliceReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, errors.New("end")
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}
