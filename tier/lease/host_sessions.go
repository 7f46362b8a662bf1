package lease

import "sort"

// HostSessions is who of the hosts was heard when, and by which control process. The primary keeps it. A new primary begins
// anew and gives all hosts the time in which they, wherever they were acknowledged before, must reach it.
type HostSessions struct {
	hosts    map[string]hostSession
	holders  map[uint64]holder
	removing map[string]bool // hosts whose removal may be committed yet
}

type hostSession struct {
	heardAt   int64
	holder    uint64 // the control process that heard it last, 0 if none has reported it to this primary
	graceFrom int64  // when this primary last knew nothing of where the host was; what is heard later may be old
}

// holder is a control process that keeps sessions of hosts.
type holder struct {
	heardAt     int64
	refusals    uint64 // heartbeats that it has refused for want of a lease
	recoveredAt int64  // when it was heard again after a silence or such a refusal
}

// NewHostSessions makes an empty table.
func NewHostSessions() *HostSessions {
	return &HostSessions{hosts: map[string]hostSession{}, holders: map[uint64]holder{}, removing: map[string]bool{}}
}

// Begin starts the sessions of all hosts anew.
func (s *HostSessions) Begin(hosts []string, now int64) {
	s.hosts = make(map[string]hostSession, len(hosts))
	clear(s.removing)
	for _, id := range hosts {
		s.hosts[id] = hostSession{heardAt: now, graceFrom: now}
	}
}

// Restart starts all sessions anew, after this process stood still.
func (s *HostSessions) Restart(now int64) {
	for id := range s.hosts {
		s.hosts[id] = hostSession{heardAt: now, graceFrom: now}
	}
}

// Renew renews a host's session, for the control process that heard the host at a time. It tells whether a removal of the host may
// be in flight: then the heartbeat is worth nothing unless it is committed behind the removal.
func (s *HostSessions) Renew(id string, by uint64, at int64) (removing bool) {
	if session := s.hosts[id]; at > session.heardAt {
		s.hosts[id] = hostSession{heardAt: at, holder: by, graceFrom: session.graceFrom}
	}
	return s.removing[id]
}

// BeginRemoval notes that a host is to be removed; its session ends.
func (s *HostSessions) BeginRemoval(id string) {
	delete(s.hosts, id)
	s.removing[id] = true
}

// FinishRemoval notes what became of a removal. One that may still be committed gives the host a new session with its grace.
func (s *HostSessions) FinishRemoval(id string, committed bool, now int64) {
	if committed {
		delete(s.removing, id)
		return
	}
	if _, heard := s.hosts[id]; !heard {
		s.hosts[id] = hostSession{heardAt: now, graceFrom: now}
	}
}

// Readmit notes that a host was put on the list behind any removal.
func (s *HostSessions) Readmit(id string) { delete(s.removing, id) }

// RenewHolder notes that a control process has answered what this one asked at a time, and how many heartbeats it has refused for
// want of a lease: the hosts that it sent away are on their way to another.
func (s *HostSessions) RenewHolder(id, refusals uint64, asked, now int64) {
	observed, known := s.holders[id]
	if known && (now-observed.heardAt > HolderTimeout || refusals != observed.refusals) {
		observed.recoveredAt = now
	}
	observed.refusals = refusals
	observed.heardAt = max(observed.heardAt, asked)
	s.holders[id] = observed
}

// CountByHolder counts the hosts by the control process that heard them last. It is not complete while some of them have not been
// heard by this primary.
func (s *HostSessions) CountByHolder() (counts map[uint64]int, complete bool) {
	counts = map[uint64]int{}
	for _, session := range s.hosts {
		counts[session.holder]++
	}
	return counts, counts[0] == 0
}

// Forget ends a host's session.
func (s *HostSessions) Forget(id string) { delete(s.hosts, id) }

// Expired lists the hosts whose sessions have expired, in order, where a host sends a heartbeat each heartbeat milliseconds.
func (s *HostSessions) Expired(heartbeat, now int64) []string {
	var expired []string
	for id, session := range s.hosts {
		if now > s.expiryOf(session, heartbeat, now) {
			expired = append(expired, id)
		}
	}
	sort.Strings(expired)
	return expired
}

// expiryOf is when a session ends unless the host is heard. The silence of a host may be the fault of the control process that
// kept it, or of the one that led before; then there is time for the host to find another. That time is never cut short by a
// report, which may have been on its way for long.
func (s *HostSessions) expiryOf(session hostSession, heartbeat, now int64) int64 {
	timeout := MaxMissedHeartbeats * heartbeat
	end := session.heardAt + timeout
	if session.graceFrom > 0 {
		end = max(end, session.graceFrom+timeout+HostGrace)
	}
	keeper := s.holders[session.holder]
	if now-keeper.heardAt > HolderTimeout {
		return max(end, max(session.heardAt, keeper.heardAt)+timeout+HostGrace)
	}
	if keeper.recoveredAt > 0 {
		return max(end, keeper.recoveredAt+timeout+HostGrace)
	}
	return end
}
