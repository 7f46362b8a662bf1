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
	storeTurnInterval    = 0.05    // seconds between looks at what is to be reported
	maxPendingStoreBytes = 1 << 20 // that wait to be sent
)

// StoreOptions say how the quota store is reached and what it holds for this gateway.
type StoreOptions struct {
	Servers     []string // addresses, tried one after another
	FirstServer int      // which of them is tried first
	Name        string   // of this process alone
	Counts      bool     // it holds the counts, in place of a counter service
	Markers     bool     // it holds markers of deliveries that must not run twice
	Metering    bool     // it is told of usage
}

// StoreStream is the stream to one server of the quota store at a time, by which what this gateway holds for others is held
// elsewhere too. What is asked and what an answer means is quotastore/client's. No delivery begins whose marker is not known to be
// held, and no final answer waits for the store.
//
// It belongs to the event loop; a goroutine of its own (run) keeps the stream, another writes on it. Methods may be called on nil,
// which holds nothing.
type StoreStream struct {
	ctx       context.Context
	loop      *EventLoop
	servers   []string
	wake      chan struct{} // something is to be written; always room for one
	attempted atomic.Bool   // the first attempt to reach a server is over

	// The event loop's:
	client         *quotaclient.Client
	holdsCounts    bool
	holdsMarkers   bool
	metersUsage    bool
	reports        map[uint64]*counterCall // unanswered, by the number of their request
	awaitingMarker map[uint64]*invocation  // by the number of their request
	nextTurn       float64                 // clock time
	requestDropped bool                    // requests were taken from client and could not be sent

	mu        sync.Mutex
	connected bool
	tcp       net.Conn // while it is connected
	pending   []byte   // frames to be written
}

// NewStoreStream begins to reach the store, for a loop that does not run yet and its counter client.
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

// nextWake is the clock time at which turn is to be called.
func (s *StoreStream) nextWake() float64 {
	if s == nil {
		return math.Inf(1)
	}
	return s.nextTurn
}

// turn reports what is to be reported, and lets go of markers that were waited for too long.
func (s *StoreStream) turn() {
	if s == nil || s.loop.now < s.nextTurn && len(s.awaitingMarker) == 0 && !s.requestDropped {
		return
	}
	now := s.loop.now
	if s.requestDropped {
		s.requestDropped = false
		s.streamLost()
	}
	if now >= s.nextTurn {
		s.nextTurn = now + storeTurnInterval
		s.noteUnreported(now)
		s.expireMarkers(now)
		for line := s.client.NextLogLine(); line != ""; line = s.client.NextLogLine() {
			s.loop.Log(line)
		}
	}
	s.send(s.client.TakeRequests(now))
}

// handleResponse runs on the event loop.
func (s *StoreStream) handleResponse(response *protocol.Response) {
	s.handleOutcome(s.client.HandleResponse(s.loop.now, response))
}

// streamLost runs on the event loop when the stream has ended.
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
		s.markerAnswered(outcome)
	}
}

func (s *StoreStream) isConnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

// send hands requests to the writer. Those that find no stream are given up with the next turn.
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
	if len(s.pending) > maxPendingStoreBytes { // the server reads nothing
		interrupt(s.tcp)
		return
	}
	s.pending = append(s.pending, frame...)
	s.wakeWriter()
}

// quotaName is the store's key of a count.
func quotaName(name uint64) string { return strconv.FormatUint(name, 10) }
