// Package policies holds the deciders that a day can be played with: the deciding module itself, and the plain ones that it
// is compared with. The plain ones must never be taken for good: each says what one idea alone is worth.
package policies

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"otterseam/gateway/policy"
	"otterseam/gateway/policydriver"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/hostmodel"
	"otterseam/sim/randstream"
	"otterseam/sim/simulation"
)

// Names are the deciders that New knows beside a program's path; members is the module with membership on, damped with a bound on
// what all do in a silence as well.
var Names = []string{"module", "members", "damped", "random", "share", "design", "omniscient"}

// New gives a decider by its name.
func New(name string) (simulation.PolicySource, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("no decider %q; there are %s, and wire:PATH for a program that speaks the line protocol",
			name, strings.Join(Names, ", "))
	}
	return source(name), nil
}

type source string

func (d source) Name() string { return string(d) }
func (d source) Err() error   { return nil }
func (d source) Close()       {}

func (d source) NewPolicy(w *simulation.Simulation, slot int, seed uint64, out policydriver.Output) (gatewaymodel.Policy, error) {
	if d == "module" || d == "members" || d == "damped" {
		s := simulation.StartSettings(w.Day, slot)
		if d != "module" {
			s.MembershipShare = 0.1
		}
		s.OverloadControl = d == "damped"
		return policydriver.New(out, func(o policy.Output) (*policy.Gateway, error) { return s.NewPolicy(seed, o) })
	}
	b := &plain{
		kind: string(d), w: w, out: out, dice: randstream.New(seed, "policy"), hosts: map[string]policy.HostEntry{},
		invs: map[string]*held{}, calls: map[uint64][]*held{}, shares: map[string]*share{},
	}
	return b, nil
}

// plain is a decider that knows no health, no line and no repairs: it admits by one rule and draws a host.
type plain struct {
	kind   string
	w      *simulation.Simulation
	out    policydriver.Output
	dice   randstream.Stream
	hosts  map[string]policy.HostEntry
	active []string
	invs   map[string]*held
	calls  map[uint64][]*held
	shares map[string]*share
}

type held struct {
	policy.Request
	sent   int
	maybe  bool // a delivery may have run
	window float64
	name   uint64
}

type share struct{ level, at, before, last float64 }

func (p *plain) SetTimers(float64)                {}
func (p *plain) PeerMessage(float64, int, string) {}
func (p *plain) TimerFired(float64, uint64)       {}
func (p *plain) Abandon(_ float64, ref string)    { delete(p.invs, ref) }

func (p *plain) UpdateHosts(now float64, list []policy.HostEntry, whole bool) {
	if whole {
		clear(p.hosts)
	}
	for _, l := range list {
		p.hosts[l.Addr] = l
	}
	p.active = p.active[:0]
	for addr, l := range p.hosts {
		if l.State == "active" {
			p.active = append(p.active, addr)
		}
	}
	slices.Sort(p.active)
}

func (p *plain) plan(name string) (rate, burst float64) {
	for i := range p.w.Day.Plans {
		if q := &p.w.Day.Plans[i]; q.Name == name {
			return q.Rate.V(), q.Burst.V()
		}
	}
	return 0, 0
}

func (p *plain) Accept(now float64, a policy.Request) {
	h := &held{Request: a}
	p.invs[a.Ref] = h
	rate, burst := p.plan(a.Plan)
	switch {
	case p.kind == "omniscient" && !p.w.QuotaHasRoom(a.Customer, a.Units):
		p.throttle(h, max(0.1, a.Units/max(rate, 1)))
		return
	case p.kind == "share" && rate > 0:
		// An even part of each quota, whatever the traffic.
		width := float64(max(1, a.GatewayCount))
		s := p.shares[a.Customer]
		if s == nil {
			s = &share{level: burst / width, at: now}
			p.shares[a.Customer] = s
		}
		s.level, s.at = min(max(burst/width, a.Units), s.level+rate/width*(now-s.at)), now
		if s.level < a.Units {
			p.throttle(h, (a.Units-s.level)*width/rate)
			return
		}
		s.level -= a.Units
	case p.kind == "design" && rate > 0 && p.w.Day.Counter.Present && a.Deadline-now > p.w.Day.Counter.Limit.V()+0.02:
		// The post's own rule, nothing beside it: one call an invocation, by customer and window. What has no time left to
		// hear the total passes, as what hears none does: a final answer is owed.
		length := burst / rate
		h.window = math.Floor(now / length)
		h.name = name(a.Customer, h.window)
		p.calls[h.name] = append(p.calls[h.name], h)
		p.out.AddCount(h.name, a.Units, min(60, 2.2*length))
		return
	}
	p.send(now, h)
}

func name(customer string, window float64) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(fmt.Sprintf("%s %.0f", customer, window)) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h >> 1
}

func (p *plain) CounterReplied(now float64, n uint64, how policy.Outcome, sum, took float64) {
	q := p.calls[n]
	if len(q) == 0 {
		return
	}
	h := q[0]
	if p.calls[n] = q[1:]; len(q) == 1 {
		delete(p.calls, n)
	}
	if h == nil || p.invs[h.Ref] == nil { // it was taken off, or is over
		return
	}
	rate, burst := p.plan(h.Plan)
	if how == policy.Succeeded {
		s := p.shares[h.Customer]
		if s == nil {
			s = &share{last: h.window}
			p.shares[h.Customer] = s
		}
		if h.window > s.last { // what the window before left unused, by the last total seen of it
			s.before, s.level, s.last = max(0, min(burst, burst-s.level)), 0, h.window
		}
		s.level = sum
		if sum > burst+s.before {
			p.calls[n] = append(p.calls[n], nil)
			p.out.AddCount(n, -h.Units, min(60, 2.2*burst/rate))
			p.throttle(h, (h.window+1)*burst/rate-now)
			return
		}
	} // without a total the post has no rule: it passes
	p.send(now, h)
}

func (p *plain) send(now float64, h *held) {
	addr := ""
	if p.kind == "omniscient" {
		addr = p.best(h)
	} else if len(p.active) > 0 {
		addr = p.active[p.dice.IntN(len(p.active))]
	}
	if addr == "" {
		p.end(h)
		return
	}
	h.sent++
	p.out.Send(h.Ref, addr, 0)
}

// best is the host that would be done first, by its true state; one that is cold, silent or draining is kept off.
func (p *plain) best(h *held) string {
	best, least := "", math.Inf(1)
	for _, x := range p.w.Hosts {
		if x.State != hostmodel.Up || x.IsSilent() || !x.AcceptsConnection() || p.hosts[x.Addr].State != "active" || x.Warmth() < 1 && x.Load() >= x.Cores {
			continue
		}
		if ends := float64(x.Load()+1) / (float64(x.Cores) * x.CoreSpeed()); ends < least {
			best, least = x.Addr, ends
		}
	}
	return best
}

func (p *plain) effect(operation string) string {
	for i := range p.w.Day.Operations {
		if o := &p.w.Day.Operations[i]; o.Name == operation {
			return o.Effect
		}
	}
	return "non-idempotent"
}

func (p *plain) AttemptEnded(now float64, ref string, number int, e policy.AttemptResult) {
	h := p.invs[ref]
	if h == nil {
		return
	}
	if e.Final {
		delete(p.invs, ref)
		return
	}
	if !strings.ContainsRune("FCN", rune(e.Outcome)) {
		h.maybe = true
	}
	if again := p.effect(h.Operation) == "idempotent" || !h.maybe; again && h.sent < p.w.Day.Gateway.Deliveries.N() && now < h.Deadline-0.05 {
		p.send(now, h)
		return
	}
	p.end(h)
}

// end gives a final answer: a throttling only where nothing can have run or running again does no harm.
func (p *plain) end(h *held) {
	if h.maybe && p.effect(h.Operation) != "idempotent" {
		delete(p.invs, h.Ref)
		p.out.Fail(h.Ref)
		return
	}
	p.throttle(h, 0.2)
}

func (p *plain) throttle(h *held, retryAfter float64) {
	delete(p.invs, h.Ref)
	p.out.Throttle(h.Ref, retryAfter)
}
