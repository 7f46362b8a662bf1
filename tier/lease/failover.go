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
	HasLed             bool  // whether it has become primary in its present incarnation
	Rank               int   // its place among the candidates
	Jitter             int64 // drawn, below ElectionStagger
	DiskDegraded       bool  // its disk is stalled or was lately: others are to come first
}

// Action is what a process does about its primary.
type Action uint8

// The actions of a control process that is not a ready primary.
const (
	ActionWait          Action = iota
	ActionLocatePrimary        // ask the others who leads: it is not in sync and can't lead itself
	ActionResumeLead           // lead again, in a new epoch
	ActionTakeOver             // replace another primary
)

// Next decides what a process does about its primary.
func (f FailoverInput) Next() Action {
	if !f.InSync {
		return ActionLocatePrimary
	}
	if f.Leads {
		return ActionWait // it waits for a replica, which will answer, be dropped, or tell that the epoch has passed
	}
	silence := f.Now - max(f.PrimaryConfirmedAt, f.RecordLearnedAt, f.StartedAt)
	if f.DiskDegraded {
		silence -= DegradedDelay
	}
	if f.NamedPrimary {
		if (f.HasLed || f.DiskDegraded) && silence < ElectionTimeout {
			return ActionWait
		}
		return ActionResumeLead
	}
	if silence > ElectionTimeout+int64(f.Rank)*ElectionStagger+f.Jitter {
		return ActionTakeOver
	}
	return ActionWait
}
