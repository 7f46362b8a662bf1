package tierhost

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// readHeaderTimeout is the time after which a connection that sends no request header is closed.
const readHeaderTimeout = time.Minute

// Execution is a request that a host started to execute.
type Execution struct {
	RequestID   string
	Path        string
	Body        string
	LastEventID string // of the request to resume a stream; empty: it starts a new one
}

// Host is a stand-in host. The caller sets its exported fields, except Address, before Start.
type Host struct {
	ID       string
	Service  string          // hosts of the service "engine" send event streams, others plain bodies
	Slots    int             // number of concurrent requests that heartbeats report
	Controls func() []string // returns the control addresses
	Address  string          // listening address; set by Start

	server  *http.Server
	stopped context.Context // ends when the host stops
	stop    context.CancelFunc

	mu             sync.Mutex // guards all below
	executions     []Execution
	faults         faults
	sequenceNumber uint64 // of the last heartbeat
}

// faults are the injected faults of a host.
type faults struct {
	breakAfter    int  // number of events after which the next stream is aborted; 0: it isn't
	dropNext      bool // the next request is executed, but its connection is closed without a response
	dropResponses bool // the same for all requests
	reject        bool // all requests get a response that says they were not executed

	flood      *Flood // response to all requests; nil: none
	floodPause time.Duration
}

// takeForRequest returns the faults for a request and clears those that apply to one request only.
func (f *faults) takeForRequest() faults {
	active := *f
	f.dropNext = false
	f.breakAfter = 0
	return active
}

// Start listens on an address, where port 0 selects a free port, and sends heartbeats until Stop.
func (h *Host) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	h.stopped, h.stop = ctx, cancel
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = h.server.Serve(listener) }() // returns when Stop closes it
	go h.heartbeatLoop(ctx)
	return nil
}

// Stop ends the host like a crash: it closes all connections and doesn't notify control.
func (h *Host) Stop() {
	h.stop()
	_ = h.server.Close() // the host isn't used after this, so an error has no effect
}

// Executions returns the requests that the host has started to execute so far.
func (h *Host) Executions() []Execution {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.executions)
}

// BreakNextStream makes the host abort the next stream after a number of events. 0 clears the fault.
func (h *Host) BreakNextStream(events int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.breakAfter = events
}

// DropNextResponse makes the host execute the next request and close its connection without a response.
func (h *Host) DropNextResponse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.dropNext = true
}

// DropResponses sets whether the host executes all requests and closes their connections without a response.
func (h *Host) DropResponses(drop bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.dropResponses = drop
}

// Reject sets whether the host responds to all requests with status 503 and a header that says they were not executed.
func (h *Host) Reject(reject bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.reject = reject
}

// Flood makes the host respond to all requests with a flood, and pause after each write of it. nil clears the fault.
func (h *Host) Flood(flood *Flood, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults.flood = flood
	h.faults.floodPause = pause
}

// closeAtStop closes a connection when the host stops. The function that it returns ends that.
func (h *Host) closeAtStop(conn net.Conn) (end func() bool) {
	return context.AfterFunc(h.stopped, func() { conn.Close() })
}
