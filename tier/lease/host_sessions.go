package lease

import "sort"

// HostSessions is the primary's table of host sessions: when each host sent its last heartbeat, and which control process received
// it. A new primary starts all sessions anew and grants each host enough time to reach it, whichever process acknowledged the host
// before.
type HostSessions struct {
	hosts    map[string]hostSession
	holders  map[uint64]holder
	removing map[string]bool // hosts whose removal may still be committed
}

type hostSession struct {
	lastSeenAt int64
	holder     uint64 // the control process that received the last heartbeat, 0 if this primary has no report of the host
	graceStart int64  // when this primary last started the session without a heartbeat; a report received later may be outdated
}

// holder is a control process that receives heartbeats of hosts and reports them to the primary.
type holder struct {
	lastSeenAt  int64  // when the newest probe that it answered was sent
	rejections  uint64 // number of heartbeats that it has rejected because it had no lease
	recoveredAt int64  // when it last responded again after a silence or such a rejection
}

// NewHostSessions returns an empty table.
func NewHostSessions() *HostSessions {
	return &HostSessions{hosts: map[string]hostSession{}, holders: map[uint64]holder{}, removing: map[string]bool{}}
}

// Begin replaces all sessions by new ones of the given hosts.
func (s *HostSessions) Begin(hosts []string, now int64) {
	s.hosts = make(map[string]hostSession, len(hosts))
	clear(s.removing)
	for _, id := range hosts {
		s.hosts[id] = hostSession{lastSeenAt: now, graceStart: now}
	}
}

// Restart starts all sessions anew, after this process was stalled.
func (s *HostSessions) Restart(now int64) {
	for id := range s.hosts {
		s.hosts[id] = hostSession{lastSeenAt: now, graceStart: now}
	}
}

// Renew renews the session of a host from which a holder received a heartbeat at a time. It reports whether a removal of the host may
// be in flight: then the heartbeat counts only if it is committed after the removal.
func (s *HostSessions) Renew(id string, holderID uint64, seenAt int64) (removing bool) {
	if session := s.hosts[id]; seenAt > session.lastSeenAt {
		s.hosts[id] = hostSession{lastSeenAt: seenAt, holder: holderID, graceStart: session.graceStart}
	}
	return s.removing[id]
}

// BeginRemoval ends the session of a host and records that its removal is in flight.
func (s *HostSessions) BeginRemoval(id string) {
	delete(s.hosts, id)
	s.removing[id] = true
}

// FinishRemoval records the outcome of a removal. If the removal is not known to be committed, it may still be, and the host gets a
// new session with a grace period.
func (s *HostSessions) FinishRemoval(id string, committed bool, now int64) {
	if committed {
		delete(s.removing, id)
		return
	}
	if _, exists := s.hosts[id]; !exists {
		s.hosts[id] = hostSession{lastSeenAt: now, graceStart: now}
	}
}

// Readmit records that a host was added to the list of hosts after any removal.
func (s *HostSessions) Readmit(id string) { delete(s.removing, id) }

// RenewHolder records that a control process has answered the probe that this one sent at probeSentAt, and how many heartbeats it has
// rejected because it had no lease: the rejected hosts still have to reach another control process.
func (s *HostSessions) RenewHolder(id, rejections uint64, probeSentAt, now int64) {
	observed, known := s.holders[id]
	if known && (now-observed.lastSeenAt > HolderTimeout || rejections != observed.rejections) {
		observed.recoveredAt = now
	}
	observed.rejections = rejections
	observed.lastSeenAt = max(observed.lastSeenAt, probeSentAt)
	s.holders[id] = observed
}

// CountByHolder returns the number of hosts by the control process that received their last heartbeat. The counts are complete if
// this primary has a report of every host.
func (s *HostSessions) CountByHolder() (counts map[uint64]int, complete bool) {
	counts = map[uint64]int{}
	for _, session := range s.hosts {
		counts[session.holder]++
	}
	return counts, counts[0] == 0
}

// Forget ends a host's session.
func (s *HostSessions) Forget(id string) { delete(s.hosts, id) }

// Expired returns the hosts whose sessions have expired, in ascending order. heartbeat is the heartbeat interval of hosts in
// milliseconds.
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

// expiryOf returns when a session expires without a further heartbeat. If the silence of the host may be caused by its holder or by
// the previous primary, the session is extended by HostGrace, in which the host can reach another control process. A report never
// shortens this extension, because it may have been in transit for a long time.
func (s *HostSessions) expiryOf(session hostSession, heartbeat, now int64) int64 {
	timeout := MaxMissedHeartbeats * heartbeat
	end := session.lastSeenAt + timeout
	if session.graceStart > 0 {
		end = max(end, session.graceStart+timeout+HostGrace)
	}
	lastHolder := s.holders[session.holder]
	if now-lastHolder.lastSeenAt > HolderTimeout {
		return max(end, max(session.lastSeenAt, lastHolder.lastSeenAt)+timeout+HostGrace)
	}
	if lastHolder.recoveredAt > 0 {
		return max(end, lastHolder.recoveredAt+timeout+HostGrace)
	}
	return end
}
