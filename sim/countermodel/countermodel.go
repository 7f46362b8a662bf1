// Package countermodel owns the model of the shared counter: named sums in parts of limited capacity, and what may befall
// them. It must never know what a name stands for.
package countermodel

import (
	"maps"
	"math"

	"otterseam/sim/eventqueue"
	"otterseam/sim/overlap"
	"otterseam/sim/randstream"
	"otterseam/sim/scenario"
)

// Outcome is how the counter deals with a call.
type Outcome int

const (
	Added Outcome = iota
	Rejected
	ConnectionRefused // no connection
)

type sum struct{ value, ends float64 }

type part struct {
	free float64 // when it has done all that has come
	sums map[uint64]sum
}

// Counter is the shared counter, with the copy that a split makes.
type Counter struct {
	q        *eventqueue.Queue
	dice     randstream.Stream
	capacity float64 // calls a second of one part
	most     float64
	time     float64
	copies   [2][]part
	split    int
	silent   int
	refuse   int
	small    overlap.Values
	drop     overlap.Values
	old      [][]map[uint64]sum
	led      map[uint64]float64 // parts of the names whose leader is gone, by whose they were
	// Calls and Answered count what reached it; Unanswered what it left without an answer.
	Calls, Answered, Unanswered float64
}

// New makes the counter of a day.
func New(q *eventqueue.Queue, d *scenario.Counter, seed uint64) *Counter {
	n := d.Parts.N()
	c := &Counter{q: q, dice: randstream.New(seed, "counter"), capacity: d.Capacity.V() / float64(n), most: d.Queue.V(), time: d.Time.V()}
	for i := range c.copies {
		c.copies[i] = make([]part, n)
		for j := range c.copies[i] {
			c.copies[i][j].sums = map[uint64]sum{}
		}
	}
	return c
}

// AcceptsConnections says whether a connection can be had.
func (c *Counter) AcceptsConnections() bool { return c.refuse == 0 }

// Add adds an amount to a name once its turn has come; life is for a new name. done hears of it, at that moment, unless
// the counter says nothing. far: the caller sees the copy, while there is one.
func (c *Counter) Add(far bool, name uint64, amount, life float64, done func(Outcome, float64)) {
	c.Calls++
	if c.refuse > 0 {
		done(ConnectionRefused, 0)
		return
	}
	if c.silent > 0 {
		c.Unanswered++
		return
	}
	if c.leaderless(name) {
		c.Answered++
		done(Rejected, 0)
		return
	}
	side := 0
	if far && c.split > 0 {
		side = 1
	}
	p := &c.copies[side][name%uint64(len(c.copies[side]))]
	each := 1 / (c.capacity * c.small.Product())
	now := c.q.Now()
	if (p.free-now)/each > c.most {
		c.Answered++
		done(Rejected, 0)
		return
	}
	p.free = max(now, p.free) + each
	c.q.Schedule(p.free+c.time, func() {
		if c.silent > 0 || c.refuse > 0 { // it went away with the call in its line
			c.Unanswered++
			return
		}
		s, known := p.sums[name]
		if !known || s.ends <= c.q.Now() {
			s = sum{0, c.q.Now() + life}
		}
		s.value += amount
		p.sums[name] = s
		if c.drop.Any(func(answered float64) bool { return !c.dice.Chance(answered) }) {
			c.Unanswered++
			return
		}
		c.Answered++
		done(Added, digits(s.value))
	})
}

// digits leaves seven of them, as the platform's counter does.
func digits(x float64) float64 {
	if x == 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(x)))-6)
	if unit < 1 { // by the whole number that divides, which is exact
		return math.Round(x*math.Round(1/unit)) / math.Round(1/unit)
	}
	return math.Round(x/unit) * unit
}

// DropExpired drops names whose time is over. The order in which a map is gone through does not show.
func (c *Counter) DropExpired() {
	for i := range c.copies {
		for j := range c.copies[i] {
			maps.DeleteFunc(c.copies[i][j].sums, func(_ uint64, s sum) bool { return s.ends <= c.q.Now() })
		}
	}
}

// Snapshot takes a copy of all counts, for a return with old ones.
func (c *Counter) Snapshot() {
	var all []map[uint64]sum
	for _, p := range c.copies[0] {
		all = append(all, maps.Clone(p.sums))
	}
	c.old = append(c.old, all)
}

// Restore gives it the counts with which it comes back: "kept", "empty" or "old", those of the last Keep.
func (c *Counter) Restore(how string) {
	for i := range c.copies[0] {
		p := &c.copies[0][i]
		p.free = c.q.Now()
		switch {
		case how == "empty":
			p.sums = map[uint64]sum{}
		case how == "old" && len(c.old) > 0:
			p.sums = maps.Clone(c.old[len(c.old)-1][i])
		}
	}
}

// Silence makes it silent, or ends that; Refuse does so for connections.
func (c *Counter) Silence(begin bool)           { c.silent += sign(begin) }
func (c *Counter) RefuseConnections(begin bool) { c.refuse += sign(begin) }

// Split makes a second copy with the same counts, or drops it: the first one's stand.
func (c *Counter) Split(begin bool) {
	if c.split += sign(begin); begin && c.split == 1 {
		for i := range c.copies[1] {
			c.copies[1][i] = part{free: c.q.Now(), sums: maps.Clone(c.copies[0][i].sums)}
		}
	}
}

// Takeover has a part of the names, drawn by whose they were, turned away while nobody leads them: nothing of them is lost.
func (c *Counter) Takeover(led uint64, part float64, begin bool) {
	if c.led == nil {
		c.led = map[uint64]float64{}
	}
	if delete(c.led, led); begin {
		c.led[led] = part
	}
}

func (c *Counter) leaderless(name uint64) bool {
	for led, part := range c.led {
		if x := (name ^ led) * 0x9e3779b97f4a7c15; float64(x>>11)/(1<<53) < part {
			return true
		}
	}
	return false
}

// ScaleCapacity leaves a part of its capacity; Drop lets it answer a part of the calls only.
func (c *Counter) ScaleCapacity(factor float64, begin bool) { c.small.Toggle(factor, begin) }
func (c *Counter) DropAnswers(answered float64, begin bool) { c.drop.Toggle(answered, begin) }

func sign(begin bool) int {
	if begin {
		return 1
	}
	return -1
}
