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

// LeaseStatus tells what this process may answer at a given time. All answers of control depend on it. Its methods are safe for
// concurrent use.
type LeaseStatus struct {
	elector *Elector

	mu        sync.Mutex // guards reachedAt
	reachedAt int64      // when the newest probe that the primary answered was sent
}

// NewLeaseStatus returns the lease status of the process that elector belongs to.
func NewLeaseStatus(elector *Elector) *LeaseStatus { return &LeaseStatus{elector: elector} }

// Status returns the current lease status of this process.
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

// MayServe reports whether this process may serve its replica of the state now.
func (s *LeaseStatus) MayServe() bool { return s.Status().MayServe(s.elector.config.Now()) }

// MayDecide returns nil if this process may answer as the primary now. Otherwise the error is a *NotLeaderError or ErrLeaseExpired.
func (s *LeaseStatus) MayDecide() error {
	err := s.Status().MayDecide(s.elector.config.Now())
	if errors.Is(err, codes.NotPrimary) {
		return &NotLeaderError{Leader: s.PrimaryAddress()}
	}
	return asLeaseExpired(err)
}

// MayForward returns nil if this process can expect the current primary to answer the calls that it forwards now, and ErrLeaseExpired
// otherwise.
func (s *LeaseStatus) MayForward() error {
	return asLeaseExpired(s.Status().MayForward(s.elector.config.Now()))
}

// asLeaseExpired returns ErrLeaseExpired for any error of package lease other than codes.NotPrimary: an expired lease is the only other
// cause.
func asLeaseExpired(err error) error {
	if err != nil {
		return ErrLeaseExpired
	}
	return nil
}

// ObserveReached records that the current primary answered a probe that this process sent at the time since.
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

// Leads reports whether this process is the primary of control, including the time in which it waits for a replica and can't commit.
func (s *LeaseStatus) Leads() bool { return s.elector.Leads() }

// MayAdjust reports whether this process may change the members and the in-sync set: it is the primary of control and either has a lease
// or can't have one because a voter's disk is lost.
func (s *LeaseStatus) MayAdjust() bool { return s.leadsWithLease() || s.leadsWithLostVoter() }

// leadsWithLease reports whether this process is the primary of control and a majority answered it recently.
func (s *LeaseStatus) leadsWithLease() bool {
	status := s.Status()
	return status.Role == lease.Primary && status.HasLease(s.elector.config.Now())
}

// leadsWithLostVoter reports whether this process is the primary of control while the disk of a voter is provably lost. It may have no
// majority until another process has that vote, and it has to be able to give the vote to one.
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

// PrimaryAddress returns the presumed address of the primary as a hint for callers. It is empty if this process doesn't know it.
func (s *LeaseStatus) PrimaryAddress() string {
	primary := uint64(0)
	s.elector.config.Node.WithGroup(state.Group, func(g *replica.Group) { primary = g.View().Primary })
	if primary == s.elector.config.Self.ID || !s.Status().HasLease(s.elector.config.Now()) {
		return "" // this process is no longer the primary, or the primary it knows may have been replaced
	}
	if member, known := s.elector.Known().Member(primary); known {
		return member.Address
	}
	return ""
}
