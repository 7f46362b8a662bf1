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
	eventQueueLength    = 1024
	timerSlack          = 0.01 // seconds by which the timer may be early without being set anew
	counterIdlePoll     = 5 * time.Millisecond
	peerErrorsPerSecond = 5 // log lines on what others sent that makes no sense: a flood of it must not become one of lines
)

// EventLoop owns the policy, the invocations in progress and the gateway's one timer, all on the goroutine of Run. Everybody else
// reaches them by functions posted to its queue. It never waits for a socket and decides nothing itself.
type EventLoop struct {
	queue      chan func()
	log        zerolog.Logger
	peerErrors zerolog.Logger // what others sent that makes no sense, a few lines a second
	startedAt  time.Time
	startClock float64 // clock time at startedAt

	// Of Run's goroutine:
	policy          *policy.Gateway
	hosts           *HostPool
	counter         *CounterClient
	peers           *PeerSocket
	store           *StoreStream // what the quota store holds for this gateway; nil: nothing
	invocations     map[*policy.Invocation]*invocation
	recentRefs      recentRefs
	timeouts        deliveryQueue // deliveries in progress, by the time at which they are given up
	endedDeliveries []*delivery   // ended within a call of the policy, to be reported after it
	now             float64       // clock time of the event at hand
	policyTimer     policydriver.Timer
	membershipTimer policydriver.Timer
}

// NewEventLoop makes a loop that takes events at once; Run works on them.
func NewEventLoop(log zerolog.Logger) *EventLoop {
	now := time.Now()
	return &EventLoop{
		queue:       make(chan func(), eventQueueLength),
		log:         log,
		peerErrors:  log.Sample(&zerolog.BurstSampler{Burst: peerErrorsPerSecond, Period: time.Second}),
		startedAt:   now,
		startClock:  float64(now.UnixNano()) / 1e9,
		invocations: map[*policy.Invocation]*invocation{},
		recentRefs:  newRecentRefs(),
	}
}

// clock is the clock time now: seconds of the wall clock at start plus those of the monotonic one since.
func (l *EventLoop) clock() float64 { return l.clockAt(time.Now()) }

func (l *EventLoop) clockAt(t time.Time) float64 { return l.startClock + t.Sub(l.startedAt).Seconds() }

// post puts an event on the queue; it waits for room unless the gateway is ending.
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

// Run turns what the queue brings into calls of the policy, and its decisions into work for the sockets. It returns when ctx
// ends. A panic is logged and goes on: a gateway that decides wrongly must not.
func (l *EventLoop) Run(ctx context.Context, gateway *policy.Gateway, hosts *HostPool, counter *CounterClient, peers *PeerSocket) error {
	defer func() {
		if failure := recover(); failure != nil {
			l.log.Error().Str("stack", string(debug.Stack())).Msg(fmt.Sprint("panic: ", failure))
			panic(failure)
		}
	}()
	l.policy, l.hosts, l.counter, l.peers = gateway, hosts, counter, peers
	timer := time.NewTimer(time.Hour)
	armedFor := 0.0 // clock time; 0: it has run out
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-l.queue:
			l.handle(event)
			l.handleQueued()
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

// handle runs an event at its own time: what is due between two events is judged by the later one's.
func (l *EventLoop) handle(event func()) {
	l.now = l.clock()
	event()
}

// handleQueued runs what stands in the queue now; what comes meanwhile waits for the next round.
func (l *EventLoop) handleQueued() {
	for queued := len(l.queue); queued > 0; queued-- {
		l.handle(<-l.queue)
	}
}

// step does what follows each batch of events: time-outs, the policy's tick, its decisions, the store, the membership.
func (l *EventLoop) step() {
	l.expire()
	if l.policyTimer.Due(l.now) {
		l.policy.Tick(l.now)
		l.policyTimer.Clear()
		l.hosts.closeIdle()
		l.counter.closeRetired()
		l.counter.closeOvertaken()
		l.rotateRefs()
	}
	l.decide()
	l.store.turn()
	if l.membershipTimer.Due(l.now) {
		l.policy.RefreshMembership(l.now)
		l.membershipTimer.Clear()
	}
}

// nextWake is the clock time at which the loop has something to do although no event comes.
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

// expire ends what has waited for long enough: deliveries, and calls to the counter.
func (l *EventLoop) expire() {
	for len(l.timeouts) > 0 && l.timeouts[0].due <= l.now {
		l.hosts.withdraw(l.timeouts[0], policy.TimedOut)
	}
	l.counter.expire()
	l.reportEnded()
}

// decide carries out the policy's decisions until there are none.
func (l *EventLoop) decide() {
	l.reportWithinPolicy() // what the tick and the events led to
	policydriver.DecideAll(l.policy, l.now, func(decided *policy.Invocation, decision policy.Decision) {
		l.carryOut(l.invocations[decided], decision)
		l.reportWithinPolicy()
	})
}

// reportWithinPolicy tells the policy of what ended within its own calls.
func (l *EventLoop) reportWithinPolicy() {
	l.counter.reportRefused()
	l.reportEnded()
}

// UseAddresses takes up other addresses of discovery and of the counter, while all goes on. It may be called from any goroutine.
func (l *EventLoop) UseAddresses(ctx context.Context, discovery *DiscoveryClient, discoveryAddr, counterAddr string) {
	discovery.Watch(discoveryAddr)
	l.post(ctx, func() { l.counter.UseAddress(counterAddr) })
}

// WaitCounterIdle waits until no call to the counter is pending, so that what the policy gives back gets there, at most for
// limit. It may be called from any goroutine.
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
