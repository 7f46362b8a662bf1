package rpc

import (
	"context"
	"errors"
	"fmt"
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
	t.Cleanup(func() { listener.Close() })
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
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsOnOneConnectionGetTheirOwnAnswers(t *testing.T) {
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

func TestACodeComesBackAsTheError(t *testing.T) {
	client := NewClient(serve(t), nil)
	defer client.Close()
	got, err := client.Call(limited(t, 10*time.Second), kindRefuse, nil)
	if !errors.Is(err, codes.NotPrimary) || string(got) != "elsewhere" {
		t.Fatalf("%q, %v", got, err)
	}
}

func TestACallWithoutAnAnswerEndsWithItsContext(t *testing.T) {
	client := NewClient(serve(t), nil)
	defer client.Close()
	if _, err := client.Call(limited(t, 20*time.Millisecond), kindHang, nil); !errors.Is(err, codes.Timeout) {
		t.Fatal(err)
	}
	if _, err := client.Call(limited(t, 10*time.Second), kindEcho, nil); err != nil {
		t.Fatalf("the connection is spoilt: %v", err)
	}
}

func TestCallsUnderWayEndWithTheConnection(t *testing.T) {
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

func TestADeadAddressFailsAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	if _, err := NewClient(address, nil).Call(limited(t, 10*time.Second), kindEcho, nil); !errors.Is(err, codes.LinkBroken) {
		t.Fatal(err)
	}
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
