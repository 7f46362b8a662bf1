package simulation

import (
	"fmt"
	"math/rand"
	"testing"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// process identifies a process of the simulation. Members are numbered from 0.
type process int

const (
	firstHost       process = 100
	firstStore      process = 200
	firstSubscriber process = 300
	operatorProcess process = 400
)

func zoneOf(p process) int { return int(p) % 100 % 3 }

type link struct{ from, to process }

// sim is a simulation: the network, all processes on it and the schedule of events.
type sim struct {
	t            testing.TB
	random       *rand.Rand
	now          int64
	queue        eventQueue
	lastSequence int
	cut          map[link]bool
	lastArrival  map[link]int64 // arrival time of the last message on each link
	heldMessages []heldMessage  // messages that are delivered when the cut ends
	changedAt    int64          // time of the last cut, freeze, restart or end of one
	members      []*member
	hosts        []*host
	stores       []*store
	subscribers  []*subscriber
	operator     *operator
	digest       eventDigest
}

type heldMessage struct {
	link link
	run  func()
}

// send delivers a message to its destination. Messages on a link arrive in order. On a cut link a message is lost or held until the cut
// ends.
func (s *sim) send(from, to process, deliver func()) {
	path := link{from, to}
	if s.cut[path] {
		if s.random.Intn(2) == 0 {
			s.heldMessages = append(s.heldMessages, heldMessage{path, deliver})
		}
		return
	}
	delay := 1 + s.random.Int63n(12)
	if s.random.Intn(6) == 0 { // occasional additional delay
		delay += s.random.Int63n(60)
	}
	arrival := max(s.lastArrival[path], s.now+delay)
	s.lastArrival[path] = arrival
	s.after(arrival-s.now, func() { s.run(to, deliver) })
}

// run executes work at a process. If the process is a frozen member, the work is executed when it resumes.
func (s *sim) run(p process, work func()) {
	if int(p) < len(s.members) {
		m := s.members[p]
		if m.frozen {
			m.backlog = append(m.backlog, work)
			return
		}
	}
	work()
}

// call sends a request and waits for the answer. answered is called once, with ok false if the timeout expires first.
func call[A any](s *sim, from, to process, timeout int64, ask func(answer func(A)), answered func(got A, ok bool)) {
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
	s.after(timeout, func() {
		s.run(from, func() {
			var none A
			finish(none, false)
		})
	})
}

// cutLink cuts a link in one direction.
func (s *sim) cutLink(from, to process) {
	s.cut[link{from, to}] = true
	s.recordChange()
}

// recordChange records the time of a change to the network or a member and updates healthySince of all members.
func (s *sim) recordChange() {
	s.changedAt = s.now
	for _, m := range s.members {
		reachable := 0
		for _, other := range s.members {
			if !m.frozen && !other.frozen && s.connected(m.process, other.process) {
				reachable++
			}
		}
		switch {
		case reachable <= len(s.members)/2:
			m.healthySince = 0
		case m.healthySince == 0:
			m.healthySince = s.now
		}
	}
}

// heal ends all cuts and sends the held messages.
func (s *sim) heal() {
	clear(s.cut)
	s.recordChange()
	heldMessages := s.heldMessages
	s.heldMessages = nil
	for _, message := range heldMessages {
		s.send(message.link.from, message.link.to, message.run)
	}
}

func (s *sim) freeze(m *member, duration int64) {
	if m.frozen {
		return
	}
	m.frozen = true
	s.recordChange()
	s.after(duration, func() {
		m.frozen = false
		s.recordChange()
		backlog := m.backlog
		m.backlog = nil
		if s.random.Intn(2) == 0 {
			m.tick()
		}
		for _, work := range backlog {
			s.run(m.process, work)
		}
	})
}

func newNetwork(t testing.TB, seed int64) *sim {
	s := newMembersOnly(t, seed)
	for i := range hostCount {
		s.addHost(firstHost + process(i))
	}
	for i := range storeCount {
		s.addStore(firstStore + process(i))
	}
	for i := range subscriberCount {
		s.addSubscriber(firstSubscriber + process(i))
	}
	s.operator = newOperator(s)
	return s
}

// newMembersOnly returns a simulation of three or five members without callers.
func newMembersOnly(t testing.TB, seed int64) *sim {
	s := &sim{t: t, random: rand.New(rand.NewSource(seed)), now: 1, cut: map[link]bool{}, lastArrival: map[link]int64{}}
	count := 3
	if s.random.Intn(4) == 0 {
		count = 5
	}
	initial := consensus.Record{Epoch: 1, Primary: 1}
	for i := range count {
		initial.Members = append(initial.Members, consensus.Member{ID: uint64(i + 1), Address: fmt.Sprint("m", i)})
		initial.InSync = append(initial.InSync, uint64(i+1))
	}
	initial = membership.Policy{Tolerate: (count - 1) / 2}.WithMinInSync(initial)
	for i := range count {
		s.addMember(process(i), initial)
	}
	s.recordChange()
	return s
}

func (s *sim) randomMember() process { return process(s.random.Intn(len(s.members))) }

func (s *sim) nextMember(p process) process { return process((int(p) + 1) % len(s.members)) }

func (s *sim) connected(a, b process) bool { return !s.cut[link{a, b}] && !s.cut[link{b, a}] }

func (s *sim) callers() []process {
	all := []process{operatorProcess}
	for _, h := range s.hosts {
		all = append(all, h.process)
	}
	for _, t := range s.stores {
		all = append(all, t.process)
	}
	for _, f := range s.subscribers {
		all = append(all, f.process)
	}
	return all
}

func (s *sim) primaryOr(other process) process {
	for _, m := range s.members {
		if m.group.IsReady() && m.mayServe() {
			return m.process
		}
	}
	return other
}
