package server

import (
	"context"
	"math"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	quotaclient "otterseam/quotastore/client"
	"otterseam/quotastore/protocol"
)

const (
	storeTickInterval    = 0.05    // seconds between checks for usage to report
	maxPendingStoreBytes = 1 << 20 // limit for frames that wait to be sent
)

// StoreOptions configure a StoreStream: how the quota store is reached and what it holds for this gateway.
type StoreOptions struct {
	Servers     []string // addresses, tried in order
	FirstServer int      // index of the server that is tried first
	Name        string   // unique to this process
	Counts      bool     // the store holds the counts, in place of a counter service
	Markers     bool     // the store holds markers of deliveries that must not run twice
	Metering    bool     // usage is reported to the store for metering
}

// StoreStream is the stream to one server of the quota store at a time. It replicates to the store what this gateway holds on
// behalf of others. Package quotastore/client determines the requests and interprets the responses. A delivery that needs a marker
// never begins before the store is known to hold the marker. A final response never waits for the store.
//
// It belongs to the event loop. One goroutine (run) maintains the stream and reads, another writes. A nil StoreStream stands for no
// store. nextWake, tick, awaitMarker, clientGone and invocationEnded accept it.
type StoreStream struct {
	ctx       context.Context
	loop      *EventLoop
	servers   []string
	wake      chan struct{} // signals that pending has bytes; has room for one signal
	attempted atomic.Bool   // the first dial has finished

	// Used only by the event loop:
	client         *quotaclient.Client
	holdsCounts    bool
	holdsMarkers   bool
	metersUsage    bool
	reports        map[uint64]*counterCall // unanswered calls, by request ID
	awaitingMarker map[uint64]*invocation  // by request ID
	nextTick       float64                 // clock time
	requestDropped bool                    // requests were taken from client but could not be sent

	mu        sync.Mutex
	connected bool
	tcp       net.Conn // valid while connected
	pending   []byte   // encoded frames to be written
}

// NewStoreStream starts to connect to the store. It must be called before the loop runs. It registers itself with the loop, and
// with counter if the store holds the counts.
func NewStoreStream(ctx context.Context, group *errgroup.Group, loop *EventLoop, counter *CounterClient, options StoreOptions) *StoreStream {
	s := &StoreStream{
		ctx:            ctx,
		loop:           loop,
		servers:        options.Servers,
		wake:           make(chan struct{}, 1),
		client:         quotaclient.New(options.Name),
		holdsCounts:    options.Counts,
		holdsMarkers:   options.Markers,
		metersUsage:    options.Metering,
		reports:        map[uint64]*counterCall{},
		awaitingMarker: map[uint64]*invocation{},
	}
	loop.store = s
	if options.Counts {
		counter.store = s
	}
	first := max(0, options.FirstServer) % len(options.Servers)
	group.Go(func() error {
		s.run(first)
		return nil
	})
	return s
}

// nextWake returns the clock time at which tick must be called.
func (s *StoreStream) nextWake() float64 {
	if s == nil {
		return math.Inf(1)
	}
	return s.nextTick
}

// tick sends due reports, and rejects invocations whose marker was not acquired in time.
func (s *StoreStream) tick() {
	if s == nil || s.loop.now < s.nextTick && len(s.awaitingMarker) == 0 && !s.requestDropped {
		return
	}
	now := s.loop.now
	if s.requestDropped {
		s.requestDropped = false
		s.streamLost()
	}
	if now >= s.nextTick {
		s.nextTick = now + storeTickInterval
		s.updateUnreported(now)
		s.expireMarkers(now)
		for line := s.client.NextLogLine(); line != ""; line = s.client.NextLogLine() {
			s.loop.Log(line)
		}
	}
	s.send(s.client.TakeRequests(now))
}

// handleResponse processes a response of the store on the event loop.
func (s *StoreStream) handleResponse(response *protocol.Response) {
	s.handleOutcome(s.client.HandleResponse(s.loop.now, response))
}

// streamLost runs on the event loop after the stream has ended.
func (s *StoreStream) streamLost() {
	for _, outcome := range s.client.StreamLost() {
		s.handleOutcome(outcome)
	}
}

func (s *StoreStream) handleOutcome(outcome quotaclient.Outcome) {
	switch outcome.Kind {
	case quotaclient.UsageReported:
		s.usageReported(outcome)
	case quotaclient.MarkerAcquired, quotaclient.MarkerHeld, quotaclient.MarkerUnknown:
		s.markerReplied(outcome)
	}
}

func (s *StoreStream) isConnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

// send queues requests for the writer. If the stream is not connected, they are treated as lost at the next tick.
func (s *StoreStream) send(requests []protocol.Request) {
	if len(requests) == 0 {
		return
	}
	frame, err := protocol.RequestsFrame(requests).AppendTo(nil)
	if err != nil {
		s.loop.Log("copies: " + err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.connected {
		s.requestDropped = true
		return
	}
	if len(s.pending) > maxPendingStoreBytes { // the server does not read
		interrupt(s.tcp)
		return
	}
	s.pending = append(s.pending, frame...)
	s.wakeWriter()
}

// quotaKey returns the store's key for a count.
func quotaKey(name uint64) string { return strconv.FormatUint(name, 10) }
