package lease

// Voter is what a control process knows when it is asked whether it would help to replace a primary.
type Voter struct {
	Now                int64
	StartedAt          int64  // of the voter's process: before it has listened for a while it can't tell that there is no primary
	KnownEpoch         uint64 // the newest epoch known to its acceptor or its replica
	KnownPrimary       uint64
	PrimaryConfirmedAt int64 // when a majority last stood behind the primary
	Leads              bool  // it is itself the primary and has a lease
}

// VoteRequest asks a voter for help before any proposal number is raised, as a PreVote of Raft does.
type VoteRequest struct {
	Candidate          uint64
	Epoch              uint64 // the epoch that is to be replaced
	LeadershipTransfer bool   // the primary itself asked to be replaced
}

// Grants tells whether the voter would help.
func (v Voter) Grants(request VoteRequest) bool {
	if request.Epoch < v.KnownEpoch {
		return false
	}
	if request.LeadershipTransfer || request.Candidate == v.KnownPrimary {
		return true
	}
	return !v.Leads && v.Now-max(v.PrimaryConfirmedAt, v.StartedAt) >= LeaderStickiness
}
