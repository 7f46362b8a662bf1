// Package membershipsim plays membership alone, without hosts and customers, at sizes and for times that whole days don't reach:
// members by the hundred with lossy mail, deaths, returns, cuts and starved ones, and what each believed. It must never
// decide for a member.
package membershipsim

import (
	"math"
	"slices"

	"otterseam/gateway/membership"
	"otterseam/sim/eventqueue"
	"otterseam/sim/randstream"
)

// Plan is what is played.
type Plan struct {
	Members int     `json:"members"`
	Length  float64 `json:"length"` // seconds
	Mail    float64 `json:"mail"`   // messages a second that one takes in
	Part    float64 `json:"part"`   // of it for membership
	Delay   float64 `json:"delay"`  // mean of a message's way, in seconds
	Loss    float64 `json:"loss"`
	Starved float64 `json:"starved"` // part of the members that runs for a tenth of the time, a tenth of a second in each
	Every   float64 `json:"every"`   // seconds between deaths of one member; 0: none dies
	Down    float64 `json:"down"`    // seconds until it is back with empty hands
	MassAt  float64 `json:"mass_at"` // when many die at once; 0: never
	Mass    float64 `json:"mass"`    // part of them
	CutAt   float64 `json:"cut_at"`  // when a part is cut off from the others; 0: never
	CutEnds float64 `json:"cut_ends"`
	Cut     float64 `json:"cut"`
	Seed    uint64  `json:"seed"`
}

// Result is what was seen.
type Result struct {
	Plan
	Deaths   int     `json:"deaths"`
	P50      float64 `json:"p50"` // seconds until one more of the others knew of a death
	P99      float64 `json:"p99"`
	Reached  float64 `json:"reached"` // part of the others that knew of it within ten seconds
	BackP50  float64 `json:"back_p50"`
	BackP99  float64 `json:"back_p99"`
	False    float64 `json:"false"`    // beliefs that a live member is gone, an hour, over all pairs
	Accused  float64 `json:"accused"`  // live members given up by the first to do so, an hour
	Messages float64 `json:"messages"` // a second that one takes in
	Bytes    float64 `json:"bytes"`
	Dropped  float64 `json:"dropped"` // part of the messages that came too many at once
	Wrong    int     `json:"wrong"`   // pairs at the end that believe what is not so
	Share    float64 `json:"share"`   // the largest sum of shares, 1 being all of the quota
	Mass90   float64 `json:"mass_90"` // seconds after the mass death until nine in ten beliefs about the dead were right
}

type one struct {
	group  *membership.Detector
	alive  bool
	life   int
	zone   int
	room   float64
	roomAt float64
	asleep bool
	held   []func()
	died   float64
	born   float64
	seen   int
	knows  []bool // that k is dead
}

type play struct {
	Plan
	q      *eventqueue.Queue
	dice   randstream.Stream
	all    []*one
	took   []float64
	backs  []float64
	false_ float64
	accuse float64
	passed float64
	bytes  float64
	lost   float64
	cut    bool
	share  float64
	massed []int
	mass90 float64
	deaths int
	lives  int
}

// Play plays a plan.
func Play(p Plan) *Result {
	w := &play{Plan: p, q: &eventqueue.Queue{}, dice: randstream.New(p.Seed, "muster"), mass90: math.NaN()}
	pick := randstream.New(p.Seed, "starved").SampleShare(p.Members, p.Starved)
	away := randstream.New(p.Seed, "cut").SampleShare(p.Members, p.Cut)
	for i := range p.Members {
		o := &one{knows: make([]bool, p.Members)}
		if w.CutAt > 0 && away[i] {
			o.zone = 1
		}
		w.all = append(w.all, o)
		w.q.Schedule(1000+w.dice.Uniform(0, 0.5), func() { w.start(i) })
		if p.Starved > 0 && pick[i] {
			w.starve(i)
		}
	}
	settled := 1010.0
	if p.Every > 0 {
		for at := settled; at < 1000+p.Length-15; at += p.Every {
			w.q.Schedule(at, func() {
				if k := w.dice.IntN(p.Members); w.all[k].alive {
					w.kill(k, p.Down)
				}
			})
		}
	}
	if p.MassAt > 0 {
		w.q.Schedule(1000+p.MassAt, func() {
			for k, in := range randstream.New(p.Seed, "mass").SampleShare(p.Members, p.Mass) {
				if in && w.all[k].alive {
					w.massed = append(w.massed, k)
					w.kill(k, p.Down)
				}
			}
		})
	}
	if p.CutAt > 0 {
		w.q.Schedule(1000+p.CutAt, func() { w.cut = true })
		w.q.Schedule(1000+p.CutEnds, func() { w.cut = false })
	}
	w.q.Schedule(settled, w.look)
	w.q.Run(1000 + p.Length)
	return w.result()
}

func (w *play) start(i int) {
	o := w.all[i]
	o.alive, o.life, o.born = true, o.life+1, w.q.Now()
	w.lives++
	o.group = membership.New(membership.Config{
		Self: i, Members: w.Members, MessageRate: w.Mail, Part: w.Part, Seed: w.Seed + uint64(w.lives)*7919,
	})
	o.knows, o.seen = make([]bool, w.Members), 0
	w.turn(i, o.life)
}

// run lets a member do something once it has a turn.
func (w *play) run(o *one, what func()) {
	if o.asleep {
		o.held = append(o.held, what)
		return
	}
	what()
}

func (w *play) turn(i, life int) {
	o := w.all[i]
	if !o.alive || o.life != life {
		return
	}
	w.run(o, func() {
		if !o.alive || o.life != life {
			return
		}
		now := w.q.Now()
		for _, l := range o.group.Tick(now) {
			w.post(i, l)
		}
		w.note(i)
		w.q.ScheduleAfter(min(0.25, o.group.Wait(now)), func() { w.turn(i, life) })
	})
}

func (w *play) post(from int, l membership.Message) {
	if l.To != membership.Broadcast {
		w.letter(from, l.To, l.Text)
		return
	}
	for to := range w.all {
		if to != from {
			w.letter(from, to, l.Text)
		}
	}
}

func (w *play) letter(from, to int, text string) {
	o := w.all[to]
	if w.dice.Chance(w.Loss) || w.cut && w.all[from].zone != o.zone {
		return
	}
	w.q.ScheduleAfter(w.dice.Exponential(w.Delay), func() {
		if !o.alive || w.cut && w.all[from].zone != o.zone {
			return
		}
		now := w.q.Now()
		o.room = min(w.Mail, o.room+w.Mail*(now-o.roomAt))
		if o.roomAt = now; o.room < 1 {
			w.lost++
			return
		}
		o.room--
		w.passed++
		w.bytes += float64(len(text))
		life := o.life
		w.run(o, func() {
			if o.alive && o.life == life {
				o.group.Receive(w.q.Now(), from, text)
				for _, l := range o.group.Tick(w.q.Now()) {
					w.post(to, l)
				}
				w.note(to)
			}
		})
	})
}

// note takes down what a member believes anew.
func (w *play) note(i int) {
	o, now := w.all[i], w.q.Now()
	if o.group.Changes == o.seen {
		return
	}
	o.seen = o.group.Changes
	for k, x := range w.all {
		gone := o.group.StateOf(now, k) == membership.Dead
		if gone == o.knows[k] {
			continue
		}
		o.knows[k] = gone
		switch {
		case now < 1008: // they come up
		case gone && !x.alive && o.born > x.died: // it came later
		case gone && !x.alive:
			w.took = append(w.took, now-x.died)
		case gone && !w.cut && (w.CutEnds == 0 || now > 1000+w.CutEnds+5) && now-x.born > 5:
			w.false_++
			first := true
			for j, y := range w.all {
				first = first && (j == i || !y.alive || !y.knows[k])
			}
			if first {
				w.accuse++
			}
		case !gone && x.alive && now-x.born < 60 && x.life > 1:
			w.backs = append(w.backs, now-x.born)
		}
	}
}

func (w *play) kill(k int, down float64) {
	o := w.all[k]
	o.alive, o.died, o.held = false, w.q.Now(), nil
	w.deaths++
	if down > 0 {
		w.q.ScheduleAfter(down, func() { w.start(k) })
	}
}

func (w *play) starve(i int) {
	o := w.all[i]
	w.q.ScheduleAfter(0.1*w.dice.Float64(), func() {
		var sleep, wake func()
		sleep = func() {
			o.asleep = true
			w.q.ScheduleAfter(0.9, wake)
		}
		wake = func() {
			o.asleep = false
			held := o.held
			o.held = nil
			for _, f := range held {
				f()
			}
			w.q.ScheduleAfter(0.1, sleep)
		}
		w.q.Schedule(1002+w.dice.Float64(), sleep)
	})
}

// look adds up the shares there are now, ten times a second.
func (w *play) look() {
	now, sum := w.q.Now(), 0.0
	for _, o := range w.all {
		if o.alive {
			sum += 1 / o.group.ShareDivisor(now, 0, w.Members)
		}
	}
	w.share = max(w.share, sum)
	if len(w.massed) > 0 && math.IsNaN(w.mass90) {
		right, of := 0.0, 0.0
		for _, o := range w.all {
			for _, k := range w.massed {
				if o.alive && o.life == 1 && !w.all[k].alive {
					of++
					if o.knows[k] {
						right++
					}
				}
			}
		}
		if of > 0 && right/of >= 0.9 {
			w.mass90 = now - 1000 - w.MassAt
		}
	}
	w.q.ScheduleAfter(0.1, w.look)
}

func quantile(xs []float64, p float64) float64 {
	if len(xs) == 0 {
		return math.NaN()
	}
	slices.Sort(xs)
	return xs[min(len(xs)-1, int(p*float64(len(xs))))]
}

func (w *play) result() *Result {
	r := &Result{Plan: w.Plan, Deaths: w.deaths, Share: w.share, Mass90: w.mass90}
	r.P50, r.P99 = quantile(w.took, 0.5), quantile(w.took, 0.99)
	within := 0.0
	for _, t := range w.took {
		if t < 10 {
			within++
		}
	}
	if w.deaths > 0 && w.MassAt == 0 {
		r.Reached = within / float64(w.deaths) / float64(max(1, w.Members-1))
	}
	r.BackP50, r.BackP99 = quantile(w.backs, 0.5), quantile(w.backs, 0.99)
	hours := w.Length / 3600
	r.False, r.Accused = w.false_/hours, w.accuse/hours
	r.Messages = w.passed / w.Length / float64(w.Members)
	r.Bytes = w.bytes / w.Length / float64(w.Members)
	r.Dropped = w.lost / max(1, w.lost+w.passed)
	for i, o := range w.all {
		for k, x := range w.all {
			if o.alive && i != k && (o.group.StateOf(w.q.Now(), k) == membership.Dead) == x.alive {
				r.Wrong++
			}
		}
	}
	return r
}
