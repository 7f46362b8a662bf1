package simulation

import (
	"fmt"
	"math/rand"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// place is a process of the simulation. Members have the numbers from 0 on.
type place int

const (
	firstHost       place = 100
	firstStore      place = 200
	firstSubscriber place = 300
	operatorPlace   place = 400
)

func zoneOf(p place) int { return int(p) % 100 % 3 }

type link struct{ from, to place }

// network is the network with all that is on it.
type network struct {
	t           testing.TB
	random      *rand.Rand
	now         int64
	queue       eventQueue
	order       int
	cut         map[link]bool
	arrives     map[link]int64 // when the last message of a link arrives
	held        []heldMessage  // messages that wait for the end of a cut
	changed     int64          // when the network last changed
	members     []*member
	hosts       []*host
	stores      []*store
	subscribers []*subscriber
	operator    *operator
	digest      eventDigest
}

type heldMessage struct {
	link link
	run  func()
}

// send has a message read at its destination, in the order of its link. A cut loses it, or holds it until the cut ends.
func (s *network) send(from, to place, read func()) {
	way := link{from, to}
	if s.cut[way] {
		if s.random.Intn(2) == 0 {
			s.held = append(s.held, heldMessage{way, read})
		}
		return
	}
	delay := 1 + s.random.Int63n(12)
	if s.random.Intn(6) == 0 { // a busy moment
		delay += s.random.Int63n(60)
	}
	arrival := max(s.arrives[way], s.now+delay)
	s.arrives[way] = arrival
	s.at(arrival-s.now, func() { s.run(to, read) })
}

// run has a process do something, or later if it stands still.
func (s *network) run(p place, work func()) {
	if int(p) < len(s.members) {
		m := s.members[p]
		if m.frozen {
			m.backlog = append(m.backlog, work)
			return
		}
	}
	work()
}

// call sends a question and waits for its answer; answered is called once, with ok false after the timeout.
func call[A any](s *network, from, to place, timeout int64, ask func(answer func(A)), answered func(got A, ok bool)) {
	done := false
	finish := func(got A, ok bool) {
		if !done {
			done = true
			answered(got, ok)
		}
	}
	s.send(from, to, func() {
		ask(func(got A) { s.send(to, from, func() { finish(got, true) }) })
	})
	s.at(timeout, func() {
		s.run(from, func() {
			var none A
			finish(none, false)
		})
	})
}

// cutLink cuts a direction.
func (s *network) cutLink(from, to place) {
	s.cut[link{from, to}] = true
	s.noteChange()
}

// noteChange notes since when each member runs and has a majority around it.
func (s *network) noteChange() {
	s.changed = s.now
	for _, m := range s.members {
		around := 0
		for _, other := range s.members {
			if !m.frozen && !other.frozen && s.connected(m.place, other.place) {
				around++
			}
		}
		switch {
		case around <= len(s.members)/2:
			m.wellSince = 0
		case m.wellSince == 0:
			m.wellSince = s.now
		}
	}
}

// heal ends all cuts; what was held arrives.
func (s *network) heal() {
	clear(s.cut)
	s.noteChange()
	held := s.held
	s.held = nil
	for _, each := range held {
		s.send(each.link.from, each.link.to, each.run)
	}
}

func (s *network) freeze(m *member, span int64) {
	if m.frozen {
		return
	}
	m.frozen = true
	s.noteChange()
	s.at(span, func() {
		m.frozen = false
		s.noteChange()
		backlog := m.backlog
		m.backlog = nil
		if s.random.Intn(2) == 0 {
			m.tick()
		}
		for _, work := range backlog {
			s.run(m.place, work)
		}
	})
}

func newNetwork(t testing.TB, seed int64) *network {
	s := newMembers(t, seed)
	for i := range hostCount {
		s.addHost(firstHost + place(i))
	}
	for i := range storeCount {
		s.addStore(firstStore + place(i))
	}
	for i := range subscriberCount {
		s.addSubscriber(firstSubscriber + place(i))
	}
	s.operator = newOperator(s)
	return s
}

// newMembers makes a network of three or five members that nobody calls.
func newMembers(t testing.TB, seed int64) *network {
	s := &network{t: t, random: rand.New(rand.NewSource(seed)), now: 1, cut: map[link]bool{}, arrives: map[link]int64{}}
	count := 3
	if s.random.Intn(4) == 0 {
		count = 5
	}
	first := consensus.Record{Epoch: 1, Primary: 1}
	for i := range count {
		first.Members = append(first.Members, consensus.Member{ID: uint64(i + 1), Address: fmt.Sprint("m", i)})
		first.InSync = append(first.InSync, uint64(i+1))
	}
	first = membership.Policy{Tolerate: (count - 1) / 2}.WithMinInSync(first)
	for i := range count {
		s.addMember(place(i), first)
	}
	s.noteChange()
	return s
}

func (s *network) randomMember() place { return place(s.random.Intn(len(s.members))) }

func (s *network) nextMember(p place) place { return place((int(p) + 1) % len(s.members)) }

func (s *network) connected(a, b place) bool { return !s.cut[link{a, b}] && !s.cut[link{b, a}] }

func (s *network) callers() []place {
	all := []place{operatorPlace}
	for _, h := range s.hosts {
		all = append(all, h.place)
	}
	for _, t := range s.stores {
		all = append(all, t.place)
	}
	for _, f := range s.subscribers {
		all = append(all, f.place)
	}
	return all
}

func (s *network) primaryOr(other place) place {
	for _, m := range s.members {
		if m.group.IsReady() && m.mayServe() {
			return m.place
		}
	}
	return other
}
