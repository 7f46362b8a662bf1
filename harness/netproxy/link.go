// Package netproxy owns the links between processes on one machine: streams and datagrams are led through it, and faults of
// a link are set and taken back while they flow. It must never read what it passes on, leave loopback, or strike a link
// by itself.
package netproxy

import (
	"sync"
	"time"

	"otterseam/sim/randstream"
)

// The directions of a link: There is the way of whoever opened it, Back the other.
const (
	There = iota
	Back
)

// Fault is what strikes one direction of a link while it is set. Several may be set at once.
type Fault struct {
	Hold   bool    // nothing passes until it ends
	Closed bool    // new connections never come up; with Hold: dropped, without a word to either end
	Refuse bool    // new connections are refused
	Delay  float64 // seconds
	Jitter float64 // mean of what comes on top, in seconds
	Rate   float64 // bytes a second; 0: as fast as they come
	Lose   float64 // datagrams: part of them
	Double float64
	Late   float64 // datagrams: part of them comes later than those behind, by Delay
}

// Link is the way between two processes, from the one that opens connections to the other.
type Link struct {
	From, To string

	mu      sync.Mutex
	changed *sync.Cond
	faults  [2]map[*Fault]bool
	dice    randstream.Stream
	listen  *listener // of streams; nil: none
	pairs   map[*pair]bool
	ended   bool
	// Passed counts what got through, in bytes or datagrams, by direction; Lost datagrams that did not.
	Passed, Lost [2]int64
}

// NewLink makes a link without faults; seed is of its draws.
func NewLink(from, to string, seed uint64) *Link {
	l := &Link{From: from, To: to, dice: randstream.New(seed, from+">"+to), pairs: map[*pair]bool{}}
	l.changed = sync.NewCond(&l.mu)
	l.faults[There], l.faults[Back] = map[*Fault]bool{}, map[*Fault]bool{}
	return l
}

// Name says which link it is.
func (l *Link) Name() string { return l.From + " > " + l.To }

// Set puts a fault in force for one direction; Clear takes it back. Connections that were held go on.
func (l *Link) Set(dir int, f *Fault) {
	l.mu.Lock()
	l.faults[dir][f] = true
	l.mu.Unlock()
	l.notice()
}

func (l *Link) Clear(dir int, f *Fault) {
	l.mu.Lock()
	delete(l.faults[dir], f)
	l.mu.Unlock()
	l.notice()
}

func (l *Link) notice() {
	l.changed.Broadcast()
	if l.listen != nil {
		l.listen.notice()
	}
}

// sum is what is in force for a direction. Called with the lock held.
func (l *Link) sum(dir int) (s Fault) {
	for f := range l.faults[dir] {
		s.Hold, s.Closed, s.Refuse = s.Hold || f.Hold, s.Closed || f.Closed, s.Refuse || f.Refuse
		s.Delay, s.Jitter = s.Delay+f.Delay, s.Jitter+f.Jitter
		if f.Rate > 0 && (s.Rate == 0 || f.Rate < s.Rate) {
			s.Rate = f.Rate
		}
		s.Lose, s.Double, s.Late = max(s.Lose, f.Lose), max(s.Double, f.Double), max(s.Late, f.Late)
	}
	return s
}

// doors says whether new connections are kept out in silence, or refused.
func (l *Link) doors() (closed, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	there, back := l.sum(There), l.sum(Back)
	return there.Closed || back.Closed, there.Refuse || back.Refuse
}

// pass waits until n bytes that came at a moment may go on; false: the link or its connection has ended meanwhile.
func (l *Link) pass(dir, n int, came time.Time, over func() bool) bool {
	l.mu.Lock()
	s := l.sum(dir)
	wait := s.Delay
	if s.Jitter > 0 {
		wait += l.dice.Exponential(s.Jitter)
	}
	l.mu.Unlock()
	if s.Rate > 0 {
		came = time.Now() // one piece after another
		wait += float64(n) / s.Rate
	}
	if wait > 0 {
		time.Sleep(time.Until(came.Add(time.Duration(wait * 1e9))))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.sum(dir).Hold && !l.ended && !over() {
		l.changed.Wait()
	}
	if l.ended || over() {
		return false
	}
	l.Passed[dir] += int64(n)
	return true
}

// Open is how many connections lead through it.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pairs)
}

// each calls do for all connections there are.
func (l *Link) each(do func(p *pair)) (n int) {
	l.mu.Lock()
	var all []*pair
	for p := range l.pairs {
		all = append(all, p)
	}
	l.mu.Unlock()
	for _, p := range all {
		do(p)
	}
	return len(all)
}

// Reset has each connection reset in the middle of the next message in a direction, or at once where there is none
// within the time, in seconds. It says how many were struck.
func (l *Link) Reset(dir int, within float64) int {
	return l.each(func(p *pair) {
		p.pipes[dir].tear()
		time.AfterFunc(time.Duration(within*1e9), func() { p.end(true) })
	})
}

// HalfOpen ends the far end of each connection: There the one that was called, Back the one that opened it. The other
// isn't told and goes on waiting.
func (l *Link) HalfOpen(dir int) int { return l.each(func(p *pair) { p.half(dir) }) }

// Close ends the link and all that leads through it.
func (l *Link) Close() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.changed.Broadcast()
	if l.listen != nil {
		l.listen.close()
	}
	l.each(func(p *pair) { p.end(true) })
}
