package simulation

import (
	"fmt"
	"strconv"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/lease"
)

// host sends heartbeats, to the next member where one is not acknowledged.
type host struct {
	s             *network
	place         place
	host          directory.Host
	target        place
	ackedAt       int64
	unlistedSince int64
	calling       bool
}

func (s *network) addHost(p place) {
	h := &host{s: s, place: p, target: s.randomMember()}
	h.host = directory.Host{ID: fmt.Sprint("h", p), Service: "s", Address: fmt.Sprint("a", p), Slots: 1}
	s.hosts = append(s.hosts, h)
	s.every(heartbeatInterval, func() {
		if !h.calling {
			h.sendHeartbeat(len(s.members))
		}
	})
}

func (h *host) sendHeartbeat(attempts int) {
	h.calling = attempts > 0
	if attempts == 0 {
		return
	}
	to := h.target
	call(h.s, h.place, to, lease.HostAttemptTimeout, func(answer func(bool)) { h.s.members[to].heartbeat(h.host, answer) }, func(ok, reached bool) {
		if ok && reached {
			h.calling = false
			h.ackedAt = h.s.now
			return
		}
		h.target = h.s.nextMember(to)
		h.sendHeartbeat(attempts - 1)
	})
}

// store keeps its session with the primary.
type store struct {
	s       *network
	place   place
	target  place
	calling bool
}

func (s *network) addStore(p place) {
	store := &store{s: s, place: p, target: s.randomMember()}
	s.stores = append(s.stores, store)
	s.every(lease.StoreHeartbeatInterval, store.sendHeartbeat)
}

func (t *store) sendHeartbeat() {
	if t.calling {
		return
	}
	t.calling = true
	to := t.target
	call(t.s, t.place, to, lease.PrimaryAttemptTimeout, func(answer func(place)) {
		m := t.s.members[to]
		if m.standing().MayDecide(m.clock()) != nil {
			answer(m.hint())
			return
		}
		m.stores.Renew(uint64(t.place-firstStore), 1, false, m.clock())
		answer(to)
	}, func(leader place, ok bool) {
		t.calling = false
		switch {
		case ok && leader == to:
		case ok && leader >= 0:
			t.target = leader
		default:
			t.target = t.s.nextMember(to)
		}
	})
}

// subscriber is a subscriber.
type subscriber struct {
	s        *network
	place    place
	target   place
	version  uint64
	heardAt  int64
	session  int // number of the subscription
	followed bool
}

func (s *network) addSubscriber(p place) {
	f := &subscriber{s: s, place: p, target: s.randomMember()}
	s.subscribers = append(s.subscribers, f)
	s.every(60, f.watch)
}

func (f *subscriber) watch() {
	const patience = 900
	if f.followed && f.s.now-f.heardAt < patience {
		return
	}
	f.followed = true
	f.heardAt = f.s.now
	f.session++
	f.target = f.s.nextMember(f.target)
	member, session := f.s.members[f.target], f.session
	f.s.send(f.place, f.target, func() { f.serve(member, session) })
}

// serve is the publisher's part of a subscription.
func (f *subscriber) serve(m *member, session int) {
	if f.session != session {
		return
	}
	version := m.machine.version()
	if !m.mayServe() {
		f.s.send(m.place, f.place, func() {
			if f.session == session {
				f.followed = false
			}
		})
		return
	}
	f.s.checkHandedOut(m, version)
	f.s.send(m.place, f.place, func() {
		if f.session == session {
			f.version = max(f.version, version)
			f.heardAt = f.s.now
		}
	})
	f.s.at(100, func() { f.s.run(m.place, func() { f.serve(m, session) }) })
}

// operator changes the configuration, now and then twice at once.
type operator struct {
	s       *network
	base    uint64
	next    uint64
	acked   map[uint64]int64 // when each version was confirmed
	highest uint64           // confirmed
	lastAck int64
}

func newOperator(s *network) *operator {
	o := &operator{s: s, acked: map[uint64]int64{}}
	s.every(350, func() {
		if s.now < firstOrderAt {
			return
		}
		o.order(s.randomMember())
		if s.random.Intn(4) == 0 {
			o.order(s.randomMember())
		}
		if s.random.Intn(3) == 0 {
			o.read(s.randomMember())
		}
	})
	return o
}

func (o *operator) order(to place) {
	o.next++
	o.send(to, o.base, o.next, len(o.s.members))
}

// send orders a version, at the next member where one does not take orders.
func (o *operator) send(to place, base, version uint64, attempts int) {
	if attempts == 0 {
		return
	}
	command := state.ReplaceConfig{Base: base, Version: version, Body: []byte(strconv.FormatUint(version, 10))}
	call(o.s, operatorPlace, to, 1000, func(answer func(codes.Code)) { o.s.members[to].serveCommand(command, answer) }, func(code codes.Code, ok bool) {
		switch {
		case ok && code == codes.OK:
			o.acked[version] = o.s.now
			o.lastAck = o.s.now
			o.base = max(o.base, version)
			o.highest = max(o.highest, version)
		case ok && (code == codes.ConfigBase || code == codes.ConfigInvalid):
			o.read(to)
		default:
			o.send(o.s.nextMember(to), base, version, attempts-1)
		}
	})
}

func (o *operator) read(to place) {
	before := o.highest
	call(o.s, operatorPlace, to, 1000, func(answer func(uint64)) { o.s.members[to].serveRead(answer) }, func(version uint64, ok bool) {
		if !ok || version == 0 {
			return
		}
		if version < before {
			o.s.fail(oldRead, "%d after %d by member %d", version, before, to)
		}
		o.base = version
	})
}
