package control

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

// Guards against a process that returns from Run while its acceptor still writes: stop waits for running handlers, and no handler
// starts after it.
func TestStoppedVoteHandlersWriteNothing(t *testing.T) {
	var votes voteHandlers
	started := make(chan struct{}, 1)
	release := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go rpc.Serve(listener, func(message rpc.Message) {
		votes.handle(message, func(message rpc.Message) {
			started <- struct{}{}
			<-release
			message.Answer(codes.OK, nil)
		})
	})
	client := rpc.NewClient(listener.Addr().String(), nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	answered := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, 1, nil)
		answered <- err
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		votes.stop()
		close(stopped)
	}()
	for !votes.isStopped() {
		time.Sleep(time.Millisecond)
	}
	if _, err := client.Call(ctx, 1, nil); !errors.Is(err, codes.Unavailable) {
		t.Fatalf("a message after stop: %v", err)
	}
	select {
	case <-stopped:
		t.Fatal("stopped while a handler was running")
	default:
	}
	close(release)
	<-stopped
	if err := <-answered; err != nil {
		t.Fatal(err)
	}
}

func (v *voteHandlers) isStopped() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopped
}
