package session

import (
	"otterseam/tier/consensus"
	"otterseam/tier/lease"
)

// controlSession is the session of a control process, with the contents of its last heartbeat.
type controlSession struct {
	lastSeenAt int64
	member     consensus.Member
	draining   bool
}

// RenewControl renews the session of a control process. It ends the session of any other identity with the same address and node name:
// the process had that identity before its disk was lost.
func (s *Sessions) RenewControl(member consensus.Member, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.controls[member.ID] = controlSession{lastSeenAt: now, member: member, draining: draining}
	for id, session := range s.controls {
		if id != member.ID && session.member.Address == member.Address && session.member.Node == member.Node {
			delete(s.controls, id)
		}
	}
}

// LiveControls returns the control processes whose sessions have not expired.
func (s *Sessions) LiveControls() []consensus.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var members []consensus.Member
	for _, session := range s.controls {
		if now-session.lastSeenAt <= lease.ControlTimeout {
			members = append(members, session.member)
		}
	}
	return members
}

// ControlSilentFor returns how long a control process has been silent, in milliseconds, where silence before since does not count.
func (s *Sessions) ControlSilentFor(id uint64, since int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() - max(since, s.controls[id].lastSeenAt)
}

// IsControlDraining reports whether a control process has announced that it is shutting down.
func (s *Sessions) IsControlDraining(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls[id].draining
}
