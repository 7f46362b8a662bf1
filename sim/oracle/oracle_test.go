package oracle

import (
	"math"
	"strings"
	"testing"

	"otterseam/sim/hostmodel"
	"otterseam/sim/model"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

func fixed(x float64) scenario.Span { return scenario.Span{Lo: x, Hi: x} }

// court is a referee with a clock that the story moves, and an invocation of each effect.
type court struct {
	*Oracle
	now float64
}

func newCourt() *court {
	c := &court{}
	d := &scenario.Day{Gateway: scenario.Gateway{Grace: fixed(0.25)}, Cold: scenario.Cold{Window: fixed(2)}}
	c.Oracle = New(d, 2, func() float64 { return c.now })
	return c
}

func try(effect, group string) *model.Invocation {
	op := &scenario.Operation{Name: "o", Effect: effect, Group: group, TokenTime: fixed(2), Work: fixed(0.1), Value: fixed(1)}
	plan := &scenario.Plan{Rate: fixed(2), Burst: fixed(10), CeilingRate: fixed(1), CeilingBurst: fixed(12), Price: fixed(1)}
	n := &model.Request{Customer: &model.Customer{Key: "c", Plan: plan}, Operation: model.Operation{Operation: op}, Units: 4, ActualUnits: 4}
	return &model.Invocation{Ref: "r", Request: n, GiveUpAt: 5}
}

func (c *court) send(inv *model.Invocation, host int) *model.Attempt {
	d := &model.Attempt{Invocation: inv, Number: len(inv.Attempts), Host: host, SentAt: c.now}
	inv.Attempts = append(inv.Attempts, d)
	c.AttemptSent(d)
	return d
}

// Each story ends in one rule broken, and in none once the step that breaks it is left out.
func TestEachRuleIsSeenBroken(t *testing.T) {
	over := func(d *model.Attempt, proved bool) { d.Ended, d.ProvenNotRun = true, proved }
	for _, x := range []struct {
		name string
		rule int
		text string
		play func(c *court, wrong bool)
	}{
		{"two final answers", 1, "second final answer", func(c *court, wrong bool) {
			inv := try("idempotent", "")
			if c.InvocationAnswered(inv, model.Throttled); wrong {
				c.InvocationAnswered(inv, model.Errored)
			}
		}},
		{"no final answer", 1, "no final answer", func(c *court, wrong bool) {
			inv := try("idempotent", "")
			if !wrong {
				c.InvocationAnswered(inv, model.Errored)
			}
			c.ClientGaveUp(inv)
		}},
		{"answered late", 1, "after its client gave up", func(c *court, wrong bool) {
			inv := try("idempotent", "")
			if wrong {
				c.now = inv.GiveUpAt + 0.1
			}
			c.InvocationAnswered(inv, model.Errored)
		}},
		{"sent after the end", 1, "after its final answer", func(c *court, wrong bool) {
			inv := try("idempotent", "")
			if wrong {
				c.InvocationAnswered(inv, model.Errored)
			}
			c.send(inv, 0)
		}},
		{"run again though it may have run", 2, "may have run", func(c *court, wrong bool) {
			inv := try("non-idempotent", "")
			over(c.send(inv, 0), !wrong)
			c.send(inv, 1)
		}},
		{"throttled though it may have run", 2, "throttled", func(c *court, wrong bool) {
			inv := try("non-idempotent", "")
			over(c.send(inv, 0), !wrong)
			c.InvocationAnswered(inv, model.Throttled)
		}},
		{"token too old", 2, "s after delivery", func(c *court, wrong bool) {
			inv := try("tokened", "all")
			over(c.send(inv, 0), false)
			if c.now = 1.9; wrong {
				c.now = 2.1
			}
			c.send(inv, 1)
		}},
		{"outside its group", 2, "outside its group", func(c *court, wrong bool) {
			inv := try("tokened", "zone")
			over(c.send(inv, 0), false)
			c.CheckGroup(c.send(inv, 1), func(a, b int) bool { return !wrong })
		}},
		{"two out at once", 2, "two deliveries out", func(c *court, wrong bool) {
			inv := try("idempotent", "")
			if d := c.send(inv, 0); !wrong {
				over(d, false)
			}
			c.send(inv, 1)
		}},
		{"run twice", 2, "run twice", func(c *court, wrong bool) {
			inv := try("non-idempotent", "")
			a := c.send(inv, 0)
			over(a, true) // an api gateway that took the wrong outcome for a proof
			b := c.send(inv, 1)
			if c.AttemptStarted(a); wrong {
				c.AttemptStarted(b)
			}
		}},
		{"new work to a draining host", 3, "leaving", func(c *court, wrong bool) {
			c.HostStateTold(0, 7, "leaving", 0)
			if c.now = 0.2; wrong {
				c.now = 0.4
			}
			c.send(try("idempotent", ""), 7)
		}},
		{"a cold host under what they knew", 4, "fell over", func(c *court, wrong bool) {
			h := &hostmodel.Host{Number: 3, StartedAt: 1}
			if wrong {
				c.HostStateTold(0, 3, "active", 1)
			}
			c.HostOverloaded(h, []hostmodel.Arrival{{At: 1, Work: 5, Gateway: 0}, {At: 1, Work: 1, Gateway: 1}})
		}},
		{"a ceiling passed", 5, "ceiling", func(c *court, wrong bool) {
			cust := try("idempotent", "").Request.Customer
			for range map[bool]int{true: 4, false: 3}[wrong] { // 4 units each, 12 at once
				inv := try("idempotent", "")
				inv.Request.Customer = cust
				c.AttemptReached(c.send(inv, 0))
			}
		}},
	} {
		for _, wrong := range []bool{true, false} {
			c := newCourt()
			x.play(c, wrong)
			if !wrong && c.Total > 0 {
				t.Errorf("%s, done well: %v", x.name, c.Violations)
			}
			if wrong && (c.Total == 0 || c.Violations[0].Rule != x.rule || !strings.Contains(c.Violations[0].Text, x.text)) {
				t.Errorf("%s: %v", x.name, c.Violations)
			}
		}
	}
}

// A store gives exactly one burst and its rate, whatever the order and size of what is asked.
func TestTokenBucketIsExact(t *testing.T) {
	c, d := newCourt(), randstream.New(3, "bucket")
	cust := try("idempotent", "").Request.Customer
	cust.Plan.CeilingRate = fixed(0)
	cust.Plan.Rate, cust.Plan.Burst = fixed(2), fixed(10)
	taken, n := 0.0, 0
	c.QuotaHasRoom(cust, 1) // full from here on: what would pass the burst is lost
	for c.now < 1000 {
		if n > 0 {
			c.now += d.Exponential(0.05)
		}
		inv := try("idempotent", "")
		inv.Request.Customer, inv.GiveUpAt = cust, c.now+1
		inv.Request.Units, inv.Request.ActualUnits = 0.5, 0.5
		if room := c.QuotaHasRoom(cust, 0.5); room {
			if _, beyond := c.AttemptReached(c.send(inv, 0)); beyond {
				t.Fatalf("room at %.3f s, and beyond", c.now)
			}
			taken += 0.5
		}
		n++
	}
	// All was asked for: what was taken is the burst and the rate, less what is left.
	c.uses[cust].sent.fill(c.now)
	if want := 10 + 2*c.now - c.uses[cust].sent.level; math.Abs(taken-want) > 1e-6 || taken < 1990 {
		t.Fatalf("%.6f units of %d asked for, want %.6f", taken, 2*n, want)
	}
}

// A customer at its cap on places is beyond it with one more, and not once a delivery has ended.
func TestPlacesAreCounted(t *testing.T) {
	c := newCourt()
	cust := &model.Customer{Key: "p", Plan: &scenario.Plan{MaxOut: fixed(2)}}
	reach := func() (*model.Attempt, bool) {
		inv := try("idempotent", "")
		inv.Request.Customer = cust
		d := c.send(inv, 0)
		_, beyond := c.AttemptReached(d)
		return d, beyond
	}
	first, _ := reach()
	reach()
	if c.QuotaHasRoom(cust, 1) {
		t.Fatal("room for a third of two")
	}
	third, beyond := reach()
	if !beyond {
		t.Fatal("a third of two is not beyond")
	}
	c.AttemptReleased(first)
	c.AttemptReleased(third)
	if c.AttemptReleased(third); !c.QuotaHasRoom(cust, 1) {
		t.Fatal("a place came free, and there is no room")
	}
}
