package session

import (
	"otterseam/tier/consensus"
	"otterseam/tier/lease"
)

// controlSession is when a control process was heard last, and what it said of itself.
type controlSession struct {
	heardAt  int64
	member   consensus.Member
	draining bool
}

// RenewControl keeps a control process's session.
func (s *Sessions) RenewControl(member consensus.Member, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.controls[member.ID] = controlSession{heardAt: now, member: member, draining: draining}
	for id, session := range s.controls {
		if id != member.ID && session.member.Address == member.Address && session.member.Node == member.Node {
			delete(s.controls, id)
		}
	}
}

// LiveControls lists control processes that were heard lately.
func (s *Sessions) LiveControls() []consensus.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var members []consensus.Member
	for _, session := range s.controls {
		if now-session.heardAt <= lease.ControlTimeout {
			members = append(members, session.member)
		}
	}
	return members
}

// ControlSilentFor is for how long a control process was not heard, counted from a moment at the earliest.
func (s *Sessions) ControlSilentFor(id uint64, since int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() - max(since, s.controls[id].heardAt)
}

// IsControlDraining tells whether a control process has said that it will end.
func (s *Sessions) IsControlDraining(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controls[id].draining
}
