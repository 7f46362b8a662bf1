package lease

// Situation is what a control process knows when it asks itself whether the group needs another primary.
type Situation struct {
	Now           int64
	StartedAt     int64 // of this process
	RecordLearned int64 // when it learned of the newest record
	PrimaryProven int64 // when a majority last stood behind the primary
	InSync        bool  // whether this process is in sync by the newest record
	Leads         bool  // whether its replica leads, ready or not
	NamedPrimary  bool  // whether the newest record names it as primary
	HasLed        bool  // whether it has become primary in its present life
	Rank          int   // its place among the candidates
	Jitter        int64 // drawn, below SuspectStep
	DiskTroubled  bool  // its disk is stalled or was lately: others are to come first
}

// Action is what a process does about its primary.
type Action uint8

// The actions of a control process that is not a ready primary.
const (
	Wait Action = iota
	Locate
	ReplaceItself // lead again, in a new epoch
	ReplaceOther
)

// Next decides what a process does about its primary.
func (s Situation) Next() Action {
	if !s.InSync {
		return Locate
	}
	if s.Leads {
		return Wait // it waits for a replica, which will answer, be dropped, or tell that the epoch has passed
	}
	silence := s.Now - max(s.PrimaryProven, s.RecordLearned, s.StartedAt)
	if s.DiskTroubled {
		silence -= TroubledWait
	}
	if s.NamedPrimary {
		if (s.HasLed || s.DiskTroubled) && silence < SuspectAfter {
			return Wait
		}
		return ReplaceItself
	}
	if silence > SuspectAfter+int64(s.Rank)*SuspectStep+s.Jitter {
		return ReplaceOther
	}
	return Wait
}

// Voter is what a control process knows when it is asked whether it would help to replace a primary.
type Voter struct {
	Now           int64
	StartedAt     int64  // of the voter's process: before it has listened for a while it can't tell that there is no primary
	KnownEpoch    uint64 // the newest epoch known to its witness or its replica
	KnownPrimary  uint64
	PrimaryProven int64
	Leads         bool // it is itself the primary and has a lease
}

// Ballot asks a voter for help, before any promise is raised.
type Ballot struct {
	Candidate uint64
	Epoch     uint64 // the epoch that is to be replaced
	OnRequest bool   // the primary itself asked to be replaced
}

// Supports tells whether the voter would help.
func (v Voter) Supports(b Ballot) bool {
	if b.Epoch < v.KnownEpoch {
		return false
	}
	if b.OnRequest || b.Candidate == v.KnownPrimary {
		return true
	}
	return !v.Leads && v.Now-max(v.PrimaryProven, v.StartedAt) >= StickyFor
}
