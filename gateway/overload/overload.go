// Package overload bounds what all api gateways do as a sum while hosts do not answer: deliveries into a silence, trials, further
// deliveries, dials. It decides by what it is told and when, with peers' words where there is mail and by its own number alone
// where there is none. It must never do I/O, read a clock, or draw chances that its seed does not give.
//
// How to call it. Sent and Ended tell of deliveries, Heard of peers' words; Look is to be called often while any is out. Open
// says whether a delivery may begin, Further whether one more of the same invocation may; Act gives what is to be said.
// A nil Controller bounds nothing.
package overload

import (
	"fmt"
	"math"

	"otterseam/gateway/membership"
	"otterseam/internal/rng"
)

// state is how the hosts as a whole are seen.
type state int

const (
	calm      state = iota
	silent          // none of them answers: only trials go out
	returning       // one has answered, or a peer says so: more goes out with each answer
)

func (s state) String() string { return [...]string{"calm", "silent", "returning"}[s] }

const (
	// alone is how much must be unanswered, with no answer between, for one to judge by itself; agreed, with peers' words; from
	// suspected on it asks for them. With the part q of the hosts silent, as many in a row are sent to silent ones with a
	// chance of q to that power, and the next answer of any host ends the error.
	alone, suspected, agreed = 6.0, 3.0, 1.0
	// quorum is how many peers must say the same, and fresh for how long a word counts, in seconds.
	quorum, fresh = 3, 2.0
	// trials is how many deliveries a second all api gateways together try a silence with, where its end is told by mail;
	// apart, where each has to find it by itself; each is at most what one tries then.
	trials, apart, each = 20.0, 600.0, 6.0
	// words is how many messages a second all together say that the silence goes on.
	words = 6.0
	// voices is how many of all speak when all have the same to say.
	voices = 24.0
	// spread is over how many seconds many begin again, each at a moment of its own.
	spread = 0.4
	// doubted is for how long a peer is not believed whose word of an answer turned out wrong, in seconds.
	doubted = 10.0
	// kept is for how long a delivery without an answer counts, in seconds.
	kept = 3.0
	// whole is how many deliveries one may have out when a return counts as over; settled, how long it takes at most.
	whole, settled = 16.0, 0.5
)

// piece is a delivery that got no answer, yet or at all.
type piece struct {
	host   string
	at     float64
	ended  bool
	weight float64 // of its silence
}

// Config say where an instance stands.
type Config struct {
	Gateways    int     // of the list
	MessageRate float64 // messages a second that one takes in from all; 0: there is no mail
	Seed        uint64
}

// Controller is one api gateway's part in what all do.
type Controller struct {
	all, live float64 // api gateways of the list, and those that are there
	listed    int     // hosts
	mail      float64
	chances   rng.Line
	is        state
	out       []piece
	usual     float64 // time of answers of late
	since     float64 // when the last delivery that was answered was sent
	looked    float64
	began     float64 // the silence
	tryAt     float64 // silent: no delivery before
	openAt    float64 // returning: none before
	most      float64 // returning: how many may be out that were sent since
	sure      float64 // returning: when an answer came here; 0: none has
	by        int     // returning: by whose word
	tried     float64 // trials in this silence
	silences  map[int]float64
	answers   map[int]float64
	doubt     map[int]float64
	suspects  bool    // it has asked for peers' words
	askedAt   float64 // when a peer did, and no answer has come here since to what was sent later; 0: none
	hosts     map[string]*sight
	words     []string // on hosts, for the next letter
	wordsAt   float64  // not before
	forgetAt  float64
	letters   []string
	sayAt     float64
	lines     []string
	budget    budget
	amplified amplified
}

// New makes an instance's part.
func New(t Config) *Controller {
	n := float64(max(1, t.Gateways))
	return &Controller{
		all: n, live: n, mail: t.MessageRate, usual: 0.05, silences: map[int]float64{}, answers: map[int]float64{},
		doubt: map[int]float64{}, hosts: map[string]*sight{}, chances: rng.By("damp %d ", t.Seed), budget: newBudget(n),
	}
}

func (f *Controller) chance() float64 { return f.chances.Next() }

// Stand says how many api gateways are there, and how many hosts are listed.
func (f *Controller) SetFleet(live float64, hosts int) {
	if f != nil {
		f.live, f.listed = max(1, live), hosts
	}
}

// Open says whether a delivery may begin now.
func (f *Controller) AllowsAttempt(now float64) bool {
	if f == nil {
		return true
	}
	switch f.is {
	case silent:
		return now >= f.tryAt
	case returning:
		return now >= f.openAt && f.outSince(f.openAt) < f.most
	}
	return true
}

// Sparing says that what begins now is a trial, and so must be something that may run again.
func (f *Controller) ProbesOnly() bool {
	return f != nil && (f.is == silent || f.is == returning && f.most < 3)
}

func (f *Controller) outSince(at float64) (n float64) {
	for i := range f.out {
		if !f.out[i].ended && f.out[i].at >= at {
			n++
		}
	}
	return n
}

// Sent: a delivery begins; further: not the first of its invocation.
func (f *Controller) AttemptStarted(now float64, host string, further bool) {
	if f == nil {
		return
	}
	if len(f.out) == 0 {
		f.looked = now
	}
	f.out = append(f.out, piece{host: host, at: now, weight: 1})
	f.amplified.sent(now, further)
	f.budget.sent(further)
	if f.is == silent {
		f.tried++
		f.tryAt = now + f.gap()
	}
}

// gap is until this instance's next trial: drawn, so that all together try as often as they should at any number of them, and no
// two that lost sight in the same moment try in the same one. Whoever is dead is simply not drawn.
func (f *Controller) gap() float64 {
	sum := trials
	if f.mail == 0 {
		sum = apart
	}
	return max(1/each, f.live/sum) * (0.5 + f.chance())
}

// AttemptResult a delivery ended.
type AttemptResult int

const (
	Answered      AttemptResult = iota // by its host, well or not
	Unanswered                         // given up, or its connection broke
	ConnectFailed                      // no connection came up
	Inconclusive                       // withdrawn here, or never begun: it tells nothing
	Rejected                           // its host turned it away: it is there
)

// Ended: a delivery ended; sent is when it began.
func (f *Controller) AttemptEnded(now float64, host string, sent float64, how AttemptResult) {
	if f == nil {
		return
	}
	at := -1
	for i := range f.out {
		if p := &f.out[i]; !p.ended && p.at == sent && p.host == host {
			at = i
			break
		}
	}
	if at < 0 { // it was let go of, but an answer is a sign of life all the same
		if how == Answered {
			f.life(now, sent)
		}
		return
	}
	switch how {
	case Answered, Rejected:
		f.out = append(f.out[:at], f.out[at+1:]...)
		if how == Answered {
			f.usual += 0.1 * (min(now-sent, 4*f.usual+0.02) - f.usual)
		}
		f.life(now, sent)
	case Inconclusive:
		f.out = append(f.out[:at], f.out[at+1:]...)
	case ConnectFailed: // refused at once it costs little, and may be for want of descriptors here
		f.out[at].ended, f.out[at].weight = true, 0.5
	case Unanswered:
		f.out[at].ended = true
	}
}

// late is after how long a delivery counts as unanswered. Guards against hosts that are only slow: all of them would have to
// be four times as slow as of late from one moment to the next.
func (f *Controller) late() float64 { return max(0.08, 4*f.usual) }

// mute is how much is unanswered, on how many hosts, with no answer to anything sent since. What was sent into a silence tells
// nothing of the return.
func (f *Controller) mute(now float64) (sum float64, hosts int) {
	seen, from := map[string]bool{}, math.Inf(-1)
	if f.is == returning {
		from = f.openAt
	}
	for i := range f.out {
		p := &f.out[i]
		if p.at <= f.since || p.at < from || !p.ended && now-p.at <= f.late() {
			continue
		}
		sum += p.weight
		seen[p.host] = true
	}
	return sum, len(seen)
}

// Look judges. Guards against an api gateway that was stopped: what it could not hear meanwhile does not count.
func (f *Controller) Evaluate(now float64) {
	if f == nil {
		return
	}
	if f.looked > 0 && now-f.looked > 0.3 {
		f.out = nil
	}
	f.looked = now
	old := 0
	for old < len(f.out) && f.out[old].ended && now-f.out[old].at > kept {
		old++
	}
	f.out = f.out[old:]
	sum, hosts := f.mute(now)
	said, answered := count(f.silences, now, fresh), count(f.answers, now, fresh)
	need := alone
	if answered > said { // guards against half of the hosts silent, which looks like all from here now and then
		need = 2 * alone
	}
	few := hosts < min(3, f.listed)
	switch {
	case f.is == calm && (sum >= need && !few || sum >= agreed && said >= quorum && said > 2*answered):
		f.shut(now, fmt.Sprintf("%.0f deliveries to %d hosts without an answer, %d peers say the same", sum, hosts, said))
	case f.is == calm && sum >= suspected && !few && !f.suspects:
		f.suspects = true
		f.sayAmong("s")
	case f.is == returning && f.sure == 0 && sum >= 1 && now >= f.openAt:
		if f.by >= 0 { // guards against a peer whose good word is wrong: it costs one delivery here
			f.doubt[f.by] = now + doubted
		}
		f.shut(now, "a peer had an answer, here there is none")
	case f.is == returning && f.sure > 0 && sum >= max(2, f.most/2) && !few:
		f.shut(now, fmt.Sprintf("%.0f without an answer while coming back", sum))
	case f.is == returning && f.sure > 0 && (f.most > whole || now-f.sure > settled):
		f.change(now, calm, fmt.Sprintf("silent for %.2f s", now-f.began))
	}
}

// shut: only trials from here on.
func (f *Controller) shut(now float64, why string) {
	if f.is == calm {
		f.began, f.tried = now, 0
		f.sayAmong("s")
	}
	f.change(now, silent, why)
	f.tryAt, f.sayAt = now+f.gap()*f.chance(), now+f.live/words*2*f.chance()
}

func (f *Controller) change(now float64, to state, why string) {
	if f.is != to {
		f.lines = append(f.lines, fmt.Sprintf("overload: hosts %v, were %v: %s; %s, %.0f trials", to, f.is, why, f.amplified.text(now), f.tried))
	}
	f.is = to
}

// life: a delivery that was sent then was answered.
func (f *Controller) life(now, sent float64) {
	f.since, f.suspects = max(f.since, sent), false
	switch f.is {
	case calm:
		// Guards against a few whose own links are broken: an answer to what was sent since they spoke speaks against them.
		if f.askedAt > 0 && sent >= f.askedAt {
			f.askedAt = 0
			f.sayAmong("l")
		}
	case silent:
		if sent < f.began-f.late() { // of before: it was only slow
			return
		}
		f.say("l")
		f.change(now, returning, "answered here")
		f.openAt, f.most, f.sure, f.by = now, 2, now, -1
	case returning:
		if f.sure == 0 {
			f.sure = now
		}
		f.most++
	}
}

// Heard brings a peer's word; false: it is not one about overload.
func (f *Controller) Receive(now float64, from int, text string) bool {
	if len(text) < 2 || text[0] != '~' {
		return false
	}
	if f == nil || from < 0 || float64(from) >= f.all {
		return true
	}
	switch text[1:] {
	default:
		f.read(now, from, text[1:])
	case "s":
		if f.silences[from] = now; f.askedAt == 0 {
			f.askedAt = now
		}
		delete(f.answers, from)
	case "l":
		f.answers[from] = now
		delete(f.silences, from)
		if f.is == silent && now >= f.doubt[from] {
			f.change(now, returning, fmt.Sprintf("api gateway %d had an answer", from))
			// Guards against a return by all at once, which would be the next outage: the more they are beside the hosts, the
			// longer they take to begin, each with one delivery.
			f.openAt = now + spread*min(1, f.live/float64(4*max(1, f.listed)))*f.chance()
			f.most, f.sure, f.by = 1, 0, from
		}
	}
	return true
}

func (f *Controller) say(kind string) {
	if f.mail > 0 {
		f.letters = append(f.letters, "~"+kind)
	}
}

// sayAmong says what many have to say at the same moment: some of them do.
func (f *Controller) sayAmong(kind string) {
	if f.among() {
		f.say(kind)
	}
}

// among says whether this one speaks where all have the same to say.
func (f *Controller) among() bool { return f.chance() < voices/f.live }

// Act gives what is to be said to all peers and to the log.
func (f *Controller) Flush(now float64, tell func(to int, text string), log func(text string)) {
	if f == nil {
		return
	}
	if f.is == silent && now >= f.sayAt { // those who have just started know of no silence
		f.sayAt = now + f.live/words*(0.5+f.chance())
		f.say("s")
	}
	f.write(now)
	f.forget(now)
	for _, text := range f.letters {
		tell(membership.Broadcast, text)
	}
	for _, line := range f.lines {
		log(line)
	}
	f.letters, f.lines = f.letters[:0], f.lines[:0]
}

// Wait is how long Look and Act need not be called, in seconds.
func (f *Controller) Wait(now float64) float64 {
	switch {
	case f == nil || f.is == calm && len(f.out) == 0:
		return math.Inf(1)
	case f.is == silent:
		return max(0.001, min(0.25, min(f.tryAt, f.sayAt)-now))
	case f.is == returning && now < f.openAt:
		return max(0.001, f.openAt-now)
	}
	return 0.05
}
