package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// crew is api gateways on one clock with hosts that answer after a while or not at all, and mail that arrives at once.
type crew struct {
	now    float64
	all    []*Controller
	hosts  int
	up     func(by, host int) bool
	dice   *rand.Rand
	loss   float64
	work   float64 // deliveries a second that all together wish for
	due    []ending
	sent   int
	each   []int
	served int
}

type ending struct {
	at, sent float64
	by, host int
	how      AttemptResult
}

func newCrew(n, hosts int, mail float64) *crew {
	c := &crew{
		now: 1000, hosts: hosts, up: func(int, int) bool { return true },
		dice: rand.New(rand.NewPCG(uint64(n), 7)), work: 3000, each: make([]int, n),
	}
	for i := range n {
		c.all = append(c.all, New(Config{Gateways: n, MessageRate: mail, Seed: uint64(i)}))
		c.all[i].SetFleet(float64(n), hosts)
	}
	return c
}

func (c *crew) name(h int) string { return fmt.Sprint("h", h) }

// run lets time go on in steps of 5 ms.
func (c *crew) run(seconds float64) {
	const step = 0.005
	for until := c.now + seconds; c.now < until; c.now += step {
		slices.SortStableFunc(c.due, func(a, b ending) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		for len(c.due) > 0 && c.due[0].at <= c.now {
			e := c.due[0]
			c.due = c.due[1:]
			if f := c.all[e.by]; f != nil {
				f.AttemptEnded(c.now, c.name(e.host), e.sent, e.how)
			}
			if e.how == Answered {
				c.served++
			}
		}
		for w := c.work * step; w > 0; w-- {
			if w < 1 && c.dice.Float64() > w {
				break
			}
			c.try(c.dice.IntN(len(c.all)))
		}
		for i, f := range c.all {
			if f == nil {
				continue
			}
			f.Evaluate(c.now)
			f.Flush(c.now, func(_ int, text string) {
				for to, g := range c.all {
					if g != nil && to != i && c.dice.Float64() >= c.loss {
						g.Receive(c.now, i, text)
					}
				}
			}, func(string) {})
		}
	}
}

func (c *crew) try(by int) {
	f := c.all[by]
	if f == nil || !f.AllowsAttempt(c.now) {
		return
	}
	h := c.dice.IntN(c.hosts)
	f.RequestArrived(c.now)
	f.AttemptStarted(c.now, c.name(h), false)
	c.sent++
	c.each[by]++
	e := ending{c.now + 0.03 + 0.02*c.dice.Float64(), c.now, by, h, Answered}
	if !c.up(by, h) {
		e.at, e.how = c.now+0.3, Unanswered
	}
	c.due = append(c.due, e)
}

// outage has all hosts silent for so long, and gives what was sent meanwhile and what was served in each tenth of a second after
// the return, as a part of what was before.
func (c *crew) outage(seconds float64) (sent int, back []float64) {
	c.run(3)
	c.served = 0
	c.run(2)
	before := float64(c.served) / 20
	c.up = func(int, int) bool { return false }
	c.sent = 0
	c.run(seconds)
	sent = c.sent
	c.up = func(int, int) bool { return true }
	for range 20 {
		c.served = 0
		c.run(0.1)
		back = append(back, float64(c.served)/before)
	}
	return sent, back
}

func after(back []float64) int {
	return slices.IndexFunc(back, func(x float64) bool { return x > 0.9 })
}

// All hosts are silent for 10 s. The sum of all does not grow with their number, and all are back within a second; without
// mail it is bounded by what each tries for itself; without any of this it is all that is wished for.
func TestTheSumOfAll(t *testing.T) {
	for _, n := range []int{3, 30, 300, 1000} {
		for _, mail := range []float64{60, 0} {
			c := newCrew(n, 40, mail)
			sent, back := c.outage(10)
			// Until it is found, a second's work at most; then trials, half as many again for the chances.
			most, late := 3000+10*trials*1.5, 10
			if mail == 0 {
				most, late = 3000+10*min(apart, each*float64(n))*1.5, 20
			}
			if float64(sent) > most {
				t.Errorf("%d api gateways, mail %g: %d deliveries into the silence, at most %.0f are wanted", n, mail, sent, most)
			}
			if at := after(back); at < 0 || at >= late {
				t.Errorf("%d api gateways, mail %g: back after %d tenths of a second, %d wanted: %.2f", n, mail, at, late, back)
			}
		}
	}
	if off := (*Controller)(nil); !off.AllowsAttempt(0) || !off.AllowsRetry() || off.ProbesOnly() {
		t.Error("where it is off something is bounded")
	}
}

// A third of the messages are lost: the same, a little later.
func TestMailIsLost(t *testing.T) {
	c := newCrew(300, 40, 60)
	c.loss = 0.3
	sent, back := c.outage(10)
	if at := after(back); sent > 4000 || at < 0 || at > 10 {
		t.Errorf("%d sent, back after %d tenths: %.2f", sent, at, back)
	}
}

// The hosts come back for three tenths of a second and fall silent again: the return is called off.
func TestASecondSilenceDuringTheReturn(t *testing.T) {
	c := newCrew(300, 40, 60)
	c.outage(5)
	c.up = func(int, int) bool { return false }
	c.run(3)
	c.up = func(int, int) bool { return true }
	c.run(0.1)
	c.up = func(int, int) bool { return false }
	c.sent = 0
	c.run(5)
	if c.sent > 2500 {
		t.Errorf("%d sent into the second silence", c.sent)
	}
}

// Half of the hosts are silent, or one in ten: the others answer, and nothing is shut for long.
func TestHalfOfTheHosts(t *testing.T) {
	for _, down := range []int{4, 20} {
		c := newCrew(300, 40, 60)
		c.up = func(_, h int) bool { return h >= down }
		c.run(10)
		if c.sent < 29000 {
			t.Errorf("%d of 40 silent: %d of 30,000 were sent", down, c.sent)
		}
	}
}

// Three of 300 have broken links and see every host silent. The others go on; the three try little, and are back when
// their links are.
func TestBrokenLinksOfAFew(t *testing.T) {
	c := newCrew(300, 40, 60)
	c.run(3)
	c.up = func(by, _ int) bool { return by >= 3 }
	clear(c.each)
	c.run(20)
	for i, n := range c.each {
		if i < 3 && n > 60 || i >= 3 && n < 130 { // 200 are wished for
			t.Fatalf("api gateway %d sent %d in 20 s", i, n)
		}
	}
	c.up = func(int, int) bool { return true }
	c.run(12)
	for i := range 3 {
		if c.all[i].is != calm {
			t.Errorf("api gateway %d is still %v", i, c.all[i].is)
		}
	}
}

// One says without end that a host has answered, in a silence: it is believed once in ten seconds, and costs each one
// delivery.
func TestALiarsGoodWord(t *testing.T) {
	c := newCrew(100, 40, 60)
	c.run(3)
	c.up = func(int, int) bool { return false }
	c.run(2)
	c.sent = 0
	for range 80 {
		for _, f := range c.all[1:] {
			f.Receive(c.now, 0, "~l")
		}
		c.run(0.1)
	}
	if c.sent > 100+8*60 {
		t.Errorf("%d sent in 8 s", c.sent)
	}
}

// Half of all restart in the silence and know of none: they hear of it, or find it themselves.
func TestEmptyHandsInTheSilence(t *testing.T) {
	c := newCrew(300, 40, 60)
	c.run(3)
	c.up = func(int, int) bool { return false }
	c.run(3)
	for i := range 150 {
		c.all[i] = New(Config{Gateways: 300, MessageRate: 60, Seed: uint64(1000 + i)})
		c.all[i].SetFleet(300, 40)
	}
	c.sent = 0
	c.run(5)
	if c.sent > 1500 {
		t.Errorf("%d sent", c.sent)
	}
	c.up = func(int, int) bool { return true }
	c.run(1)
	c.served = 0
	c.run(1)
	if c.served < 2800 {
		t.Errorf("%d served in the second second", c.served)
	}
}

// One was stopped for some seconds with deliveries out. What it could not hear does not count.
func TestStopped(t *testing.T) {
	c := newCrew(30, 40, 60)
	c.run(2)
	f := c.all[3]
	for i := range 8 {
		f.AttemptStarted(c.now, c.name(i), false)
	}
	f.Evaluate(c.now + 4)
	if f.is != calm {
		t.Error("its own sleep is taken for the hosts' silence")
	}
}

// All hosts are three times as slow from one moment on: no silence.
func TestSlowIsNotSilent(t *testing.T) {
	f := New(Config{Gateways: 30, MessageRate: 60, Seed: 1})
	f.SetFleet(30, 40)
	now := 10.0
	var out []float64
	for i := range 400 {
		now += 0.01
		f.AttemptStarted(now, fmt.Sprint(i%40), false)
		out = append(out, now)
		took := 0.05
		if i > 200 {
			took = 0.15
		}
		for len(out) > 0 && now-out[0] >= took {
			f.AttemptEnded(now, fmt.Sprint((400+i-len(out)+1)%40), out[0], Answered)
			out = out[1:]
		}
		f.Evaluate(now)
		if f.is != calm {
			t.Fatalf("after %d deliveries: %v", i, f.is)
		}
	}
}

// Further deliveries: a fifth of the first ones and what was saved, over all.
func TestFurtherDeliveriesOfAll(t *testing.T) {
	for _, n := range []int{3, 300, 1000} {
		sum, first := 0, 0
		for i := range n {
			f := New(Config{Gateways: n, Seed: uint64(i)})
			for k := range 20 {
				f.AttemptStarted(float64(k), "h", false)
				first++
				for f.AllowsRetry() {
					f.AttemptStarted(float64(k), "h", true)
					sum++
				}
			}
		}
		if most := part*float64(first) + max(float64(n), min(saved*float64(n), savedByAll)); float64(sum) > most+1 || float64(sum) < part*float64(first)-1 {
			t.Errorf("%d api gateways: %d further deliveries to %d first ones, at most %.0f", n, sum, first, most)
		}
	}
}

// Whatever else comes as mail is left to others, and nonsense of this kind changes nothing.
func TestForgedWords(t *testing.T) {
	f := New(Config{Gateways: 3, MessageRate: 60})
	for _, text := range []string{"", "~", "!b", "+host"} {
		if f.Receive(1, 1, text) {
			t.Errorf("%q was taken", text)
		}
	}
	if !f.Receive(1, 99, "~s") || !f.Receive(1, -1, "~l") || !f.Receive(1, 1, "~?") || !f.Receive(1, 1, "~- + =") || !f.Receive(1, 1, "~sx") || len(f.silences)+len(f.answers)+len(f.words) > 0 {
		t.Error("a word of nobody counts")
	}
	if strings.Contains(fmt.Sprint(f.letters), "~") {
		t.Error("it is answered")
	}
}

// Three hundred lose the counter in the same millisecond for ten seconds. They don't meet it together: in no hundredth of a
// second do many more dial than in another, and all together stay within what all may. Each alone, as it is where this is off,
// they come in step.
func TestDialsOfAll(t *testing.T) {
	for _, n := range []int{3, 300, 1000} {
		worst := func(make func(i int) *Backoffs) (most, sum int) {
			slots := map[int]int{}
			for i := range n {
				x := make(i).New(0.01)
				for at := x.Next(); at < 10; at += x.Next() {
					if at > 3 { // begun: a pause grows to its longest
						slots[int(at*100)]++
						sum++
					}
				}
			}
			for _, k := range slots {
				most = max(most, k)
			}
			return most, sum
		}
		most, sum := worst(func(i int) *Backoffs { return DecorrelatedBackoffs(n, uint64(i)) })
		if limit := 7 * max(dialled, float64(n)/longest) * 2.2; float64(sum) > limit || most > 8+5*sum/700 {
			t.Errorf("%d api gateways: %d dials in 7 s, %.0f may be; %d in a hundredth of a second", n, sum, limit, most)
		}
		if most, _ := worst(func(int) *Backoffs { return ExponentialBackoffs() }); most != n {
			t.Errorf("each alone: %d of %d in step", most, n)
		}
	}
}

// A host is dead and all have set it aside: all together try it four times a second, at any number of them. It is back, one
// finds out, and all know; meanwhile one alone with a broken link has every host aside, and is believed by nobody.
func TestOneHostIsTriedByAll(t *testing.T) {
	for _, n := range []int{30, 300} {
		var all []*Controller
		for i := range n {
			all = append(all, New(Config{Gateways: n, MessageRate: 60, Seed: uint64(i)}))
			all[i].SetFleet(float64(n), 40)
		}
		now, trials, back, letters := 100.0, 0, 0, 0
		up := false
		at, aside := make([]float64, n), make([]bool, n)
		for i := range n {
			at[i] = now + float64(i)/float64(n) // each has found it in its own moment
		}
		for ; now < 130; now += 0.05 {
			up = now > 125
			for i, f := range all {
				if aside[i] && f.TakeRecovery(now, "h") {
					aside[i], back = false, back+1
				}
				if now < at[i] || up && !aside[i] {
					continue
				}
				if aside[i] && now > 105 {
					trials++
				}
				if up {
					f.HostAnswered("h", now, true)
					aside[i], back = false, back+1
				} else {
					f.HostEjected(now, "h", aside[i])
					aside[i], at[i] = true, now+f.ProbeInterval(now, "h", 2)
				}
			}
			for i, f := range all {
				f.Flush(now, func(_ int, text string) {
					letters++
					for to, g := range all {
						if to != i {
							g.Receive(now, i, text)
						}
					}
				}, func(string) {})
			}
		}
		if most := 20*single*2 + 20; float64(trials) > most || trials < 20 || letters > 300 {
			t.Errorf("%d api gateways: %d trials in 20 s, %.0f may be; %d letters", n, trials, most, letters)
		}
		if back != n {
			t.Errorf("%d of %d have it back", back, n)
		}
		if all[5].EjectionConfirmed(now, "h") {
			t.Error("it counts as set aside by all though it is back")
		}
		all[0].HostEjected(now, "k", false)
		for i := 1; i < n; i++ {
			all[i].Receive(now, 0, "~-k")
			if all[i].EjectionConfirmed(now, "k") || all[i].TakeRecovery(now, "k") {
				t.Fatal("one alone is believed")
			}
		}
		if all[0].ProbeInterval(now, "k", 2) != 2 {
			t.Error("one alone waits for all")
		}
	}
}

// A peer says again and again that a host answers, and it does not: after the first time it is not believed for a while.
func TestAWrongWordOnAHost(t *testing.T) {
	f := New(Config{Gateways: 30, MessageRate: 60})
	f.SetFleet(30, 4)
	times := 0
	for now := 100.0; now < 109; now += 0.1 {
		f.Receive(now, 7, "~+h")
		if f.TakeRecovery(now, "h") {
			times++
			f.HostEjected(now+0.05, "h", false)
		}
	}
	if times != 1 {
		t.Errorf("believed %d times", times)
	}
	for i := range 1000 {
		f.Receive(110, 7, fmt.Sprint("~-x", i))
	}
	if len(f.hosts) > 40 {
		t.Errorf("%d hosts that nobody knows are kept", len(f.hosts))
	}
}
