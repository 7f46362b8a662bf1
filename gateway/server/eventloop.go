package server

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
)

const (
	eventQueueLength           = 1024
	timerSlack                 = 0.01 // seconds by which the timer may fire early without being reset
	counterIdlePoll            = 5 * time.Millisecond
	protocolErrorLogsPerSecond = 5 // log lines about invalid input from remote ends, limited so that a flood of input does not flood the log
)

// EventLoop owns the policy, the invocations in progress and the gateway's only timer. All of them are used only on the goroutine
// of Run; other goroutines post functions to its queue. It never blocks on a socket and makes no decisions itself.
type EventLoop struct {
	queue            chan func()
	log              zerolog.Logger
	protocolErrorLog zerolog.Logger // for invalid input from remote ends; rate-limited
	startedAt        time.Time
	startClock       float64 // clock time at startedAt

	// Used only by Run's goroutine:
	policy          *policy.Gateway
	hosts           *HostPool
	counter         *CounterClient
	peers           *PeerSocket
	store           *StoreStream // nil if no quota store is configured
	invocations     map[*policy.Invocation]*invocation
	recentRefs      recentRefs
	timeouts        deliveryQueue // deliveries in progress, ordered by deadline
	endedDeliveries []*delivery   // ended during a call to the policy; reported after the call returns
	now             float64       // clock time of the current event
	policyTimer     policydriver.Timer
	membershipTimer policydriver.Timer
}

// NewEventLoop returns a loop whose queue accepts events at once. Run processes them.
func NewEventLoop(log zerolog.Logger) *EventLoop {
	now := time.Now()
	return &EventLoop{
		queue:            make(chan func(), eventQueueLength),
		log:              log,
		protocolErrorLog: log.Sample(&zerolog.BurstSampler{Burst: protocolErrorLogsPerSecond, Period: time.Second}),
		startedAt:        now,
		startClock:       float64(now.UnixNano()) / 1e9,
		invocations:      map[*policy.Invocation]*invocation{},
		recentRefs:       newRecentRefs(),
	}
}

// clock returns the current clock time: the wall clock at start plus the monotonic time since then, in seconds.
func (l *EventLoop) clock() float64 { return l.clockAt(time.Now()) }

func (l *EventLoop) clockAt(t time.Time) float64 { return l.startClock + t.Sub(l.startedAt).Seconds() }

// post appends an event to the queue. It blocks while the queue is full, unless the gateway is shutting down.
func (l *EventLoop) post(ctx context.Context, event func()) {
	select {
	case l.queue <- event:
		return
	default: // full: also wait for ctx
	}
	select {
	case l.queue <- event:
	case <-ctx.Done():
	}
}

// Run processes events from the queue: it calls the policy and passes its decisions to the sockets. It returns when ctx ends. A
// panic is logged and raised again, because a gateway whose decisions are wrong must not go on.
func (l *EventLoop) Run(ctx context.Context, gateway *policy.Gateway, hosts *HostPool, counter *CounterClient, peers *PeerSocket) error {
	defer func() {
		if failure := recover(); failure != nil {
			l.log.Error().Str("stack", string(debug.Stack())).Msg(fmt.Sprint("panic: ", failure))
			panic(failure)
		}
	}()
	l.policy, l.hosts, l.counter, l.peers = gateway, hosts, counter, peers
	timer := time.NewTimer(time.Hour)
	armedFor := 0.0 // clock time; 0: the timer has fired
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.queue:
			l.runEvent(event)
			l.runQueued()
		case <-timer.C:
			l.now, armedFor = l.clock(), 0
		}
		l.step()
		next := l.nextWake()
		if armedFor == 0 || next < armedFor || next > armedFor+timerSlack {
			armedFor = next
			timer.Reset(time.Duration(max(0, next-l.now) * 1e9))
		}
	}
}

// runEvent sets the current time and runs an event. Whatever falls due between two events is judged at the time of the later one.
func (l *EventLoop) runEvent(event func()) {
	l.now = l.clock()
	event()
}

// runQueued runs the events that are in the queue now. Events posted meanwhile wait for the next round.
func (l *EventLoop) runQueued() {
	for queued := len(l.queue); queued > 0; queued-- {
		l.runEvent(<-l.queue)
	}
}

// step runs after each batch of events: timeouts, the policy's tick and decisions, the quota store, the membership.
func (l *EventLoop) step() {
	l.expire()
	if l.policyTimer.Due(l.now) {
		l.policy.Tick(l.now)
		l.policyTimer.Clear()
		l.hosts.closeIdle()
		l.counter.closeRetired()
		l.counter.closeLagging()
		l.rotateRefs()
	}
	l.decide()
	l.store.tick()
	if l.membershipTimer.Due(l.now) {
		l.policy.RefreshMembership(l.now)
		l.membershipTimer.Clear()
	}
}

// nextWake returns the clock time at which the loop must run again even if no event arrives.
func (l *EventLoop) nextWake() float64 {
	next, _ := l.policyTimer.Schedule(l.policy.TickDelay(l.now), l.now)
	if at, _ := l.membershipTimer.Schedule(l.policy.MembershipDelay(l.now), l.now); at > 0 {
		next = min(next, at)
	}
	if len(l.timeouts) > 0 {
		next = min(next, l.timeouts[0].due)
	}
	return min(next, l.counter.nextTimeout(), l.store.nextWake())
}

// expire ends the deliveries and the counter calls that have timed out.
func (l *EventLoop) expire() {
	for len(l.timeouts) > 0 && l.timeouts[0].due <= l.now {
		l.hosts.cancel(l.timeouts[0], policy.TimedOut)
	}
	l.counter.expire()
	l.reportEnded()
}

// decide asks the policy for decisions and executes them until there are none left.
func (l *EventLoop) decide() {
	l.reportDeferred() // outcomes caused by the tick and the events
	policydriver.DecideAll(l.policy, l.now, func(decided *policy.Invocation, decision policy.Decision) {
		l.execute(l.invocations[decided], decision)
		l.reportDeferred()
	})
}

// reportDeferred reports to the policy what ended during its own calls.
func (l *EventLoop) reportDeferred() {
	l.counter.reportRefused()
	l.reportEnded()
}

// UseAddresses switches to new addresses of discovery and of the counter without interrupting service. It may be called from any
// goroutine.
func (l *EventLoop) UseAddresses(ctx context.Context, discovery *DiscoveryClient, discoveryAddr, counterAddr string) {
	discovery.Watch(discoveryAddr)
	l.post(ctx, func() { l.counter.UseAddress(counterAddr) })
}

// WaitCounterIdle waits until no call to the counter is pending, so that the amounts that the policy returns to the counter arrive
// there. It waits for limit at most. It may be called from any goroutine.
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
		time.Sleep(counterIdlePoll)
	}
}
