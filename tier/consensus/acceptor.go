package consensus

// ProposalNumber orders the proposals that change the register. Paxos calls it a ballot or proposal number, Raft a term.
type ProposalNumber struct {
	Round    uint64
	Proposer uint64 // identity of the proposing process
}

// Less reports whether n is lower than other.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	if n.Round != other.Round {
		return n.Round < other.Round
	}
	return n.Proposer < other.Proposer
}

// Acceptor is the state of one voter, which must be durable before the voter responds. Operators know it as a witness.
type Acceptor struct {
	Promised ProposalNumber
	Accepted ProposalNumber
	Value    Record
}

// Prepare promises not to accept lower numbers. It reports whether the promise was granted. The acceptor's state must be
// durable before the response is sent.
func (a *Acceptor) Prepare(number ProposalNumber) bool {
	if number.Less(a.Promised) {
		return false
	}
	a.Promised = number
	return true
}

// Accept accepts a value unless a higher number has been promised, and reports whether it did. It accepts only one value per
// number: a second value would mean that two proposals used the same number, and it might replace a decided value.
func (a *Acceptor) Accept(number ProposalNumber, value Record) bool {
	if number.Less(a.Promised) {
		return false
	}
	if number == a.Accepted && !value.Equal(a.Value) {
		return false
	}
	a.Promised = number
	a.Accepted = number
	a.Value = value
	return true
}

// Response is an acceptor's response to a prepare or an accept.
type Response struct {
	Granted  bool // whether the prepare or the accept was granted
	DiskLost bool // the acceptor's disk is provably lost: it never votes again, and its promises are lost too
	Promised ProposalNumber
	Accepted ProposalNumber
	Value    Record
}
