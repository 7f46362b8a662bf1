// Package membership knows which api gateways of the list are there: each is watched by the two that stand next to it in the
// ring of those there, what they find goes to all, and one that hears itself called gone says that it is not. It decides
// by what it is told and when; it must never do I/O, read a clock, or draw chances that its seed does not give.
//
// How to call it. Heard brings a message of a peer; Due gives what is to be sent now, Wait how long until it should be
// asked again; Is, Count and Apart say what is believed; Said gives lines for the log.
package membership

import (
	"fmt"
	"math"
	"strings"

	"otterseam/internal/rng"
)

// watchers are how many watch each; each death is missed only if all of them miss it.
const watchers = 2

// Message is a message that is to be sent.
type Message struct {
	To   int // number of an api gateway; Broadcast: every one
	Text string
}

// Broadcast stands for every other api gateway.
const Broadcast = -1

// mark numbers a member's lives and what is said of them: even, it is there; odd, it was given up. A newer one counts.
type mark uint32

const marks = 1 << 30 // they go round

// newer says whether a says something newer than b. 0 and 1 are of one that has never been heard of.
func (a mark) newer(b mark) bool {
	if a <= 1 || b <= 1 {
		return a > b
	}
	return a != b && (a-b)%marks < marks/2
}

func (a mark) gone() bool { return a&1 == 1 }

// next is the first mark after a that says: there.
func (a mark) next() mark { return (a + 2 - a&1) % marks }

// peer is what is known of one api gateway.
type peer struct {
	mark     mark
	heard    float64 // the last sign of it that came straight; NaN: none was waited for yet
	goneAt   float64 // since when it is gone, and longer ago the less it counts; as of then
	watched  float64 // when I last looked after it
	beat     float64 // its last beat that came by itself
	unseen   bool    // nothing has come of it since I look after it
	asked    float64 // not to be asked again before
	patience float64 // of me with it: more after I gave it up wrongly
	mine     float64 // when I gave it up myself; 0: I did not
}

// Detector is one api gateway's knowledge of all.
type Detector struct {
	me, n     int
	period    float64 // between beats, in seconds
	most      float64 // messages a second that may be about membership while much happens
	peers     []peer
	chances   rng.Line
	began     bool
	last      float64 // when Due was asked last
	beatAt    float64
	gap       float64 // mean of periods between beats of late: over 1 by those that did not come
	from      int     // where the next window of marks begins
	news      []int   // members of whom all should hear
	newsAt    float64 // not before
	again     int     // times the news last sent are to be said once more
	told      []int   // them
	heardAt   float64 // when anybody was heard last
	deaf      bool    // nobody is
	reached   float64 // when one of those that are gone was asked last
	spacing   float64 // of the usual time until the next
	asks      float64 // questions that may be asked now, as of last
	loud      float64 // messages to all heard or sent of late, by the second
	loudAt    float64
	found     float64 // how many I found of late, as of foundAt
	foundAt   float64
	away      int // how many are gone
	letters   []Message
	left      []int // who was given up, and who is back, since the last line for the log
	came      []int
	note      string // something else that the log should hear
	saidAt    float64
	Malformed int // messages that made no sense
	Changes   int // of what is believed of anyone
}

// New makes the knowledge of api gateway me of n. mail is how many messages a second one takes in from all for all
// purposes; part of it is for this, in quiet times.
func New(me, n int, mail, part float64, seed uint64) *Detector {
	k := float64(min(watchers, n-1))
	g := &Detector{
		me: me, n: n, most: mail / 2, peers: make([]peer, n), gap: 1.1,
		period: min(5, max(0.2, 1.2*k/max(0.01, mail*part))), chances: rng.By("member %d ", seed),
	}
	for i := range g.peers {
		g.peers[i] = peer{heard: math.NaN(), patience: 1}
	}
	return g
}

// Act sends what is due and logs what is new.
func (g *Detector) Flush(now float64, tell func(to int, text string), log func(text string)) {
	for _, l := range g.Tick(now) {
		tell(l.To, l.Text)
	}
	if line := g.LogLine(now); line != "" {
		log(line)
	}
}

// Said gives a line for the log, "" where there is nothing new: one for all that changed within half a second, so that a
// death of hundreds is a few lines.
func (g *Detector) LogLine(now float64) string {
	if g == nil || now-g.saidAt < 0.5 || len(g.left)+len(g.came) == 0 && g.note == "" {
		return ""
	}
	g.saidAt = now
	var b strings.Builder
	fmt.Fprintf(&b, "membership: %d of %d are there; %.2f of the beats missing", g.AliveCount(), g.n, g.missing())
	some := func(what string, in []int) {
		if len(in) > 0 {
			fmt.Fprintf(&b, "; %s %d:", what, len(in))
			for _, k := range in[:min(8, len(in))] {
				fmt.Fprintf(&b, " %d", k)
			}
		}
	}
	some("gone", g.left)
	some("back", g.came)
	b.WriteString(g.note)
	g.left, g.came, g.note = g.left[:0], g.came[:0], ""
	return b.String()
}

// begin sets out at the first moment: a new life, numbered by the clock, with nobody heard of.
func (g *Detector) begin(now float64) {
	if g.began {
		return
	}
	g.began, g.last, g.loudAt, g.heardAt = true, now, now, now
	g.peers[g.me].mark = mark(uint64(2*(math.Floor(4*math.Max(0, now))+1)) % marks)
	g.beatAt = now + g.chances.Next()*g.period
}

// Wait is how long Due need not be asked, in seconds.
func (g *Detector) Wait(now float64) float64 {
	if g == nil {
		return math.Inf(1)
	}
	next := min(g.beatAt-now, g.period/4)
	if len(g.news)+g.again > 0 {
		next = min(next, g.newsAt-now)
	}
	return max(0.001, next)
}

// Due gives what is to be sent now.
func (g *Detector) Tick(now float64) []Message {
	if g == nil {
		return nil
	}
	g.begin(now)
	if gap := now - g.last - 0.3; gap > 0 {
		g.slept(now, gap)
	}
	g.asks = min(16, g.asks+8/g.period*(now-g.last))
	g.last = now
	g.listen(now)
	if now >= g.beatAt {
		g.beatAt = now + g.period*(0.95+0.1*g.chances.Next())
		for _, to := range g.ring(1, watchers) {
			g.send(to, g.beat('b'))
		}
		// All of a round carry the same window: else each of two watchers would see every second one only.
		g.from = (g.from + min(window, g.n)) % g.n
	}
	g.watch(now)
	g.reach(now)
	g.spread(now)
	out := g.letters
	g.letters = nil
	return out
}

func (g *Detector) send(to int, text string) { g.letters = append(g.letters, Message{to, text}) }

// listen notes whether anybody is heard at all. Guards against a member whose own link is dead, or mail that nobody gets:
// all others at once are seldom gone, so while none is heard nobody is given up, and who is gone counts as there.
func (g *Detector) listen(now float64) {
	deaf := now-g.heardAt > 3*g.period
	if deaf != g.deaf {
		g.deaf = deaf
		if deaf {
			g.note += "; nobody is heard, so nobody counts as gone"
		}
	}
	if deaf {
		g.doubt(now)
	}
}

// slept: this api gateway did not look for so long. Guards against one that is stopped or starved and then takes its own
// deafness for the others' silence: what it could not hear does not count, and after a long sleep nobody counts as gone
// for its shares until that is seen again.
func (g *Detector) slept(now, gap float64) {
	g.heardAt += gap
	g.shift(gap)
	if gap > 1 {
		g.note += fmt.Sprintf("; asleep for %.2f s, nobody counts as gone", gap)
		g.doubt(now)
	}
}

// shift lets a time in which nothing could be heard not count as anybody's silence.
func (g *Detector) shift(gap float64) {
	for i := range g.peers {
		p := &g.peers[i]
		p.heard, p.watched, p.beat, p.asked = p.heard+gap, p.watched+gap, p.beat+gap, 0
	}
}

// doubt lets all that are gone count as there again, and less only as time goes on.
func (g *Detector) doubt(now float64) {
	for i := range g.peers {
		g.peers[i].goneAt = max(g.peers[i].goneAt, now)
	}
}

// ring gives the next so many in a direction that are there.
func (g *Detector) ring(step, most int) (in []int) {
	for i := 1; i < g.n && len(in) < most; i++ {
		if k := ((g.me+step*i)%g.n + g.n) % g.n; !g.peers[k].mark.gone() {
			in = append(in, k)
		}
	}
	return in
}

// silent is for how long a member has been unusually silent, in periods.
func (g *Detector) silent(now float64, p *peer) float64 { return (now - p.heard) / g.period }

// limit is after how many periods of silence a member is given up: the more messages get lost, the later.
func (g *Detector) limit(p *peer) float64 { return (3.3 + 8*min(0.6, g.missing())) * p.patience }

// missing is the part of the beats of late that did not come.
func (g *Detector) missing() float64 { return 1 - 1/g.gap }

// nudge is after how many periods of silence a member is asked whether it is there, further when those behind it are
// looked after as well.
const nudge, further = 1.4, 2.2

// watch looks after those before this one in the ring, and further back the more of them are silent: most of their
// watchers may have gone with them.
func (g *Detector) watch(now float64) {
	most := watchers
	for i, seen := 1, 0; i < g.n && seen < most; i++ {
		k := (g.me - i + g.n) % g.n
		p := &g.peers[k]
		if p.mark.gone() {
			continue
		}
		seen++
		if now-p.watched > g.period { // newly looked after, which it may not know
			fresh := now
			if p.mark == 0 { // nor need it be up yet
				fresh = now + 2*g.period
			}
			if !(p.heard > now-g.period) {
				p.heard, p.unseen, p.asked = fresh, true, 0
			}
		}
		p.watched = now
		quiet := g.silent(now, p)
		if quiet < nudge && !p.unseen {
			continue
		}
		if quiet > further || p.unseen && quiet > 1 {
			most = min(16, most+2)
		}
		if quiet > g.limit(p) && !g.deaf {
			g.giveUp(now, k)
		} else if now >= p.asked && g.asks >= 1 {
			g.asks--
			p.asked = now + g.period/3
			g.send(k, g.beat('a'))
		}
	}
}

// reach asks one of those that are gone now and then. Guards against a cut that has healed and of which neither side would
// hear, since each sends the other nothing.
func (g *Detector) reach(now float64) {
	if g.away == 0 {
		return
	}
	each := max(4*g.period, float64(g.AliveCount())/(2*float64(g.away))) // all together ask each of them twice a second at most
	if now < g.reached+g.spacing*each {
		return
	}
	g.reached, g.spacing = now, 0.5+g.chances.Next()
	for i, k := 0, int(g.chances.Next()*float64(g.n)); i < g.n; i, k = i+1, (k+1)%g.n {
		if g.peers[k].mark.gone() {
			g.send(k, g.beat('a'))
			return
		}
	}
}

func (g *Detector) giveUp(now float64, k int) {
	p := &g.peers[k]
	p.mark, p.mine = p.mark|1, now
	g.gone(now, k)
	g.found, g.foundAt = g.found*math.Exp(g.foundAt-now)+1, now
	g.publish(now, k)
}

func (g *Detector) gone(now float64, k int) {
	p := &g.peers[k]
	p.goneAt, p.heard, p.asked = now, math.NaN(), 0
	g.away++
	g.Changes++
	g.left = append(g.left, k)
}

// publish has all hear of a member soon: the more I found of late, the more others found, and the later I speak.
func (g *Detector) publish(now float64, k int) {
	for _, x := range g.news {
		if x == k {
			return
		}
	}
	if g.news = append(g.news, k); len(g.news) == 1 {
		g.newsAt = now + g.chances.Next()*min(3, 0.1+0.4*max(0, g.found-1))
	}
}

// heardAll counts a message to all, and fades the count.
func (g *Detector) heardAll(now float64) {
	g.loud, g.loudAt = g.loud*math.Exp(g.loudAt-now)+1, now
}

// spread says the news, and once more a little later; it holds back while many speak.
func (g *Detector) spread(now float64) {
	if len(g.news)+g.again == 0 || now < g.newsAt {
		return
	}
	if g.loud*math.Exp(g.loudAt-now) > g.most {
		g.newsAt = now + 0.3 + 0.5*g.chances.Next()
		return
	}
	if len(g.news) > 0 {
		n := min(len(g.news), entries)
		g.told = append(g.told[:0], g.news[:n]...)
		g.news = append(g.news[:0], g.news[n:]...)
		g.again = 1
	} else {
		g.again--
	}
	g.send(Broadcast, g.newsText(g.told))
	g.heardAll(now)
	g.newsAt = now + 0.3 + 0.3*g.chances.Next()
}

// Heard brings a message; Due may have an answer to it at once. false: it is not one about membership.
func (g *Detector) Receive(now float64, from int, text string) bool {
	if g == nil || len(text) == 0 || text[0] != '!' {
		return false
	}
	g.begin(now)
	m, ok := read(text, g.n)
	if !ok || m.who == g.me || from >= 0 && m.who != from { // spoilt or forged: nothing is believed of it
		g.Malformed++
		return true
	}
	if g.deaf { // what it could not hear does not count
		g.shift(now - g.heardAt)
		g.asks = 16
	}
	g.heardAt, g.deaf = now, false
	g.sign(now, &m)
	if m.kind == 'n' {
		g.heardAll(now)
	}
	for _, e := range m.entries {
		g.learn(now, m.who, e)
	}
	return true
}

// sign: a member has spoken for itself.
func (g *Detector) sign(now float64, m *message) {
	p := &g.peers[m.who]
	if p.mark.newer(m.mark) { // of a former life, or of one that does not know it was given up, or whose clock went back
		g.send(m.who, g.newsText([]int{m.who}))
		return
	}
	anew := m.mark.newer(p.mark)
	was := p.mark
	if m.kind == 'b' { // how many beats should have come for this one
		if gap := math.Round((now - p.beat) / g.period); gap >= 1 && gap < 20 && !anew {
			g.gap += 0.02 * (gap - g.gap)
		}
		p.beat = now
	}
	p.mark, p.heard, p.asked, p.unseen = m.mark, now, 0, false
	if p.patience > 1 {
		p.patience = max(1, p.patience*0.995)
	}
	if anew && was != 0 {
		g.back(now, m.who, was)
		if m.kind != 'n' { // what it says to all, all hear: they must not all answer
			g.publish(now, m.who)
			g.sync(m.who)
		}
	}
	if m.kind == 'a' {
		g.send(m.who, g.beat('c'))
	}
}

// back: a member that had been given up, or an earlier life of it, is there.
func (g *Detector) back(now float64, k int, was mark) {
	p := &g.peers[k]
	if was.gone() {
		g.away--
	}
	if p.mine > 0 && was.gone() && p.mark == was.next() {
		// Guards against a link that is dead one way: who is refuted waits longer before it says the same again.
		p.patience = min(8, 2*p.patience)
	}
	p.mine = 0
	g.Changes++
	g.came = append(g.came, k)
}

// sync tells a member that comes back empty of those that are gone.
func (g *Detector) sync(to int) {
	var gone []int
	for i := range g.peers {
		if g.peers[i].mark.gone() {
			gone = append(gone, i)
		}
	}
	for len(gone) > 0 {
		n := min(len(gone), entries)
		g.send(to, g.newsText(gone[:n]))
		gone = gone[n:]
	}
}

// learn takes what another says of a member.
func (g *Detector) learn(now float64, by int, e entry) {
	if e.who == g.me {
		g.ofMe(now, by, e.mark)
		return
	}
	p := &g.peers[e.who]
	if !e.mark.newer(p.mark) || e.who == by {
		return
	}
	if e.mark.gone() && !math.IsNaN(p.heard) && g.silent(now, p) < nudge {
		// Everyone may think so but I have just heard it: it shall speak for itself.
		g.send(e.who, ofOne(g, e))
		return
	}
	was := p.mark
	p.mark = e.mark
	if e.mark.gone() {
		if !was.gone() {
			g.gone(now, e.who)
		}
	} else if was.gone() {
		p.heard = math.NaN()
		g.back(now, e.who, was)
	}
}

// ofMe: somebody has given this api gateway up, or knows a later life of its name. It says so before it acts on shares:
// those it holds for gone may have gone on without it.
func (g *Detector) ofMe(now float64, by int, m mark) {
	me := &g.peers[g.me]
	if !m.newer(me.mark) {
		return
	}
	g.note += fmt.Sprintf("; given up by %d, nobody counts as gone", by)
	me.mark = m.next()
	g.doubt(now)
	g.publish(now, g.me)
	g.newsAt = now
}
