package control

import (
	"sync"

	"otterseam/tier/codes"
	"otterseam/tier/rpc"
)

// voteHandlers runs the handlers of messages to the acceptor, which write its state to disk, until it is stopped. The zero value is ready
// for use.
type voteHandlers struct {
	mu      sync.Mutex // guards stopped
	stopped bool
	running sync.WaitGroup
}

// handle runs a handler in a goroutine. After stop it answers that this process is unavailable instead.
func (v *voteHandlers) handle(message rpc.Message, handler rpc.Handler) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		message.Answer(codes.Unavailable, nil)
		return
	}
	v.running.Go(func() { handler(message) })
}

// stop makes handle reject messages, and waits for the handlers that are running.
func (v *voteHandlers) stop() {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	v.running.Wait()
}
