package policies

import (
	"math"
	"slices"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/simulation"
)

const (
	// retryMargin is how many seconds must be left before the deadline for a further attempt.
	retryMargin = 0.05
	// failureRetryAfter is the retry-after in seconds when an invocation is throttled because no host served it.
	failureRetryAfter = 0.2
)

// baseline is a policy without health tracking, queueing or hedging. It admits by one rule and chooses a host.
type baseline struct {
	rule       string // the name of the policy
	simulation *simulation.Simulation
	out        policydriver.Output
	random     randstream.Stream

	hosts   map[string]policy.HostEntry
	active  []string // sorted addresses
	pending map[string]*pendingInvocation

	buckets      map[string]*shareBucket // by customer, for the rule share
	counts       map[string]*windowCount // by customer, for the rule design
	counterCalls map[uint64][]*pendingInvocation
}

// pendingInvocation is an invocation that has no final answer.
type pendingInvocation struct {
	policy.Request
	attempts   int
	mayHaveRun bool    // an attempt may have run
	window     float64 // quota window in which the invocation was counted
	countName  uint64
}

func newBaseline(rule string, run *simulation.Simulation, out policydriver.Output, random randstream.Stream) *baseline {
	return &baseline{
		rule:         rule,
		simulation:   run,
		out:          out,
		random:       random,
		hosts:        map[string]policy.HostEntry{},
		pending:      map[string]*pendingInvocation{},
		buckets:      map[string]*shareBucket{},
		counts:       map[string]*windowCount{},
		counterCalls: map[uint64][]*pendingInvocation{},
	}
}

func (b *baseline) SetTimers(float64) {}

func (b *baseline) PeerMessage(float64, int, string) {}

func (b *baseline) TimerFired(float64, uint64) {}

func (b *baseline) Abandon(_ float64, ref string) { delete(b.pending, ref) }

func (b *baseline) UpdateHosts(_ float64, list []policy.HostEntry, complete bool) {
	if complete {
		clear(b.hosts)
	}
	for _, entry := range list {
		b.hosts[entry.Addr] = entry
	}
	b.active = b.active[:0]
	for addr, entry := range b.hosts {
		if entry.State == model.HostActive {
			b.active = append(b.active, addr)
		}
	}
	slices.Sort(b.active)
}

// send begins an attempt, or ends the invocation if there is no host for it.
func (b *baseline) send(inv *pendingInvocation) {
	addr := ""
	if b.rule == omniscient {
		addr = b.firstFreeHost()
	} else if len(b.active) > 0 {
		addr = b.active[b.random.IntN(len(b.active))]
	}
	if addr == "" {
		b.endUnserved(inv)
		return
	}
	inv.attempts++
	b.out.Send(inv.Ref, addr, 0)
}

// firstFreeHost returns the host whose actual load would be done first, or "" if no host is usable.
func (b *baseline) firstFreeHost() string {
	best := ""
	earliest := math.Inf(1)
	for _, host := range b.simulation.Hosts {
		if !b.usable(host) {
			continue
		}
		freeIn := float64(host.Load()+1) / (float64(host.Cores) * host.CoreSpeed())
		if freeIn < earliest {
			best = host.Addr
			earliest = freeIn
		}
	}
	return best
}

// usable reports whether a host accepts work: it is up, active and not silent, has room for a connection, and, while cold, a free core.
func (b *baseline) usable(host *hostmodel.Host) bool {
	if host.State != hostmodel.Up || host.IsSilent() || !host.AcceptsConnection() {
		return false
	}
	if b.hosts[host.Addr].State != model.HostActive {
		return false
	}
	return host.Warmth() >= 1 || host.Load() < host.Cores
}

func (b *baseline) AttemptEnded(now float64, ref string, _ int, result policy.AttemptResult) {
	inv := b.pending[ref]
	if inv == nil {
		return
	}
	if result.Final {
		delete(b.pending, ref)
		return
	}
	if !neverRan(result.Outcome) {
		inv.mayHaveRun = true
	}
	mayRetry := !inv.mayHaveRun || b.idempotent(inv)
	if mayRetry && inv.attempts < b.simulation.Day.Gateway.MaxAttempts.Int() && now < inv.Deadline-retryMargin {
		b.send(inv)
		return
	}
	b.endUnserved(inv)
}

// neverRan reports whether an outcome proves that the attempt never ran.
func neverRan(outcome policy.Outcome) bool {
	return outcome == policy.Rejected || outcome == policy.NoConnection || outcome == policy.NotSent
}

func (b *baseline) idempotent(inv *pendingInvocation) bool {
	for i := range b.simulation.Day.Operations {
		if operation := &b.simulation.Day.Operations[i]; operation.Name == inv.Operation {
			return operation.Effect == model.EffectIdempotent
		}
	}
	return false
}

// endUnserved gives the final answer of an invocation that was not served. It throttles only if no attempt can have run or the
// operation is idempotent, and otherwise fails the invocation.
func (b *baseline) endUnserved(inv *pendingInvocation) {
	if inv.mayHaveRun && !b.idempotent(inv) {
		delete(b.pending, inv.Ref)
		b.out.Fail(inv.Ref)
		return
	}
	b.throttle(inv, failureRetryAfter)
}

func (b *baseline) throttle(inv *pendingInvocation, retryAfter float64) {
	delete(b.pending, inv.Ref)
	b.out.Throttle(inv.Ref, retryAfter)
}
