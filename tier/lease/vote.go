package lease

// Voter is what a control process knows when it is asked for its vote to replace a primary.
type Voter struct {
	Now                int64
	StartedAt          int64  // start of the voter's process, which can't conclude right after its start that there is no primary
	KnownEpoch         uint64 // the newest epoch known to its acceptor or its replica
	KnownPrimary       uint64
	PrimaryConfirmedAt int64 // when a majority is last known to have confirmed the primary
	Leads              bool  // whether it is itself the primary and has a lease
}

// VoteRequest asks a voter for its vote before any proposal number is raised, like a PreVote of Raft.
type VoteRequest struct {
	Candidate          uint64
	Epoch              uint64 // the epoch to replace
	LeadershipTransfer bool   // whether the primary itself asked to be replaced
}

// Grants reports whether the voter grants its vote.
func (v Voter) Grants(request VoteRequest) bool {
	if request.Epoch < v.KnownEpoch {
		return false
	}
	if request.LeadershipTransfer || request.Candidate == v.KnownPrimary {
		return true
	}
	return !v.Leads && v.Now-max(v.PrimaryConfirmedAt, v.StartedAt) >= LeaderStickiness
}
