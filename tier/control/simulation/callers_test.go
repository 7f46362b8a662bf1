package simulation

import (
	"fmt"
	"strconv"

	"otterseam/tier/codes"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/lease"
)

// host sends heartbeats. If a heartbeat is not acknowledged, it goes on to the next member.
type host struct {
	s                 *sim
	process           process
	host              directory.Host
	target            process
	ackedAt           int64
	unregisteredSince int64
	calling           bool
}

func (s *sim) addHost(p process) {
	h := &host{s: s, process: p, target: s.randomMember()}
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
	call(h.s, h.process, to, lease.HostAttemptTimeout, func(answer func(bool)) { h.s.members[to].receiveHeartbeat(h.host, answer) }, func(ok, reached bool) {
		if ok && reached {
			h.calling = false
			h.ackedAt = h.s.now
			return
		}
		h.target = h.s.nextMember(to)
		h.sendHeartbeat(attempts - 1)
	})
}

// store renews its session with the primary.
type store struct {
	s       *sim
	process process
	target  process
	calling bool
}

func (s *sim) addStore(p process) {
	store := &store{s: s, process: p, target: s.randomMember()}
	s.stores = append(s.stores, store)
	s.every(lease.StoreHeartbeatInterval, store.sendHeartbeat)
}

func (t *store) sendHeartbeat() {
	if t.calling {
		return
	}
	t.calling = true
	to := t.target
	call(t.s, t.process, to, lease.PrimaryAttemptTimeout, func(answer func(process)) {
		m := t.s.members[to]
		if m.status().MayDecide(m.clock()) != nil {
			answer(m.primaryHint())
			return
		}
		m.stores.Renew(uint64(t.process-firstStore), 1, false, m.clock())
		answer(to)
	}, func(leader process, ok bool) {
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

// subscriber receives configuration versions from a member. It subscribes at the next member after a rejection or timeout.
type subscriber struct {
	s          *sim
	process    process
	target     process
	version    uint64
	receivedAt int64
	session    int // number of the subscription
	subscribed bool
}

func (s *sim) addSubscriber(p process) {
	f := &subscriber{s: s, process: p, target: s.randomMember()}
	s.subscribers = append(s.subscribers, f)
	s.every(60, f.watch)
}

func (f *subscriber) watch() {
	const timeout = 900
	if f.subscribed && f.s.now-f.receivedAt < timeout {
		return
	}
	f.subscribed = true
	f.receivedAt = f.s.now
	f.session++
	f.target = f.s.nextMember(f.target)
	member, session := f.s.members[f.target], f.session
	f.s.send(f.process, f.target, func() { f.serve(member, session) })
}

// serve is the member's side of a subscription: it sends the current version periodically, or a rejection without a lease.
func (f *subscriber) serve(m *member, session int) {
	if f.session != session {
		return
	}
	version := m.machine.version()
	if !m.mayServe() {
		f.s.send(m.process, f.process, func() {
			if f.session == session {
				f.subscribed = false
			}
		})
		return
	}
	f.s.checkServedConfig(m, version)
	f.s.send(m.process, f.process, func() {
		if f.session == session {
			f.version = max(f.version, version)
			f.receivedAt = f.s.now
		}
	})
	f.s.after(100, func() { f.s.run(m.process, func() { f.serve(m, session) }) })
}

// operator changes the configuration periodically, sometimes with two concurrent changes.
type operator struct {
	s                *sim
	base             uint64
	next             uint64
	confirmed        map[uint64]int64 // when each version was confirmed, by version
	highestConfirmed uint64           // the highest confirmed version
	lastConfirmedAt  int64
}

func newOperator(s *sim) *operator {
	o := &operator{s: s, confirmed: map[uint64]int64{}}
	s.every(350, func() {
		if s.now < firstChangeAt {
			return
		}
		o.change(s.randomMember())
		if s.random.Intn(4) == 0 {
			o.change(s.randomMember())
		}
		if s.random.Intn(3) == 0 {
			o.read(s.randomMember())
		}
	})
	return o
}

func (o *operator) change(to process) {
	o.next++
	o.sendChange(to, o.base, o.next, len(o.s.members))
}

// sendChange asks a member to replace the configuration. If it gets no definite answer, it retries at the next member.
func (o *operator) sendChange(to process, base, version uint64, attempts int) {
	if attempts == 0 {
		return
	}
	command := state.ReplaceConfig{Base: base, Version: version, Body: []byte(strconv.FormatUint(version, 10))}
	call(o.s, operatorProcess, to, 1000, func(answer func(codes.Code)) { o.s.members[to].serveCommand(command, answer) }, func(code codes.Code, ok bool) {
		switch {
		case ok && code == codes.OK:
			o.confirmed[version] = o.s.now
			o.lastConfirmedAt = o.s.now
			o.base = max(o.base, version)
			o.highestConfirmed = max(o.highestConfirmed, version)
		case ok && (code == codes.ConfigBase || code == codes.ConfigInvalid):
			o.read(to)
		default:
			o.sendChange(o.s.nextMember(to), base, version, attempts-1)
		}
	})
}

func (o *operator) read(to process) {
	before := o.highestConfirmed
	call(o.s, operatorProcess, to, 1000, func(answer func(uint64)) { o.s.members[to].serveRead(answer) }, func(version uint64, ok bool) {
		if !ok || version == 0 {
			return
		}
		if version < before {
			o.s.fail(staleRead, "%d after %d by member %d", version, before, to)
		}
		o.base = version
	})
}
