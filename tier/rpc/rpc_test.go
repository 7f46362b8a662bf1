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

	"otterseam/internal/bytebudget"
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

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
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
			got, err := client.Call(contextWithTimeout(t, 10*time.Second), kindEcho, []byte(text))
			if err != nil || string(got) != text {
				t.Errorf("call %s got %q, %v", text, got, err)
			}
		}()
	}
	wait.Wait()
}

func TestCallReturnsTheAnswerCodeAsError(t *testing.T) {
	client := NewClient(serve(t), nil)
	defer client.Close()
	got, err := client.Call(contextWithTimeout(t, 10*time.Second), kindRefuse, nil)
	if !errors.Is(err, codes.NotPrimary) || string(got) != "elsewhere" {
		t.Fatalf("%q, %v", got, err)
	}
}

func TestCallWithoutAnAnswerEndsWithItsContext(t *testing.T) {
	client := NewClient(serve(t), nil)
	defer client.Close()
	if _, err := client.Call(contextWithTimeout(t, 20*time.Millisecond), kindHang, nil); !errors.Is(err, codes.Timeout) {
		t.Fatal(err)
	}
	if _, err := client.Call(contextWithTimeout(t, 10*time.Second), kindEcho, nil); err != nil {
		t.Fatalf("a call after one that timed out failed: %v", err)
	}
}

func TestPendingCallsEndWithTheConnection(t *testing.T) {
	conn, err := Dial(contextWithTimeout(t, 10*time.Second), serve(t), nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Call(contextWithTimeout(t, 10*time.Second), kindHang, nil)
		ended <- err
	}()
	go conn.Close()
	if err := <-ended; !errors.Is(err, codes.LinkBroken) {
		t.Fatal(err)
	}
}

func TestCallToClosedAddressFailsImmediately(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := NewClient(address, nil).Call(contextWithTimeout(t, 10*time.Second), kindEcho, nil); !errors.Is(err, codes.LinkBroken) {
		t.Fatal(err)
	}
}

// A length above the limit returns a FrameTooLargeError before memory is allocated for the payload.
func TestOversizedFrameIsAFrameTooLargeError(t *testing.T) {
	for name, test := range map[string]struct {
		length   uint32
		tooLarge bool
	}{
		"largest":          {MaxFrame, false}, // fails with io.EOF, as the payload is missing
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

// When one end closes a connection, the goroutines of both ends return.
func TestWaitReturnsWhenTheConnectionHasEnded(t *testing.T) {
	for name, end := range map[string]func(near, far *Conn){
		"closed by the near end": func(near, _ *Conn) { near.Close() },
		"closed by the far end":  func(_, far *Conn) { far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			near, far := openConn(here, func(Message) {}, nil), openConn(there, func(Message) {}, nil)
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
				t.Fatal("a goroutine of the connection is still running")
			}
		})
	}
}

// If the peer does not read, the connection ends when the queue is full. The sender never blocks.
func TestConnectionEndsWhenThePeerDoesNotRead(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	conn := newConn(here, func(Message) {})
	payload := make([]byte, MaxFrame)
	for range 3 { // one may be in writeLoop and one in the queue
		conn.Send(kindEcho, payload)
	}
	select {
	case <-conn.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open")
	}
	conn.Wait()
}

// A large frame waits, without being read, until another one on another connection has been handled. Small frames don't wait.
func TestFrameBudgetDelaysLargeFrames(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan int, 4)
	proceed := make(chan struct{})
	go ServeWithin(listener, func(m Message) {
		received <- len(m.Payload)
		if m.IsCall() && len(m.Payload) >= bytebudget.LargeBytes {
			<-proceed
			m.Answer(codes.OK, nil)
		}
	}, bytebudget.New(bytebudget.LargeBytes))
	connect := func() *Client {
		client := NewClient(listener.Addr().String(), nil)
		t.Cleanup(client.Close)
		return client
	}
	send := func(bytes int) {
		client := connect()
		go func() { _, _ = client.Call(contextWithTimeout(t, 10*time.Second), kindEcho, make([]byte, bytes)) }()
	}
	send(bytebudget.LargeBytes)
	if got := <-received; got != bytebudget.LargeBytes {
		t.Fatalf("first frame: %d bytes", got)
	}
	send(2 * bytebudget.LargeBytes)
	send(1)
	if got := <-received; got != 1 {
		t.Fatalf("%d bytes were handled while the budget was spent", got)
	}
	connect().Send(kindEcho, make([]byte, 3*bytebudget.LargeBytes))
	if got := <-received; got != 3*bytebudget.LargeBytes {
		t.Fatalf("%d bytes were handled before a one-way message", got)
	}
	proceed <- struct{}{}
	if got := <-received; got != 2*bytebudget.LargeBytes {
		t.Fatalf("third frame: %d bytes", got)
	}
	proceed <- struct{}{}
}

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures int
}

var errNoDescriptor = errors.New("too many open files")

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errNoDescriptor
	}
	return l.Listener.Accept()
}

func TestServeContinuesAfterFailedAccepts(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	go Serve(&failingListener{inner, 2}, func(m Message) { m.Answer(codes.OK, m.Payload) })
	client := NewClient(inner.Addr().String(), nil)
	defer client.Close()
	if got, err := client.Call(contextWithTimeout(t, 10*time.Second), kindEcho, []byte("a")); err != nil || string(got) != "a" {
		t.Fatalf("%q, %v", got, err)
	}
}

// readFrame reads the next frame.
func readFrame(r io.Reader) (header, []byte, error) {
	h, err := readHeader(r)
	if err != nil {
		return h, nil, err
	}
	payload, err := readPayload(r, int(h.Length))
	return h, payload, err
}

// For any data, including a corrupt length that must not cause a large allocation, readFrame returns an error or a payload with the
// length that the header states.
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
