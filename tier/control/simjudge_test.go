package control

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/lease"
)

// This file plays those who call control in the simulation, brings the faults about, and judges what is seen.

// violation names what a seed is condemned for.
type violation string

const (
	oldConfiguration violation = "an old configuration was handed out past the bound"
	orderLost        violation = "an order was confirmed and lost"
	oldRead          violation = "a read missed a confirmed order"
	hostRemoved      violation = "a live host was removed"
	hostUnlisted     violation = "a host is acknowledged and not on the list"
	storeRemoved     violation = "a live store is given up"
	orderRefused     violation = "a connected majority takes no orders"
	disturbed        violation = "the primary of a quiet network was replaced"
	notSettled       violation = "the network is whole and control is not"
)

func (s *simNetwork) condemn(what violation, format string, args ...any) {
	s.t.Fatalf("at %d: %s: %s", s.now, what, fmt.Sprintf(format, args...))
}

func (s *simNetwork) randomMember() place { return place(s.random.Intn(len(s.members))) }

func (s *simNetwork) nextMember(p place) place { return place((int(p) + 1) % len(s.members)) }

// simHost sends heartbeats, to the next member where one is not acknowledged.
type simHost struct {
	s             *simNetwork
	place         place
	host          directory.Host
	target        place
	ackedAt       int64
	unlistedSince int64
	calling       bool
}

func (s *simNetwork) addHost(p place) {
	h := &simHost{s: s, place: p, target: s.randomMember()}
	h.host = directory.Host{ID: fmt.Sprint("h", p), Service: "s", Address: fmt.Sprint("a", p), Slots: 1}
	s.hosts = append(s.hosts, h)
	s.every(simHeartbeat, func() {
		if !h.calling {
			h.beat(len(s.members))
		}
	})
}

func (h *simHost) beat(attempts int) {
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
		h.beat(attempts - 1)
	})
}

// simStore keeps its session with the primary.
type simStore struct {
	s       *simNetwork
	place   place
	target  place
	calling bool
}

func (s *simNetwork) addStore(p place) {
	store := &simStore{s: s, place: p, target: s.randomMember()}
	s.stores = append(s.stores, store)
	s.every(lease.StoreHeartbeatInterval, store.beat)
}

func (t *simStore) beat() {
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

// simFollower is a subscriber.
type simFollower struct {
	s        *simNetwork
	place    place
	target   place
	version  uint64
	heardAt  int64
	session  int // number of the subscription
	followed bool
}

func (s *simNetwork) addFollower(p place) {
	f := &simFollower{s: s, place: p, target: s.randomMember()}
	s.follow = append(s.follow, f)
	s.every(60, f.watch)
}

func (f *simFollower) watch() {
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
func (f *simFollower) serve(m *simMember, session int) {
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
	f.s.judgeHandedOut(m, version)
	f.s.send(m.place, f.place, func() {
		if f.session == session {
			f.version = max(f.version, version)
			f.heardAt = f.s.now
		}
	})
	f.s.at(100, func() { f.s.run(m.place, func() { f.serve(m, session) }) })
}

// simOperator changes the configuration, now and then twice at once.
type simOperator struct {
	s       *simNetwork
	base    uint64
	next    uint64
	acked   map[uint64]int64 // when each version was confirmed
	highest uint64           // confirmed
	lastAck int64
}

func newSimOperator(s *simNetwork) *simOperator {
	o := &simOperator{s: s, acked: map[uint64]int64{}}
	s.every(350, func() {
		if s.now < simFirstOrder {
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

func (o *simOperator) order(to place) {
	o.next++
	o.send(to, o.base, o.next, len(o.s.members))
}

// send orders a version, at the next member where one does not take orders.
func (o *simOperator) send(to place, base, version uint64, attempts int) {
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

func (o *simOperator) read(to place) {
	before := o.highest
	call(o.s, operatorPlace, to, 1000, func(answer func(uint64)) { o.s.members[to].serveRead(answer) }, func(version uint64, ok bool) {
		if !ok || version == 0 {
			return
		}
		if version < before {
			o.s.condemn(oldRead, "%d after %d by member %d", version, before, to)
		}
		o.base = version
	})
}

// serveCommand carries a command out, here or at the primary.
func (m *simMember) serveCommand(command state.Command, answer func(codes.Code)) {
	submit := func(p *simMember, done func(codes.Code)) {
		p.submit(command, func(result state.Result, err error) {
			if err != nil {
				done(codes.Unavailable)
			} else {
				done(result.Code)
			}
		})
	}
	m.servePrimary(submit, answer)
}

func (m *simMember) servePrimary(work func(*simMember, func(codes.Code)), answer func(codes.Code)) {
	switch {
	case m.standing().MayForward(m.clock()) != nil:
		answer(codes.Unavailable)
	case m.group.IsReady():
		work(m, answer)
	default:
		onPrimary(m, work, func(code codes.Code, ok bool) {
			if !ok {
				code = codes.Unavailable
			}
			answer(code)
		})
	}
}

// serveRead answers the version in place, 0 if it can't.
func (m *simMember) serveRead(answer func(uint64)) {
	version := uint64(0)
	m.servePrimary(func(p *simMember, done func(codes.Code)) {
		p.submit(state.ReadConfig{}, func(_ state.Result, err error) {
			if err != nil {
				done(codes.Unavailable)
				return
			}
			version = p.machine.version()
			done(codes.OK)
		})
	}, func(code codes.Code) {
		if code != codes.OK {
			version = 0
		}
		answer(version)
	})
}

// judgeHandedOut condemns a configuration that was replaced longer ago than a lease lasts.
func (s *simNetwork) judgeHandedOut(m *simMember, version uint64) {
	for acked, at := range s.operator.acked {
		if acked > version && at < s.now-lease.TTL {
			s.condemn(oldConfiguration, "member %d hands out %d, %d was confirmed %d ms ago", m.place, version, acked, s.now-at)
		}
	}
}

// judgeRemoval condemns every removal: no host of the simulation ever fails.
func (s *simNetwork) judgeRemoval(m *simMember, id string) {
	for _, h := range s.hosts {
		if h.host.ID == id {
			s.condemn(hostRemoved, "%s by member %d, acknowledged %d ms ago", id, m.place, s.now-h.ackedAt)
		}
	}
}

func (s *simNetwork) judgeStores(m *simMember) {
	for i := range s.stores {
		if m.stores.IsAway(uint64(i), m.clock()) {
			s.condemn(storeRemoved, "%d by member %d", i, m.place)
		}
	}
}

// judgeLists condemns hosts that are acknowledged and not on the list of the primary in force.
func (s *simNetwork) judgeLists() {
	for _, m := range s.members {
		if m.frozen || !m.group.IsReady() || !m.mayServe() {
			continue
		}
		for _, h := range s.hosts {
			_, listed := m.machine.Host(h.host.ID)
			switch {
			case listed:
				h.unlistedSince = 0
			case h.unlistedSince == 0:
				h.unlistedSince = s.now
			case h.ackedAt > h.unlistedSince+simRepair:
				s.condemn(hostUnlisted, "%s at member %d", h.host.ID, m.place)
			}
		}
	}
}

func (s *simNetwork) connected(a, b place) bool { return !s.cut[link{a, b}] && !s.cut[link{b, a}] }

// majorityConnected tells whether a majority of the members runs, is connected with each other, and with the operator.
func (s *simNetwork) majorityConnected() bool {
	for first := range s.members {
		group := []place{}
		for i := range s.members {
			p := place((first + i) % len(s.members))
			fits := !s.members[p].frozen && s.connected(p, operatorPlace)
			for _, other := range group {
				fits = fits && s.connected(p, other)
			}
			if fits {
				group = append(group, p)
			}
		}
		if len(group) > len(s.members)/2 {
			return true
		}
	}
	return false
}

func (s *simNetwork) judgeOrders() {
	if s.now-s.changed > simStable+orderPatience && s.now-s.operator.lastAck > orderPatience && s.majorityConnected() {
		s.condemn(orderRefused, "the last one was confirmed %d ms ago, the network is the same since %d ms", s.now-s.operator.lastAck, s.now-s.changed)
	}
}

// judgeElection condemns a takeover from a primary that ran and had a majority around it for longer than any message takes.
func (s *simNetwork) judgeElection(m *simMember, replaced consensus.Record) {
	const settled = 1500
	old := s.members[replaced.Primary-1]
	leads := old != m && old.group.IsReady() && old.group.View().Epoch == replaced.Epoch
	if leads && old.wellSince > 0 && s.now-old.wellSince > settled {
		s.condemn(disturbed, "member %d, well since %d ms, by member %d", old.place, s.now-old.wellSince, m.place)
	}
}

// cutOff cuts a member off in one of the ways.
func (s *simNetwork) cutOff(victim place) {
	way := s.random.Intn(5)
	var others []place
	for _, m := range s.members {
		if m.place != victim {
			others = append(others, m.place)
		}
	}
	switch {
	case way == 4: // from one other member alone
		others = others[:1]
	case len(others) == 4 && s.random.Intn(2) == 0: // with a companion
		s.cutOffPair(victim, others[0], others[1:])
		return
	}
	for _, other := range others {
		if way != 1 {
			s.setCut(victim, other, true)
		}
		if way != 2 {
			s.setCut(other, victim, true)
		}
	}
	if way == 3 { // near: from all other zones too
		for _, p := range s.callers() {
			if zoneOf(p) != zoneOf(victim) {
				s.setCut(victim, p, true)
				s.setCut(p, victim, true)
			}
		}
	}
}

// cutOffPair cuts two members off that stay connected with each other.
func (s *simNetwork) cutOffPair(first, second place, others []place) {
	for _, other := range others {
		for _, p := range []place{first, second} {
			s.setCut(p, other, true)
			s.setCut(other, p, true)
		}
	}
}

func (s *simNetwork) callers() []place {
	all := []place{operatorPlace}
	for _, h := range s.hosts {
		all = append(all, h.place)
	}
	for _, t := range s.stores {
		all = append(all, t.place)
	}
	for _, f := range s.follow {
		all = append(all, f.place)
	}
	return all
}

func (s *simNetwork) primaryOr(other place) place {
	for _, m := range s.members {
		if m.group.IsReady() && m.mayServe() {
			return m.place
		}
	}
	return other
}

// plan draws what happens to the network: a cut of up to 22 s, freezes before, in and after it.
func (s *simNetwork) plan() {
	begin := 4000 + s.random.Int63n(2000)
	span := 6000 + s.random.Int63n(16_000)
	victim := s.randomMember()
	choose := func() {
		if s.random.Intn(3) > 0 {
			victim = s.primaryOr(victim)
		}
	}
	frozenBefore := s.random.Intn(4) == 0 // so that it reads late what came before the cut
	if frozenBefore {
		s.at(begin-s.random.Int63n(400), func() {
			choose()
			s.freeze(s.members[victim], 500+s.random.Int63n(5000))
		})
	}
	s.at(begin, func() {
		if !frozenBefore {
			choose()
		}
		s.cutOff(victim)
	})
	if s.random.Intn(3) == 0 { // another one stands still while the successor opens its epoch
		s.at(begin+s.random.Int63n(700), func() { s.freeze(s.members[s.nextMember(victim)], 500+s.random.Int63n(2500)) })
	}
	s.at(begin+span, s.heal)
	for range s.random.Intn(4) {
		at := begin - 1000 + s.random.Int63n(span+1500)
		s.at(at, func() {
			victim := s.randomMember()
			if s.random.Intn(2) == 0 {
				victim = s.primaryOr(victim)
			}
			length := 500 + s.random.Int63n(2500)
			if s.random.Intn(3) == 0 {
				length = 500 + s.random.Int63n(9500)
			}
			length = min(length, simLength-7000-s.now)
			s.freeze(s.members[victim], max(length, 1))
		})
	}
}

// judgeEnd looks at the network when it has been whole for seconds.
func (s *simNetwork) judgeEnd() {
	var primary *simMember
	for _, m := range s.members {
		if m.group.IsReady() && m.mayServe() {
			primary = m
		}
	}
	if primary == nil {
		s.condemn(notSettled, "no member leads")
	}
	held := map[uint64]bool{}
	for _, version := range primary.machine.versions {
		held[version] = true
	}
	for version := range s.operator.acked {
		if !held[version] {
			s.condemn(orderLost, "%d", version)
		}
	}
	for _, f := range s.follow {
		for version, at := range s.operator.acked {
			if version > f.version && at < s.now-3000 {
				s.condemn(notSettled, "subscriber %d holds %d, %d was confirmed %d ms ago", f.place, f.version, version, s.now-at)
			}
		}
	}
	if len(s.operator.acked) < 20 {
		s.condemn(notSettled, "only %d orders were confirmed", len(s.operator.acked))
	}
}

const simSeedsVariable = "TIER_CONTROL_SEEDS"

func simSeeds() int64 {
	if n, err := strconv.ParseInt(os.Getenv(simSeedsVariable), 10, 64); err == nil {
		return n
	}
	return simStandardSeeds
}

// While members are cut off in any direction and stand still, none hands out an old configuration past its lease, no confirmed
// order is lost or missed by a read, no live host or store is given up, and a connected majority goes on taking orders and keeps
// its primary. TIER_CONTROL_SEEDS sets how many seeds are played.
func TestControlStandsBehindWhatItAnswers(t *testing.T) {
	for seed := range simSeeds() {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := newSimNetwork(t, seed)
			s.plan()
			s.every(200, func() {
				s.judgeLists()
				s.judgeOrders()
			})
			s.play(simLength)
			s.judgeEnd()
		})
	}
}
