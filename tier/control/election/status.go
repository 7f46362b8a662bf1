package election

import (
	"errors"
	"sync"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/lease"
	"otterseam/tier/replica"
)

// LeaseStatus is what this process can prove of itself at a moment. All answers of control are given by it. Its methods may be called
// from any goroutine.
type LeaseStatus struct {
	elector *Elector

	mu        sync.Mutex // guards reachedSince
	reachedAt int64      // start of the newest probe that the primary answered
}

// NewLeaseStatus makes the lease status of a process.
func NewLeaseStatus(elector *Elector) *LeaseStatus { return &LeaseStatus{elector: elector} }

// Status is what this process can prove now.
func (s *LeaseStatus) Status() lease.Status {
	if !consensus.HasMember(s.elector.Known().Members, s.elector.config.Self.ID) {
		return lease.Status{Role: lease.Outsider, ConfirmedSince: s.lastReachedAt()}
	}
	status := lease.Status{Role: lease.Backup}
	s.elector.config.Node.WithGroup(state.Group, func(g *replica.Group) {
		if g.IsPrimary() {
			status.Role = lease.Primary
			status.Ready = g.IsReady()
		}
		status.ConfirmedSince = g.ConfirmedSince(s.elector.config.Now())
	})
	return status
}

// MayServe tells whether this process may serve its copy of the state now.
func (s *LeaseStatus) MayServe() bool { return s.Status().MayServe(s.elector.config.Now()) }

// MayDecide returns an error unless this process may give an answer of its own as the primary now: a *NotLeaderError or
// ErrLeaseExpired.
func (s *LeaseStatus) MayDecide() error {
	err := s.Status().MayDecide(s.elector.config.Now())
	if errors.Is(err, codes.NotPrimary) {
		return &NotLeaderError{Leader: s.PrimaryAddress()}
	}
	return asLeaseExpired(err)
}

// MayForward returns ErrLeaseExpired unless this process can expect the primary in force to answer what it forwards now.
func (s *LeaseStatus) MayForward() error {
	return asLeaseExpired(s.Status().MayForward(s.elector.config.Now()))
}

// asLeaseExpired names the one reason that package lease has besides another primary.
func asLeaseExpired(err error) error {
	if err != nil {
		return ErrLeaseExpired
	}
	return nil
}

// ObserveReached notes that the primary in force answered a probe of this process that began at a time.
func (s *LeaseStatus) ObserveReached(since int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachedAt = max(s.reachedAt, since)
}

func (s *LeaseStatus) lastReachedAt() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reachedAt
}

// Leads tells whether this process is the primary of control, also while it waits for a replica and can commit nothing.
func (s *LeaseStatus) Leads() bool { return s.elector.Leads() }

// MayAdjust tells whether this process may change members and the in-sync set: it is the primary of control, and a majority has
// answered it lately or can't.
func (s *LeaseStatus) MayAdjust() bool { return s.leadsWithLease() || s.leadsWithLostVoter() }

// leadsWithLease tells whether this process is the primary of control and a majority has answered it lately.
func (s *LeaseStatus) leadsWithLease() bool {
	status := s.Status()
	return status.Role == lease.Primary && status.HasLease(s.elector.config.Now())
}

// leadsWithLostVoter tells whether this process is the primary of control while the disk of a voter is provably lost: it may have no
// majority until another has that vote, and looks for one that can have it.
func (s *LeaseStatus) leadsWithLostVoter() bool {
	if !s.Leads() {
		return false
	}
	for _, voter := range s.elector.Known().Voters() {
		if s.elector.DiskLost(voter.ID) {
			return true
		}
	}
	return false
}

// PrimaryAddress is where the primary is believed to be, as a hint for callers; "" if this process can't tell.
func (s *LeaseStatus) PrimaryAddress() string {
	primary := uint64(0)
	s.elector.config.Node.WithGroup(state.Group, func(g *replica.Group) { primary = g.View().Primary })
	if primary == s.elector.config.Self.ID || !s.Status().HasLease(s.elector.config.Now()) {
		return "" // it leads no more, or may have been replaced
	}
	if member, known := s.elector.Known().Member(primary); known {
		return member.Address
	}
	return ""
}
