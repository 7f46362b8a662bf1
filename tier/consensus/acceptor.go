package consensus

// ProposalNumber orders the proposals that change the register. Paxos calls it ballot or proposal number, Raft term.
type ProposalNumber struct {
	Round    uint64
	Proposer uint64 // the identity of the process that proposes
}

// Less tells whether n is the lower number.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	if n.Round != other.Round {
		return n.Round < other.Round
	}
	return n.Proposer < other.Proposer
}

// Acceptor is what one voter keeps, durably, before it answers. Operators know it as a witness.
type Acceptor struct {
	Promised ProposalNumber
	Accepted ProposalNumber
	Value    Record
}

// Prepare promises not to accept lower numbers. It reports whether the promise was given; the acceptor's state must be
// durable before anyone is told of it.
func (a *Acceptor) Prepare(number ProposalNumber) bool {
	if number.Less(a.Promised) {
		return false
	}
	a.Promised = number
	return true
}

// Accept takes a value unless a higher number has been promised. Under one number it takes one value only: a second one would
// come from two proposals that used the number, and might replace what is decided.
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
	Granted  bool // the promise or the accept was granted
	DiskLost bool // the acceptor's disk is provably lost: it votes never again, and what it promised is lost with it
	Promised ProposalNumber
	Accepted ProposalNumber
	Value    Record
}
