// Package oracle judges a day from the world's side: whether the five rules were kept, and for each customer's quota
// what was really used. It sees what happens, never what an api gateway thinks, and must never change anything.
package oracle

import (
	"fmt"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/scenario"
)

// Tolerance is how much later than a rule says something may happen on the way, in seconds: 50 ms.
const Tolerance = 0.05

// Violation is a rule broken.
type Violation struct {
	Rule int // 0: none of the five, but a crash or a promise
	At   float64
	Ref  string // of the invocation; "": none in particular
	Text string
}

func (b Violation) String() string {
	if b.Rule == 0 {
		return fmt.Sprintf("at %.3f s: %s", b.At, b.Text)
	}
	return fmt.Sprintf("rule %d at %.3f s: %s", b.Rule, b.At, b.Text)
}

// store fills at a rate and holds one burst; it starts full.
type store struct{ rate, burst, level, at float64 }

func (s *store) fill(now float64) {
	s.level, s.at = min(s.burst, s.level+s.rate*(now-s.at)), now
}

// use is what one customer has really used.
type use struct {
	sent, asked, hard store
	out               int
	wanted            []float64 // when what it asked for inside a cap on places would have been done
}

// state is what an api gateway was told of a host, and when.
type state struct {
	name string
	at   float64
	born float64 // of the start that it was told of
}

// Oracle holds the account of a day.
type Oracle struct {
	Violations []Violation
	MaxKept    int // breaks kept
	Total      int

	now           func() float64
	day           *scenario.Day
	uses          map[*model.Customer]*use
	told          []map[int]state // by api gateway and host
	AllowsHedging bool            // two deliveries of one invocation may be out at once
}

// New makes the referee of a day that has been drawn.
func New(d *scenario.Day, gateways int, now func() float64) *Oracle {
	r := &Oracle{MaxKept: 20, now: now, day: d, uses: map[*model.Customer]*use{}, told: make([]map[int]state, gateways)}
	for i := range r.told {
		r.told[i] = map[int]state{}
	}
	return r
}

func (r *Oracle) broken(rule int, ref, text string, args ...any) {
	if r.Total++; len(r.Violations) < r.MaxKept {
		r.Violations = append(r.Violations, Violation{rule, r.now(), ref, fmt.Sprintf(text, args...)})
	}
}

func (r *Oracle) use(c *model.Customer) *use {
	u := r.uses[c]
	if u == nil {
		p, now := c.Plan, r.now()
		u = &use{
			sent: store{p.Rate.V(), p.Burst.V(), p.Burst.V(), now}, asked: store{p.Rate.V(), p.Burst.V(), p.Burst.V(), now},
			hard: store{p.CeilingRate.V(), p.CeilingBurst.V(), p.CeilingBurst.V(), now},
		}
		r.uses[c] = u
	}
	return u
}

// RequestCreated says whether a customer's need is inside its quota when it is first asked for; what is inside takes its units.
func (r *Oracle) RequestCreated(n *model.Request) bool {
	u, p, now := r.use(n.Customer), n.Customer.Plan, r.now()
	u.asked.fill(now)
	open := u.wanted[:0]
	for _, ends := range u.wanted {
		if ends > now {
			open = append(open, ends)
		}
	}
	u.wanted = open
	if p.Rate.V() > 0 && n.ActualUnits > u.asked.level || p.MaxOut.N() > 0 && len(open) >= p.MaxOut.N() {
		return false
	}
	if p.Rate.V() > 0 {
		u.asked.level -= n.ActualUnits
	}
	if p.MaxOut.N() > 0 {
		u.wanted = append(u.wanted, now+1.5*n.Operation.Work.V())
	}
	return true
}

// HostStateTold: an api gateway was told of a host's state; born is the start of the host that is meant.
func (r *Oracle) HostStateTold(gateway, host int, name string, born float64) {
	old, known := r.told[gateway][host]
	at := r.now()
	if known && old.name != "active" && name != "active" { // it drains, then is gone: the first counts
		at = old.at
	}
	r.told[gateway][host] = state{name, at, born}
}

// GatewayStarted: an api gateway started with this list; it is told of all in it now.
func (r *Oracle) GatewayStarted(gateway int) { r.told[gateway] = map[int]state{} }

// AttemptSent: an api gateway begins to send a delivery.
func (r *Oracle) AttemptSent(d *model.Attempt) {
	inv, now := d.Invocation, r.now()
	if inv.Outcome != model.Pending {
		r.broken(1, inv.Ref, "%s is sent on after its final answer", inv.Ref)
	}
	if now > inv.GiveUpAt+Tolerance {
		r.broken(1, inv.Ref, "%s is sent on after its client gave up", inv.Ref)
	}
	if s, ok := r.told[inv.Gateway][d.Host]; ok && s.name != "active" && now > s.at+r.day.Gateway.Grace.V()+Tolerance {
		r.broken(3, inv.Ref, "%s is sent to host %d, %s for %.3f s", inv.Ref, d.Host, s.name, now-s.at)
	}
	for _, e := range inv.Attempts {
		if e == d {
			continue
		}
		if !e.Ended && !r.AllowsHedging {
			r.broken(2, inv.Ref, "%s has two deliveries out at once", inv.Ref)
		}
	}
	r.CheckRetry(d)
}

// CheckRetry judges only whether a delivery may follow the earlier ones: all that can be said of one held up on its way.
func (r *Oracle) CheckRetry(d *model.Attempt) {
	if bad := r.repeats(d); bad != "" {
		r.broken(2, d.Invocation.Ref, "%s, %s, is sent on again %s", d.Invocation.Ref, d.Invocation.Request.Operation.Effect, bad)
	}
}

// ConnectionDropped: an api gateway that ran all the while has ended a client's connection without an answer.
func (r *Oracle) ConnectionDropped(inv *model.Invocation) {
	r.broken(1, inv.Ref, "%s was taken, and its client's connection ended without an answer", inv.Ref)
}

// GatewayCrashed: an api gateway has ended without being asked to.
func (r *Oracle) GatewayCrashed(gateway int, how error) {
	r.broken(0, "", "api gateway %d has ended by itself: %v", gateway, how)
}

// ExpectationFailed: something that a script promises does not hold.
func (r *Oracle) ExpectationFailed(text string) { r.broken(0, "", "%s", text) }

// GatewayResumed: an api gateway was stopped since a clock time. What it was told meanwhile it could not hear.
func (r *Oracle) GatewayResumed(gateway int, since float64) {
	for h, s := range r.told[gateway] { // each by itself: the order does not show
		if s.at >= since-r.day.Gateway.Grace.V() {
			s.at = r.now()
			r.told[gateway][h] = s
		}
	}
}

// repeats says what is wrong with a further delivery; "": nothing.
func (r *Oracle) repeats(d *model.Attempt) string {
	inv, op := d.Invocation, d.Invocation.Request.Operation
	for _, e := range inv.Attempts {
		if e == d || e.ProvenNotRun {
			continue
		}
		switch op.Effect {
		case "non-idempotent":
			return fmt.Sprintf("though delivery %d may have run", e.Number)
		case "tokened":
			if r.now() > e.SentAt+op.TokenTime.V() {
				return fmt.Sprintf("%.3f s after delivery %d, which may have run", r.now()-e.SentAt, e.Number)
			}
		}
	}
	return ""
}

// CheckGroup says that a tokened invocation is sent outside the group of a host where it may have run.
func (r *Oracle) CheckGroup(d *model.Attempt, same func(a, b int) bool) {
	if d.Invocation.Request.Operation.Effect != "tokened" {
		return
	}
	for _, e := range d.Invocation.Attempts {
		if e != d && !e.ProvenNotRun && !same(e.Host, d.Host) {
			r.broken(2, d.Invocation.Ref, "%s, tokened, is sent outside its group, from host %d to %d", d.Invocation.Ref, e.Host, d.Host)
		}
	}
}

// AttemptReached: a delivery is whole at a host. The first takes its units; it says whether they were beyond the quota.
func (r *Oracle) AttemptReached(d *model.Attempt) (first, beyond bool) {
	inv := d.Invocation
	u, p, n := r.use(inv.Request.Customer), inv.Request.Customer.Plan, inv.Request
	d.ReachedHost = true
	first = !inv.Charged
	if first {
		inv.Charged = true
		now := r.now()
		if u.sent.fill(now); p.Rate.V() > 0 {
			if n.ActualUnits > u.sent.level+1e-9 {
				beyond = true
			} else {
				u.sent.level -= n.ActualUnits
			}
		}
		beyond = beyond || p.MaxOut.N() > 0 && u.out >= p.MaxOut.N()
		if p.CeilingRate.V() > 0 {
			if u.hard.fill(now); n.Units > u.hard.level+1e-9 {
				r.broken(5, inv.Ref, "%s passes the ceiling of customer %s: %.2f units where %.2f were left", inv.Ref, n.Customer.Key,
					n.Units, u.hard.level)
			}
			u.hard.level -= n.Units
		}
	}
	if !d.CountsAgainstQuota {
		d.CountsAgainstQuota = true
		u.out++
	}
	return first, beyond
}

// ConcurrentAttempts: two deliveries of one invocation were out at once for longer than the way explains, as seen where Sent can't.
func (r *Oracle) ConcurrentAttempts(inv *model.Invocation) {
	r.broken(2, inv.Ref, "%s has two deliveries out at once", inv.Ref)
}

// ForeignContent: a client was served with, or a host was sent, what was not made for it.
func (r *Oracle) ForeignContent(ref, text string) { r.broken(1, ref, "%s", text) }

// AttemptStarted: a delivery has begun to run.
func (r *Oracle) AttemptStarted(d *model.Attempt) {
	for _, e := range d.Invocation.Attempts {
		if e != d && e.Started && d.Invocation.Request.Operation.Effect == "non-idempotent" {
			r.broken(2, d.Invocation.Ref, "%s, non-idempotent, has run twice: deliveries %d and %d", d.Invocation.Ref, e.Number, d.Number)
		}
	}
	d.Started = true
}

// AttemptReleased: a delivery is no longer out: its answer is written, or its connection has ended.
func (r *Oracle) AttemptReleased(d *model.Attempt) {
	if d.CountsAgainstQuota {
		d.CountsAgainstQuota = false
		r.use(d.Invocation.Request.Customer).out--
	}
}

// QuotaHasRoom says whether a customer's quota would take so many units now, by what was really sent.
func (r *Oracle) QuotaHasRoom(c *model.Customer, units float64) bool {
	u, p := r.use(c), c.Plan
	u.sent.fill(r.now())
	return (p.Rate.V() == 0 || units <= u.sent.level+1e-9) && (p.MaxOut.N() == 0 || u.out < p.MaxOut.N())
}

// InvocationAnswered: an api gateway gives a final answer.
func (r *Oracle) InvocationAnswered(inv *model.Invocation, how model.Outcome) {
	if inv.Outcome != model.Pending {
		r.broken(1, inv.Ref, "%s gets a second final answer: %s after %s", inv.Ref, model.OutcomeNames[how], model.OutcomeNames[inv.Outcome])
		return
	}
	inv.Outcome = how
	if r.now() > inv.GiveUpAt+Tolerance {
		r.broken(1, inv.Ref, "%s is answered %.3f s after its client gave up", inv.Ref, r.now()-inv.GiveUpAt)
	}
	if how != model.Throttled {
		return
	}
	op := inv.Request.Operation
	for _, d := range inv.Attempts {
		if !d.ProvenNotRun && (op.Effect == "non-idempotent" || op.Effect == "tokened" && op.Group != "all") {
			r.broken(2, inv.Ref, "%s, %s, is throttled though delivery %d may have run", inv.Ref, op.Effect, d.Number)
		}
	}
}

// ClientGaveUp: the client's time is over and nothing has come.
func (r *Oracle) ClientGaveUp(inv *model.Invocation) {
	if inv.Outcome == model.Pending {
		r.broken(1, inv.Ref, "%s was taken and got no final answer before its client gave up", inv.Ref)
		inv.Outcome = model.Unanswered
	}
}

// HostOverloaded: a cold host fell over; a break if two thirds of what did it came from api gateways that knew of its start.
func (r *Oracle) HostOverloaded(h *hostmodel.Host, sent []hostmodel.Arrival) {
	all, told := 0.0, 0.0
	for _, s := range sent {
		all += s.Work
		if k, ok := r.told[s.Gateway][h.Number]; ok && k.born == h.StartedAt {
			told += s.Work
		}
	}
	if told >= all*2/3 {
		r.broken(4, "", "host %d fell over %.2f s after its start under %.3f core seconds in %.2f s, %.0f%% of it from api gateways that knew",
			h.Number, r.now()-h.StartedAt, all, r.day.Cold.Window.V(), 100*told/all)
	}
}
