// Package consensus is the small register on which the witnesses of a replica group agree: which epoch holds, who is its
// primary and which replicas are in sync. It holds one value, changed by compare-and-set with ballots on a majority; it is no
// log. The package is pure: it neither reads clocks nor sockets nor disks.
package consensus

import (
	"bytes"
	"slices"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
)

// Member is a process that votes and may hold a replica. The identity is drawn when its disk is first used, so that a
// machine that lost its disk comes back as another member.
type Member struct {
	ID      uint64
	Address string
	Node    string // the machine's name
}

// Record is the value of the register.
type Record struct {
	Epoch     uint64
	Primary   uint64
	InSync    []uint64
	Members   []Member
	Previous  []Member // the members before a change that is not yet known by a majority of both
	MinInSync int      `json:"MinCopies"` // in-sync replicas without which nothing is committed
	Learners  []Member // spares that hold a replica, or are getting one, and have no vote
	// ClusterID is drawn at bootstrap and never changes.
	ClusterID uint64 `json:"Installation"`
}

// IsBootstrapped tells whether the register has been founded.
func (r Record) IsBootstrapped() bool { return r.Epoch > 0 }

// Voters are all whose votes may be needed.
func (r Record) Voters() []Member {
	voters := append([]Member(nil), r.Members...)
	for _, member := range r.Previous {
		if !HasMember(voters, member.ID) {
			voters = append(voters, member)
		}
	}
	return voters
}

// Replicas are all that are to hold a copy, with a vote or without.
func (r Record) Replicas() []Member {
	holders := append([]Member(nil), r.Members...)
	for _, learner := range r.Learners {
		if !HasMember(holders, learner.ID) {
			holders = append(holders, learner)
		}
	}
	return holders
}

// Member finds a voter or a learner by its identity.
func (r Record) Member(id uint64) (Member, bool) {
	for _, member := range append(r.Voters(), r.Learners...) {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsInSync tells whether a replica holds all that was acknowledged.
func (r Record) IsInSync(id uint64) bool { return slices.Contains(r.InSync, id) }

// Equal tells whether two records are the same.
func (r Record) Equal(other Record) bool {
	var a, b codec.Encoder
	EncodeRecord(&a, r)
	EncodeRecord(&b, other)
	return bytes.Equal(a.Bytes, b.Bytes)
}

// HasMember tells whether a list holds a member of that identity.
func HasMember(members []Member, id uint64) bool {
	for _, member := range members {
		if member.ID == id {
			return true
		}
	}
	return false
}

// Without returns the list without one identity.
func Without(ids []uint64, id uint64) []uint64 {
	var rest []uint64
	for _, each := range ids {
		if each != id {
			rest = append(rest, each)
		}
	}
	return rest
}

// Number orders attempts to change the register.
type ProposalNumber struct {
	Round    uint64
	Proposer uint64
}

// Less tells whether b is the lower ballot.
func (b ProposalNumber) Less(other ProposalNumber) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// Acceptor is what one voter keeps, durably, before it answers.
type Acceptor struct {
	Promised ProposalNumber
	Accepted ProposalNumber
	Value    Record
}

// Prepare promises not to accept lower ballots. It reports whether the promise was given; the witness's state must be
// durable before it is told to anyone.
func (w *Acceptor) Prepare(ballot ProposalNumber) bool {
	if ballot.Less(w.Promised) {
		return false
	}
	w.Promised = ballot
	return true
}

// Accept takes a value unless a higher ballot has been promised. Under one ballot it takes one value only: a second one would
// come from two proposals that used the ballot, and might replace what is decided.
func (w *Acceptor) Accept(ballot ProposalNumber, value Record) bool {
	if ballot.Less(w.Promised) {
		return false
	}
	if ballot == w.Accepted && !value.Equal(w.Value) {
		return false
	}
	w.Promised = ballot
	w.Accepted = ballot
	w.Value = value
	return true
}

// Response is a witness's answer to a prepare.
type Response struct {
	Granted  bool
	DiskLost bool // the witness's disk is provably lost: it votes never again, and what it promised is gone
	Promised ProposalNumber
	Accepted ProposalNumber
	Value    Record
}

// Majority tells whether more than half of the members are among the voters.
func Majority(members []Member, voted map[uint64]bool) bool {
	if len(members) == 0 {
		return true
	}
	count := 0
	for _, member := range members {
		if voted[member.ID] {
			count++
		}
	}
	return count > len(members)/2
}

// Quorum tells whether the voters decide for a record: a majority of its members and, during a change, of those before.
func Quorum(record Record, voted map[uint64]bool) bool {
	return Majority(record.Members, voted) && Majority(record.Previous, voted)
}

// HighestAccepted picks the value with the highest accepted ballot among promises, or the standard one if none was accepted.
func HighestAccepted(promises map[uint64]Response, standard Record) Record {
	best := ProposalNumber{}
	value := standard
	for _, promise := range promises {
		if promise.Granted && promise.Value.IsBootstrapped() && best.Less(promise.Accepted) {
			best = promise.Accepted
			value = promise.Value
		}
	}
	return value
}

// EncodeRecord appends a record to a message.
func EncodeRecord(e *codec.Encoder, r Record) {
	e.Uint64(r.Epoch)
	e.Uint64(r.Primary)
	e.Uint64s(r.InSync)
	encodeMembers(e, r.Members)
	encodeMembers(e, r.Previous)
	e.Uint32(uint32(r.MinInSync))
	encodeMembers(e, r.Learners)
	e.Uint64(r.ClusterID)
}

// DecodeRecord reads a record from a message.
func DecodeRecord(d *codec.Decoder) Record {
	return Record{
		Epoch:     d.Uint64(),
		Primary:   d.Uint64(),
		InSync:    d.Uint64s(),
		Members:   decodeMembers(d),
		Previous:  decodeMembers(d),
		MinInSync: int(d.Uint32()),
		Learners:  decodeMembers(d),

		ClusterID: d.Uint64(),
	}
}

func encodeMembers(e *codec.Encoder, members []Member) {
	e.Uint32(uint32(len(members)))
	for _, member := range members {
		e.Uint64(member.ID)
		e.String(member.Address)
		e.String(member.Node)
	}
}

const minMemberBytes = 8 + 4 + 4

func decodeMembers(d *codec.Decoder) []Member {
	var members []Member
	for range d.Count(minMemberBytes) {
		members = append(members, Member{ID: d.Uint64(), Address: d.String(), Node: d.String()})
	}
	return members
}

// EncodeProposalNumber appends a ballot to a message.
func EncodeProposalNumber(e *codec.Encoder, b ProposalNumber) {
	e.Uint64(b.Round)
	e.Uint64(b.Proposer)
}

// DecodeProposalNumber reads a ballot from a message.
func DecodeProposalNumber(d *codec.Decoder) ProposalNumber {
	return ProposalNumber{Round: d.Uint64(), Proposer: d.Uint64()}
}

// Encode is the witness's durable form.
func (w *Acceptor) Encode() []byte {
	var e codec.Encoder
	EncodeProposalNumber(&e, w.Promised)
	EncodeProposalNumber(&e, w.Accepted)
	EncodeRecord(&e, w.Value)
	return e.Bytes
}

// DecodeAcceptor reads a witness's durable form.
func DecodeAcceptor(content []byte) (Acceptor, error) {
	d := codec.NewDecoder(content)
	w := Acceptor{Promised: DecodeProposalNumber(d), Accepted: DecodeProposalNumber(d), Value: DecodeRecord(d)}
	if d.Err() != nil {
		return Acceptor{}, codes.Malformed
	}
	return w, nil
}
