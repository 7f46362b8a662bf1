package tierhost

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// readHeaderTimeout ends connections that send no request.
const readHeaderTimeout = time.Minute

// Execution is a request that a host began to work on.
type Execution struct {
	RequestID   string
	Path        string
	Body        string
	LastEventID string // of a stream that is resumed
}

// Host is a stand-in host. Its exported fields are set before Start, but for Address.
type Host struct {
	ID       string
	Service  string          // hosts of the service "engine" stream, others answer plainly
	Slots    int             // requests at once, as heartbeats tell
	Controls func() []string // addresses of control
	Address  string          // where it listens; set by Start

	server *http.Server
	stop   context.CancelFunc

	mu             sync.Mutex // guards all below
	executions     []Execution
	faults         faults
	sequenceNumber uint64 // of the last heartbeat
}

// faults are what tests inject.
type faults struct {
	breakAfter    int  // events after which the next stream is broken off; 0: it isn't
	dropNext      bool // the next request is executed and its connection closed
	dropResponses bool // so are all requests
	reject        bool // all requests are answered as not executed
}

// takeForRequest gives the faults that a request meets, and ends those for one request.
func (f *faults) takeForRequest() faults {
	met := *f
	f.dropNext = false
	f.breakAfter = 0
	return met
}

// Start listens at an address, with port 0 at a free one, and sends heartbeats until Stop.
func (h *Host) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = h.server.Serve(listener) }() // returns when Stop closes it
	go h.heartbeatLoop(ctx)
	return nil
}

// Stop ends the host as a crash does: connections are cut and control isn't told.
func (h *Host) Stop() {
	h.stop()
	_ = h.server.Close() // nothing depends on the listener any more
}

// Executions is what the host has begun to execute so far.
func (h *Host) Executions() []Execution {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.executions)
}

// BreakNextStream breaks off the next stream after so many events; 0 takes that back.
func (h *Host) BreakNextStream(events int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.breakAfter = events
}

// DropNextResponse has the next request executed and its connection closed without a response.
func (h *Host) DropNextResponse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.dropNext = true
}

// DropResponses has all requests executed and their connections closed without a response, or no longer.
func (h *Host) DropResponses(drop bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.dropResponses = drop
}

// Reject has all requests answered as not executed, or no longer.
func (h *Host) Reject(reject bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.reject = reject
}
