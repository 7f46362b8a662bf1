package lease

// FailoverInput is what a control process knows when it asks itself whether the group needs another primary.
type FailoverInput struct {
	Now                int64
	StartedAt          int64 // of this process
	RecordLearnedAt    int64 // when it learned of the newest record
	PrimaryConfirmedAt int64 // when a majority last stood behind the primary
	InSync             bool  // whether this process is in sync by the newest record
	Leads              bool  // whether its replica leads, ready or not
	NamedPrimary       bool  // whether the newest record names it as primary
	HasLed             bool  // whether it has become primary in its present life
	Rank               int   // its place among the candidates
	Jitter             int64 // drawn, below SuspectStep
	DiskDegraded       bool  // its disk is stalled or was lately: others are to come first
}

// Action is what a process does about its primary.
type Action uint8

// The actions of a control process that is not a ready primary.
const (
	ActionWait Action = iota
	ActionLocatePrimary
	ActionResumeLead // lead again, in a new epoch
	ActionTakeOver
)

// Next decides what a process does about its primary.
func (s FailoverInput) Next() Action {
	if !s.InSync {
		return ActionLocatePrimary
	}
	if s.Leads {
		return ActionWait // it waits for a replica, which will answer, be dropped, or tell that the epoch has passed
	}
	silence := s.Now - max(s.PrimaryConfirmedAt, s.RecordLearnedAt, s.StartedAt)
	if s.DiskDegraded {
		silence -= DegradedDelay
	}
	if s.NamedPrimary {
		if (s.HasLed || s.DiskDegraded) && silence < SuspectAfter {
			return ActionWait
		}
		return ActionResumeLead
	}
	if silence > SuspectAfter+int64(s.Rank)*SuspectStep+s.Jitter {
		return ActionTakeOver
	}
	return ActionWait
}

// Voter is what a control process knows when it is asked whether it would help to replace a primary.
type Voter struct {
	Now                int64
	StartedAt          int64  // of the voter's process: before it has listened for a while it can't tell that there is no primary
	KnownEpoch         uint64 // the newest epoch known to its witness or its replica
	KnownPrimary       uint64
	PrimaryConfirmedAt int64
	Leads              bool // it is itself the primary and has a lease
}

// VoteRequest asks a voter for help, before any promise is raised.
type VoteRequest struct {
	Candidate          uint64
	Epoch              uint64 // the epoch that is to be replaced
	LeadershipTransfer bool   // the primary itself asked to be replaced
}

// Grants tells whether the voter would help.
func (v Voter) Grants(b VoteRequest) bool {
	if b.Epoch < v.KnownEpoch {
		return false
	}
	if b.LeadershipTransfer || b.Candidate == v.KnownPrimary {
		return true
	}
	return !v.Leads && v.Now-max(v.PrimaryConfirmedAt, v.StartedAt) >= StickyFor
}
