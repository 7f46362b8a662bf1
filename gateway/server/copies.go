package server

// This file owns the stream to a keeper, by which what this api gateway holds for others is held elsewhere too. What to ask
// and what an answer means is lodge's to say. It must never let a delivery begin whose mark is not known to be held, nor
// hold up a final answer.

import (
	"bufio"
	"context"
	"math"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"otterseam/gateway/policy"
	quotaclient "otterseam/quotastore/client"
	"otterseam/quotastore/protocol"
)

const (
	markerWaitFraction = 0.4     // part of an invocation's time for which its mark is waited for
	maxPendingBytes    = 1 << 20 // bytes that wait to be sent
	maxResponseBytes   = 1 << 20 // bytes of one answer
	storeTurnInterval  = 0.05    // seconds between looks at what is to be told
)

type StoreStream struct {
	ctx            context.Context
	group          *errgroup.Group
	loop           *EventLoop
	addrs          []string
	nextServer     int // which of them is reached now
	client         *quotaclient.Client
	holdsCounts    bool
	holdsMarkers   bool
	metersUsage    bool
	reports        map[uint64]*counterCall
	awaitingMarker map[uint64]*invocation
	nextTurn       float64
	attempted      atomic.Bool
	requestDropped bool // something was asked of nobody

	mu        sync.Mutex
	connected bool
	pending   []byte
	wake      chan struct{}
	tcp       net.Conn
}

// NewCopies begins to reach keepers, one after another from a place in their list on. name is of this process alone.
func NewStoreStream(ctx context.Context, group *errgroup.Group, loop *EventLoop, addrs []string, name string, firstServer int) *StoreStream {
	s := &StoreStream{
		ctx: ctx, group: group, loop: loop, addrs: addrs, nextServer: max(0, firstServer) % len(addrs), client: quotaclient.New(name), reports: map[uint64]*counterCall{},
		awaitingMarker: map[uint64]*invocation{}, wake: make(chan struct{}, 1),
	}
	group.Go(s.run)
	return s
}

// Hold says what keepers hold. It is called before anything else happens.
func (s *StoreStream) Configure(counter *CounterClient, counts, markers, usage bool) {
	s.holdsCounts, s.holdsMarkers, s.metersUsage = counts, markers, usage
	s.loop.store = s
	if counts {
		counter.store = s
	}
}

// next is when turn wants to be called.
func (s *StoreStream) nextWake() float64 {
	if s == nil {
		return math.Inf(1)
	}
	return s.nextTurn
}

// turn tells what is to be told, and lets go of marks that were waited for too long.
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
		if s.holdsCounts {
			s.client.ClearUnreported()
			s.loop.policy.UnreportedUnits(func(name uint64, units, life float64) { s.client.SetUnreported(now, quotaName(name), units, life) })
		}
		for _, inv := range s.awaitingMarker { // each by itself: the order does not show
			if now > inv.deadline-(1-markerWaitFraction)*inv.Timeout {
				s.rejectUnmarked(inv)
			}
		}
		for line := s.client.NextLogLine(); line != ""; line = s.client.NextLogLine() {
			s.loop.Log(line)
		}
	}
	s.send(s.client.TakeRequests(now))
}

func quotaName(name uint64) string { return strconv.FormatUint(name, 10) }

// put tells a count; false: it can't be told now.
func (s *StoreStream) report(call *counterCall, life float64) (ok bool) {
	if !s.isConnected() {
		return false
	}
	call.storeRequest, call.slotsHeld, ok = s.client.ReportUsage(s.loop.now, quotaName(call.name), call.amount, s.loop.policy.CountedSlots(call.name), life)
	if !ok {
		call.storeRequest = 0
		return false
	}
	s.reports[call.storeRequest] = call
	s.send(s.client.TakeRequests(s.loop.now))
	return true
}

// missed: a call that was told has no total, and the module will tell of it again. A late one's places stay, as the module
// takes them for added.
func (s *StoreStream) retract(call *counterCall, outcome policy.Outcome) {
	if call.storeRequest == 0 || outcome == policy.Succeeded {
		return
	}
	delete(s.reports, call.storeRequest)
	s.client.RetractUsage(quotaName(call.name), call.amount, call.slotsHeld, outcome == policy.TimedOut)
}

// mark has an invocation wait until its mark is held; false: it need not.
func (s *StoreStream) awaitMarker(inv *invocation) bool {
	if s == nil || !s.holdsMarkers {
		return false
	}
	scope, needs := s.loop.policy.DedupScope(inv.Operation)
	if !needs {
		return false
	}
	if !s.isConnected() {
		inv.client.responses <- response{request: inv.request, status: 503, retryAfter: 1}
		return true
	}
	requestID := s.client.AcquireMarker(inv.Ref, scope, inv.Timeout)
	inv.markerRequest, s.awaitingMarker[requestID] = requestID, inv
	s.send(s.client.TakeRequests(s.loop.now))
	return true
}

// unmarked: it is not known whether a delivery may begin, so none does; nothing was sent, and trying again is harmless.
func (s *StoreStream) rejectUnmarked(inv *invocation) {
	delete(s.awaitingMarker, inv.markerRequest)
	s.client.ReleaseMarker(inv.Ref)
	inv.client.responses <- response{request: inv.request, status: 503, retryAfter: 1}
}

// left: the client of an invocation whose mark is waited for has gone; false: it isn't waited for.
func (s *StoreStream) clientGone(inv *invocation) bool {
	if s == nil || s.awaitingMarker[inv.markerRequest] != inv {
		return false
	}
	delete(s.awaitingMarker, inv.markerRequest)
	s.client.ReleaseMarker(inv.Ref)
	inv.client.responses <- response{request: inv.request}
	return true
}

// over: an invocation has its final answer.
func (s *StoreStream) invocationEnded(inv *invocation, status int) {
	if s == nil {
		return
	}
	if inv.markerHeld && !inv.delivered {
		s.client.ReleaseMarker(inv.Ref)
	}
	if s.metersUsage && status == 200 {
		s.client.MeterUsage(inv.Plan+" "+inv.Customer, inv.Units)
	}
}

// heard takes an answer. It runs on the loop.
func (s *StoreStream) handleResponse(response *protocol.Response) {
	s.handleOutcome(s.client.HandleResponse(s.loop.now, response))
}

func (s *StoreStream) handleOutcome(outcome quotaclient.Outcome) {
	switch outcome.Kind {
	case quotaclient.UsageReported:
		k := s.reports[outcome.RequestID]
		if k == nil || k.reported {
			return
		}
		delete(s.reports, outcome.RequestID)
		for _, x := range s.loop.counter.pending { // the module takes a name's answers in order
			if x == k {
				break
			}
			if !x.reported && x.name == k.name {
				s.loop.counter.report(x, policy.TimedOut, 0)
			}
		}
		how := policy.Succeeded
		switch {
		case outcome.Rejected:
			how = policy.Rejected
		case outcome.Unknown:
			how = policy.Reset
		}
		s.loop.counter.report(k, how, outcome.Total)
	case quotaclient.MarkerAcquired, quotaclient.MarkerHeld, quotaclient.MarkerUnknown:
		inv := s.awaitingMarker[outcome.RequestID]
		if inv == nil {
			return
		}
		if outcome.Kind == quotaclient.MarkerUnknown {
			s.rejectUnmarked(inv)
			return
		}
		delete(s.awaitingMarker, outcome.RequestID)
		if outcome.Kind == quotaclient.MarkerHeld { // begun by another, or for a client that sent it twice
			inv.client.responses <- response{request: inv.request, status: 409}
			return
		}
		inv.markerHeld = true
		s.loop.admit(inv)
	}
}

// broken: the stream has ended. It runs on the loop.
func (s *StoreStream) streamLost() {
	for _, outcome := range s.client.StreamLost() {
		s.handleOutcome(outcome)
	}
}

func (s *StoreStream) isConnected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

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
	if len(s.pending) > maxPendingBytes { // it reads nothing
		s.tcp.SetDeadline(expired)
		return
	}
	s.pending = append(s.pending, frame...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run has one connection after another, to the next keeper each time, with a pause once all were tried.
func (s *StoreStream) run() error {
	failed := 0
	for s.ctx.Err() == nil {
		dialer := net.Dialer{Timeout: 300 * time.Millisecond}
		tcp, err := dialer.DialContext(s.ctx, "tcp", s.addrs[s.nextServer])
		s.attempted.Store(true)
		if err == nil {
			if s.serveConn(tcp) {
				failed = 0
			}
		}
		s.nextServer = (s.nextServer + 1) % len(s.addrs)
		if failed++; failed >= len(s.addrs) {
			select {
			case <-s.ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			failed = 0
		}
	}
	return nil
}

// live uses one connection until it ends; it says whether anything was answered.
func (s *StoreStream) serveConn(tcp net.Conn) (answered bool) {
	hello, err := protocol.ClientHello().AppendTo(nil)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.connected, s.tcp = true, tcp
	s.pending = append(s.pending[:0], hello...)
	s.mu.Unlock()
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() { s.writeLoop(tcp, done) })
	select {
	case s.wake <- struct{}{}:
	default:
	}
	reader := bufio.NewReaderSize(tcp, 8<<10)
	for {
		// A keeper answers the word that the holder is there each second: silence is a keeper that is gone.
		tcp.SetReadDeadline(time.Now().Add(2500 * time.Millisecond))
		frame, err := protocol.ReadFrame(reader, maxResponseBytes)
		if err != nil {
			break
		}
		answered = true
		for i := range frame.Responses {
			response := &frame.Responses[i]
			s.loop.post(s.ctx, func() { s.handleResponse(response) })
		}
	}
	s.mu.Lock()
	s.connected = false
	s.mu.Unlock()
	close(done)
	tcp.SetDeadline(expired)
	writer.Wait()
	tcp.Close()
	s.loop.post(s.ctx, s.streamLost)
	return answered
}

func (s *StoreStream) writeLoop(tcp net.Conn, done chan struct{}) {
	var batch []byte
	for {
		select {
		case <-done:
			return
		case <-s.ctx.Done():
			tcp.SetDeadline(expired)
			return
		case <-s.wake:
		}
		s.mu.Lock()
		batch, s.pending = s.pending, batch[:0]
		s.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if _, err := tcp.Write(batch); err != nil {
			tcp.SetDeadline(expired)
			return
		}
	}
}
