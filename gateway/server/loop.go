package server

// This file owns the deciding module, the invocations in hand and the one timer, all on one goroutine. Sockets
// reach it by its queue only. It must never wait for a socket, decide anything itself, or be entered from elsewhere.

import (
	"container/heap"
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"otterseam/gateway/http1"
	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/internal/mutation"
)

// early is how long before a client gives up the last delivery is ended, so that the answer still reaches it.
const clientMargin = 0.008

// badLines is how many lines a second tell of what others sent that makes no sense: a flood of it must not become one of lines.
const peerErrorsPerSecond = 5

type EventLoop struct {
	queue           chan func()
	log             zerolog.Logger
	peerErrors      zerolog.Logger // what others sent that makes no sense, a few lines a second
	policy          *policy.Gateway
	hosts           *HostPool
	counter         *CounterClient
	peers           *PeerSocket
	store           *StoreStream // what keepers hold for this api gateway; nil: nothing
	invocations     map[*policy.Invocation]*invocation
	recentRefs      [2]map[string]bool // of those in hand or just answered: of late, and before that
	refsRotatedAt   float64            // when they were last moved on
	timeouts        deliveryQueue      // by the time at which they are given up
	endedDeliveries []*delivery        // given up within a call of the module, to be told after it
	now             float64
	startClock      float64 // clock time at start
	startedAt       time.Time
}

// invocation is one taken from a client, until its final answer is handed to the client's connection.
type invocation struct {
	http1.Invocation
	client        *clientConn
	request       *Buffer
	readAt        time.Time // its last byte
	decided       *policy.Invocation
	deadline      float64
	delivery      *delivery // the delivery that is out
	timedOut      bool      // the last one ended without an answer in time
	delivered     bool      // a delivery has begun
	markerRequest uint64    // the number under which its mark was asked for; 0: it was not
	markerHeld    bool      // its mark is held by keepers
}

func NewEventLoop(log zerolog.Logger) *EventLoop {
	now := time.Now()
	return &EventLoop{
		queue: make(chan func(), 1024), log: log, peerErrors: log.Sample(&zerolog.BurstSampler{Burst: peerErrorsPerSecond, Period: time.Second}), invocations: map[*policy.Invocation]*invocation{},
		recentRefs: [2]map[string]bool{{}, {}},
		startClock: float64(now.UnixNano()) / 1e9, startedAt: now,
	}
}

// clock is the wall clock at start and the monotonic one since.
func (l *EventLoop) clock() float64 { return l.clockAt(time.Now()) }

// at is a moment by that clock.
func (l *EventLoop) clockAt(t time.Time) float64 { return l.startClock + t.Sub(l.startedAt).Seconds() }

// tell puts one thing on the queue; it waits for room unless the api gateway is ending.
func (l *EventLoop) post(ctx context.Context, event func()) {
	select {
	case l.queue <- event:
		return
	default: // full: the slower way
	}
	select {
	case l.queue <- event:
	case <-ctx.Done():
	}
}

// Run turns what the queue brings into calls of the module, and its answers into work for the sockets.
func (l *EventLoop) Run(ctx context.Context, gateway *policy.Gateway, hosts *HostPool, counter *CounterClient, peers *PeerSocket) error {
	defer func() {
		if failure := recover(); failure != nil { // not swallowed: an api gateway that decides wrongly must not go on
			l.log.Error().Str("stack", string(debug.Stack())).Msg(fmt.Sprint("panic: ", failure))
			panic(failure)
		}
	}()
	l.policy, l.hosts, l.counter, l.peers = gateway, hosts, counter, peers
	timer, armedFor := time.NewTimer(time.Hour), 0.0
	var policyTimer, membershipTimer policydriver.Timer
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.queue:
			l.now = l.clock()
			event()
			for n := len(l.queue); n > 0; n-- { // each at its own time: what is due in between is judged by it
				event = <-l.queue
				l.now = l.clock()
				event()
			}
		case <-timer.C:
			l.now, armedFor = l.clock(), 0
		}
		l.expire()
		if policyTimer.Due(l.now) {
			l.policy.Tick(l.now)
			policyTimer.Clear()
			l.hosts.closeIdle()
			l.counter.closeRetired()
			l.counter.closeOvertaken()
			l.rotateRefs()
		}
		l.decide()
		l.store.turn()
		if membershipTimer.Due(l.now) {
			l.policy.RefreshMembership(l.now)
			membershipTimer.Clear()
		}
		next, _ := policyTimer.Schedule(l.policy.TickDelay(l.now), l.now)
		if at, _ := membershipTimer.Schedule(l.policy.MembershipDelay(l.now), l.now); at > 0 {
			next = min(next, at)
		}
		if len(l.timeouts) > 0 {
			next = min(next, l.timeouts[0].due)
		}
		next = min(next, l.counter.nextTimeout(), l.store.nextWake())
		if armedFor == 0 || next < armedFor || next > armedFor+0.01 {
			armedFor = next
			timer.Reset(time.Duration(max(0, next-l.now) * 1e9))
		}
	}
}

// expire ends what has waited long enough: deliveries, and calls to the counter.
func (l *EventLoop) expire() {
	for len(l.timeouts) > 0 && l.timeouts[0].due <= l.now {
		l.hosts.withdraw(l.timeouts[0], policy.TimedOut)
	}
	l.counter.expire()
	l.reportEnded()
}

// settle tells the module of deliveries that were given up within its own calls, by what the queue brought, or here.
func (l *EventLoop) reportEnded() {
	for len(l.endedDeliveries) > 0 {
		d := l.endedDeliveries[0]
		l.endedDeliveries = l.endedDeliveries[1:]
		l.deliveryEnded(d, d.outcome, nil)
	}
}

func (l *EventLoop) decide() {
	l.counter.reportRefused() // calls of the tick and of what the queue brought
	l.reportEnded()
	policydriver.DecideAll(l.policy, l.now, func(in *policy.Invocation, decision policy.Decision) {
		l.carryOut(l.invocations[in], decision)
		l.counter.reportRefused()
		l.reportEnded()
	})
}

// take brings in an invocation whose last byte has been read. Guards against another client's id: sent to a host, it
// would be a second copy of the one that is out, and the one in hand goes on untouched.
func (l *EventLoop) accept(inv *invocation) {
	if l.recentRefs[0][inv.Ref] || l.recentRefs[1][inv.Ref] {
		inv.client.responses <- response{request: inv.request, status: 409}
		return
	}
	l.recentRefs[0][inv.Ref] = true
	inv.deadline = l.clockAt(inv.readAt) + inv.Timeout // it may have waited for the answer before it
	if l.store.awaitMarker(inv) {
		return
	}
	l.admit(inv)
}

// admit brings in an invocation that may be delivered as far as is known elsewhere.
func (l *EventLoop) admit(inv *invocation) {
	inv.decided = l.policy.Accept(l.now, policy.Request{
		Ref: inv.Ref, Operation: inv.Operation, Customer: inv.Customer,
		Plan: inv.Plan, Units: inv.Units, Deadline: inv.deadline, FirstGateway: inv.FirstGateway, GatewayCount: inv.GatewayCount, ClientRetry: inv.Retry,
	})
	l.invocations[inv.decided] = inv
}

// forget lets go of ids whose clients have given up since.
func (l *EventLoop) rotateRefs() {
	if l.now-l.refsRotatedAt < 2 {
		return
	}
	l.refsRotatedAt = l.now
	l.recentRefs[0], l.recentRefs[1] = map[string]bool{}, l.recentRefs[0]
	for _, inv := range l.invocations {
		l.recentRefs[0][inv.Ref] = true
	}
}

// gone: the client has closed its connection; nothing is owed to it any more.
func (l *EventLoop) clientGone(inv *invocation) {
	if l.store.clientGone(inv) || l.invocations[inv.decided] != inv {
		return
	}
	l.policy.Abandon(l.now, inv.decided)
	if inv.delivery != nil {
		l.hosts.withdraw(inv.delivery, policy.Cancelled)
	}
	l.finish(inv, 0, 0, nil)
}

func (l *EventLoop) carryOut(inv *invocation, decision policy.Decision) {
	switch decision.Action {
	case policy.Send:
		within := inv.deadline - l.now - clientMargin
		if mutation.AttemptOutlivesClient {
			within += 0.3
		}
		if decision.Timeout > 0 {
			within = min(within, decision.Timeout)
		}
		d := &delivery{invocation: inv, attempt: inv.decided.Attempts[len(inv.decided.Attempts)-1], sentAt: l.now, due: l.now + within}
		inv.delivery, inv.timedOut, inv.delivered = d, false, true
		heap.Push(&l.timeouts, d)
		l.hosts.send(d, decision.Host.Addr)
	case policy.Throttle:
		l.finish(inv, 429, decision.RetryAfter, nil)
	case policy.Fail:
		status := 502
		if mutation.FailureAnsweredAsThrottled {
			l.finish(inv, 429, 1, nil)
			return
		}
		if inv.timedOut {
			status = 504
		}
		l.finish(inv, status, 0, nil)
	}
}

// after tells the module how a delivery ended. A good answer is handed on by itself; it ends the invocation.
func (l *EventLoop) deliveryEnded(d *delivery, outcome policy.Outcome, reply *Buffer) {
	inv := d.invocation
	if inv.delivery == d {
		inv.delivery = nil
	}
	inv.timedOut = outcome == policy.TimedOut
	final := outcome == policy.Succeeded || l.invocations[inv.decided] != inv
	decision := l.policy.AttemptEnded(l.now, d.attempt, policy.AttemptResult{Outcome: outcome, Final: final, Duration: l.now - d.sentAt})
	if outcome == policy.Succeeded {
		l.finish(inv, 200, 0, reply)
		return
	}
	l.carryOut(inv, decision)
}

// finish hands the one final answer to the client's connection, which always has room for it.
func (l *EventLoop) finish(inv *invocation, status int, retryAfter float64, reply *Buffer) {
	if l.invocations[inv.decided] != inv {
		l.hosts.buffers.Put(reply)
		return
	}
	delete(l.invocations, inv.decided)
	l.store.invocationEnded(inv, status)
	inv.client.responses <- response{request: inv.request, upstream: reply, status: status, retryAfter: retryAfter}
}

// Move takes up other addresses of discovery and the counter, while all goes on.
func (l *EventLoop) UseAddresses(ctx context.Context, discovery *DiscoveryClient, discoveryAddr, counterAddr string) {
	discovery.Watch(discoveryAddr)
	l.post(ctx, func() { l.counter.UseAddress(counterAddr) })
}

// Count, Cancel, Tell and Log are the module's way out for what belongs to no single invocation.
func (l *EventLoop) AddCount(name uint64, amount, life float64) { l.counter.add(name, amount, life) }

func (l *EventLoop) CancelAttempt(attempt *policy.Attempt) {
	if inv := l.invocations[attempt.Invocation]; inv != nil && inv.delivery != nil && inv.delivery.attempt == attempt {
		l.hosts.withdraw(inv.delivery, policy.Cancelled)
	}
}

func (l *EventLoop) SendPeer(to int, text string) { l.peers.send(to, text) }
func (l *EventLoop) Log(text string)              { l.log.Info().Msg(text) }

// deliveries is a heap by due time.
type deliveryQueue []*delivery

func (q deliveryQueue) Len() int           { return len(q) }
func (q deliveryQueue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q deliveryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i]; q[i].index, q[j].index = i, j }
func (q *deliveryQueue) Push(x any)        { d := x.(*delivery); d.index = len(*q); *q = append(*q, d) }
func (q *deliveryQueue) Pop() any {
	old := *q
	d := old[len(old)-1]
	d.index, *q = -1, old[:len(old)-1]
	old[len(old)-1] = nil
	return d
}

// Quiet waits until no call to the counter is out, so that what the module gives back gets there; not for long.
func (l *EventLoop) WaitCounterIdle(ctx context.Context, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for pending := true; pending && time.Now().Before(deadline); {
		answers := make(chan bool, 1)
		l.post(ctx, func() {
			l.policy.Tick(l.now)
			answers <- len(l.counter.pending) > 0
		})
		select {
		case pending = <-answers:
		case <-ctx.Done():
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
