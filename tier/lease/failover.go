package lease

// FailoverInput is what a control process knows when it decides whether to become primary.
type FailoverInput struct {
	Now                int64
	StartedAt          int64 // start of this process
	RecordLearnedAt    int64 // when this process received the newest membership record
	PrimaryConfirmedAt int64 // when a majority is last known to have confirmed the primary
	InSync             bool  // whether this process is in sync according to the newest record
	Leads              bool  // whether its replica leads, ready or not
	NamedPrimary       bool  // whether the newest record names it as primary
	HasLed             bool  // whether it has become primary in its present incarnation
	Rank               int   // its position among the candidates
	Jitter             int64 // random, below ElectionStagger
	DiskDegraded       bool  // whether its disk is or was recently stalled, so that other candidates should come first
}

// Action is what a control process does to get or become a primary.
type Action uint8

// The actions of a control process that is not a ready primary.
const (
	ActionWait          Action = iota
	ActionLocatePrimary        // ask the other processes which one leads: this one is not in sync and can't lead
	ActionResumeLead           // lead again, in a new epoch
	ActionTakeOver             // replace another primary
)

// Next returns the next action of the process.
func (f FailoverInput) Next() Action {
	if !f.InSync {
		return ActionLocatePrimary
	}
	if f.Leads {
		return ActionWait // for a replica, which either answers, is removed, or reports that the epoch is outdated
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
