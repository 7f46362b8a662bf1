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
const early = 0.008

// badLines is how many lines a second tell of what others sent that makes no sense: a flood of it must not become one of lines.
const badLines = 5

// past is a deadline that ends whatever waits on a connection.
var past = time.Unix(1, 0)

type Loop struct {
	queue   chan func()
	log     zerolog.Logger
	bad     zerolog.Logger // what others sent that makes no sense, a few lines a second
	module  *policy.Gateway
	hosts   *Hosts
	counter *Counter
	peers   *Peers
	copies  *Copies // what keepers hold for this api gateway; nil: nothing
	inHand  map[*policy.Invocation]*invocation
	refs    [2]map[string]bool // of those in hand or just answered: of late, and before that
	refsAt  float64            // when they were last moved on
	due     deliveries         // by the time at which they are given up
	ended   []*delivery        // given up within a call of the module, to be told after it
	now     float64
	base    float64 // clock time at start
	start   time.Time
}

// invocation is one taken from a client, until its final answer is handed to the client's connection.
type invocation struct {
	http1.Invocation
	from    *client
	request *Buffer
	came    time.Time // its last byte
	in      *policy.Invocation
	giveUp  float64
	out     *delivery // the delivery that is out
	timeout bool      // the last one ended without an answer in time
	sent    bool      // a delivery has begun
	asked   uint64    // the number under which its mark was asked for; 0: it was not
	marked  bool      // its mark is held by keepers
}

func NewLoop(log zerolog.Logger) *Loop {
	now := time.Now()
	return &Loop{
		queue: make(chan func(), 1024), log: log, bad: log.Sample(&zerolog.BurstSampler{Burst: badLines, Period: time.Second}), inHand: map[*policy.Invocation]*invocation{},
		refs: [2]map[string]bool{{}, {}},
		base: float64(now.UnixNano()) / 1e9, start: now,
	}
}

// clock is the wall clock at start and the monotonic one since.
func (l *Loop) clock() float64 { return l.at(time.Now()) }

// at is a moment by that clock.
func (l *Loop) at(t time.Time) float64 { return l.base + t.Sub(l.start).Seconds() }

// tell puts one thing on the queue; it waits for room unless the api gateway is ending.
func (l *Loop) tell(ctx context.Context, what func()) {
	select {
	case l.queue <- what:
		return
	default: // full: the slower way
	}
	select {
	case l.queue <- what:
	case <-ctx.Done():
	}
}

// Run turns what the queue brings into calls of the module, and its answers into work for the sockets.
func (l *Loop) Run(ctx context.Context, module *policy.Gateway, hosts *Hosts, counter *Counter, peers *Peers) error {
	defer func() {
		if r := recover(); r != nil { // not swallowed: an api gateway that decides wrongly must not go on
			l.log.Error().Str("stack", string(debug.Stack())).Msg(fmt.Sprint("panic: ", r))
			panic(r)
		}
	}()
	l.module, l.hosts, l.counter, l.peers = module, hosts, counter, peers
	timer, set := time.NewTimer(time.Hour), 0.0
	var tick, meet policydriver.Timer
	for {
		select {
		case <-ctx.Done():
			return nil
		case what := <-l.queue:
			l.now = l.clock()
			what()
			for n := len(l.queue); n > 0; n-- { // each at its own time: what is due in between is judged by it
				what = <-l.queue
				l.now = l.clock()
				what()
			}
		case <-timer.C:
			l.now, set = l.clock(), 0
		}
		l.expire()
		if tick.Due(l.now) {
			l.module.Tick(l.now)
			tick.Clear()
			l.hosts.sweep()
			l.counter.leave()
			l.counter.sweep()
			l.forget()
		}
		l.turns()
		l.copies.turn()
		if meet.Due(l.now) {
			l.module.RefreshMembership(l.now)
			meet.Clear()
		}
		next, _ := tick.Schedule(l.module.TickDelay(l.now), l.now)
		if at, _ := meet.Schedule(l.module.MembershipDelay(l.now), l.now); at > 0 {
			next = min(next, at)
		}
		if len(l.due) > 0 {
			next = min(next, l.due[0].due)
		}
		next = min(next, l.counter.next(), l.copies.next())
		if set == 0 || next < set || next > set+0.01 {
			set = next
			timer.Reset(time.Duration(max(0, next-l.now) * 1e9))
		}
	}
}

// expire ends what has waited long enough: deliveries, and calls to the counter.
func (l *Loop) expire() {
	for len(l.due) > 0 && l.due[0].due <= l.now {
		l.hosts.withdraw(l.due[0], policy.TimedOut)
	}
	l.counter.expire()
	l.settle()
}

// settle tells the module of deliveries that were given up within its own calls, by what the queue brought, or here.
func (l *Loop) settle() {
	for len(l.ended) > 0 {
		d := l.ended[0]
		l.ended = l.ended[1:]
		l.after(d, d.outcome, nil)
	}
}

func (l *Loop) turns() {
	l.counter.refused() // calls of the tick and of what the queue brought
	l.settle()
	policydriver.DecideAll(l.module, l.now, func(in *policy.Invocation, a policy.Decision) {
		l.act(l.inHand[in], a)
		l.counter.refused()
		l.settle()
	})
}

// take brings in an invocation whose last byte has been read. Guards against another client's id: sent to a host, it
// would be a second copy of the one that is out, and the one in hand goes on untouched.
func (l *Loop) take(inv *invocation) {
	if l.refs[0][inv.Ref] || l.refs[1][inv.Ref] {
		inv.from.answers <- answer{request: inv.request, status: 409}
		return
	}
	l.refs[0][inv.Ref] = true
	inv.giveUp = l.at(inv.came) + inv.Timeout // it may have waited for the answer before it
	if l.copies.mark(inv) {
		return
	}
	l.admit(inv)
}

// admit brings in an invocation that may be delivered as far as is known elsewhere.
func (l *Loop) admit(inv *invocation) {
	inv.in = l.module.Accept(l.now, policy.Request{
		Ref: inv.Ref, Operation: inv.Operation, Customer: inv.Customer,
		Plan: inv.Plan, Units: inv.Units, Deadline: inv.giveUp, FirstGateway: inv.FirstGateway, GatewayCount: inv.GatewayCount, ClientRetry: inv.Retry,
	})
	l.inHand[inv.in] = inv
}

// forget lets go of ids whose clients have given up since.
func (l *Loop) forget() {
	if l.now-l.refsAt < 2 {
		return
	}
	l.refsAt = l.now
	l.refs[0], l.refs[1] = map[string]bool{}, l.refs[0]
	for _, inv := range l.inHand {
		l.refs[0][inv.Ref] = true
	}
}

// gone: the client has closed its connection; nothing is owed to it any more.
func (l *Loop) gone(inv *invocation) {
	if l.copies.left(inv) || l.inHand[inv.in] != inv {
		return
	}
	l.module.Abandon(l.now, inv.in)
	if inv.out != nil {
		l.hosts.withdraw(inv.out, policy.Cancelled)
	}
	l.finish(inv, 0, 0, nil)
}

func (l *Loop) act(inv *invocation, a policy.Decision) {
	switch a.Action {
	case policy.Send:
		within := inv.giveUp - l.now - early
		if mutation.AttemptOutlivesClient {
			within += 0.3
		}
		if a.Timeout > 0 {
			within = min(within, a.Timeout)
		}
		d := &delivery{inv: inv, in: inv.in.Attempts[len(inv.in.Attempts)-1], sent: l.now, due: l.now + within}
		inv.out, inv.timeout, inv.sent = d, false, true
		heap.Push(&l.due, d)
		l.hosts.send(d, a.Host.Addr)
	case policy.Throttle:
		l.finish(inv, 429, a.RetryAfter, nil)
	case policy.Fail:
		status := 502
		if mutation.FailureAnsweredAsThrottled {
			l.finish(inv, 429, 1, nil)
			return
		}
		if inv.timeout {
			status = 504
		}
		l.finish(inv, status, 0, nil)
	}
}

// after tells the module how a delivery ended. A good answer is handed on by itself; it ends the invocation.
func (l *Loop) after(d *delivery, how policy.Outcome, reply *Buffer) {
	inv := d.inv
	if inv.out == d {
		inv.out = nil
	}
	inv.timeout = how == policy.TimedOut
	over := how == policy.Succeeded || l.inHand[inv.in] != inv
	a := l.module.AttemptEnded(l.now, d.in, policy.AttemptResult{Outcome: how, Final: over, Duration: l.now - d.sent})
	if how == policy.Succeeded {
		l.finish(inv, 200, 0, reply)
		return
	}
	l.act(inv, a)
}

// finish hands the one final answer to the client's connection, which always has room for it.
func (l *Loop) finish(inv *invocation, status int, retryAfter float64, reply *Buffer) {
	if l.inHand[inv.in] != inv {
		l.hosts.buffers.Give(reply)
		return
	}
	delete(l.inHand, inv.in)
	l.copies.over(inv, status)
	inv.from.answers <- answer{request: inv.request, reply: reply, status: status, retryAfter: retryAfter}
}

// Move takes up other addresses of discovery and the counter, while all goes on.
func (l *Loop) Move(ctx context.Context, discovery *Discovery, watch, counter string) {
	discovery.Watch(watch)
	l.tell(ctx, func() { l.counter.Use(counter) })
}

// Count, Cancel, Tell and Log are the module's way out for what belongs to no single invocation.
func (l *Loop) AddCount(name uint64, amount, life float64) { l.counter.add(name, amount, life) }

func (l *Loop) CancelAttempt(in *policy.Attempt) {
	if inv := l.inHand[in.Invocation]; inv != nil && inv.out != nil && inv.out.in == in {
		l.hosts.withdraw(inv.out, policy.Cancelled)
	}
}

func (l *Loop) SendPeer(to int, text string) { l.peers.send(to, text) }
func (l *Loop) Log(text string)              { l.log.Info().Msg(text) }

// deliveries is a heap by due time.
type deliveries []*delivery

func (q deliveries) Len() int           { return len(q) }
func (q deliveries) Less(i, j int) bool { return q[i].due < q[j].due }
func (q deliveries) Swap(i, j int)      { q[i], q[j] = q[j], q[i]; q[i].at, q[j].at = i, j }
func (q *deliveries) Push(x any)        { d := x.(*delivery); d.at = len(*q); *q = append(*q, d) }
func (q *deliveries) Pop() any {
	old := *q
	d := old[len(old)-1]
	d.at, *q = -1, old[:len(old)-1]
	old[len(old)-1] = nil
	return d
}

// Quiet waits until no call to the counter is out, so that what the module gives back gets there; not for long.
func (l *Loop) Quiet(ctx context.Context, limit time.Duration) {
	until := time.Now().Add(limit)
	for more := true; more && time.Now().Before(until); {
		heard := make(chan bool, 1)
		l.tell(ctx, func() {
			l.module.Tick(l.now)
			heard <- len(l.counter.calls) > 0
		})
		select {
		case more = <-heard:
		case <-ctx.Done():
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
