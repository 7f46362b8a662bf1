package consensus

import (
	"bytes"
	"slices"

	"otterseam/tier/codec"
)

// Member is a process that votes and may hold a replica. Its identity is generated when its disk is first used, so a machine
// that lost its disk comes back as another member.
type Member struct {
	ID      uint64
	Address string
	Node    string // name of the machine
}

// Record is the value of the register.
type Record struct {
	Epoch     uint64
	Primary   uint64
	InSync    []uint64
	Members   []Member
	Previous  []Member // the members before a change that is not yet known to a majority of both old and new members
	MinInSync int      `json:"MinCopies"` // minimum number of in-sync replicas for a commit
	Learners  []Member // non-voting spares that hold a replica or are receiving one
	// ClusterID is generated at bootstrap and never changes.
	ClusterID uint64 `json:"Installation"`
}

// IsBootstrapped reports whether the register has been bootstrapped. It returns false for the zero record.
func (r Record) IsBootstrapped() bool { return r.Epoch > 0 }

// Voters returns the members whose votes may be needed: the current ones and, during a change, the previous ones.
func (r Record) Voters() []Member {
	voters := append([]Member(nil), r.Members...)
	for _, member := range r.Previous {
		if !HasMember(voters, member.ID) {
			voters = append(voters, member)
		}
	}
	return voters
}

// Replicas returns the members that should hold a replica, voting or not.
func (r Record) Replicas() []Member {
	replicas := append([]Member(nil), r.Members...)
	for _, learner := range r.Learners {
		if !HasMember(replicas, learner.ID) {
			replicas = append(replicas, learner)
		}
	}
	return replicas
}

// Member returns the voter or learner with an identity, and whether there is one.
func (r Record) Member(id uint64) (Member, bool) {
	for _, member := range append(r.Voters(), r.Learners...) {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsInSync reports whether a replica is in the in-sync set, and so holds every acknowledged command.
func (r Record) IsInSync(id uint64) bool { return slices.Contains(r.InSync, id) }

// Equal reports whether two records are the same.
func (r Record) Equal(other Record) bool {
	var a, b codec.Encoder
	EncodeRecord(&a, r)
	EncodeRecord(&b, other)
	return bytes.Equal(a.Bytes, b.Bytes)
}

// withoutPrevious returns the record without its previous members, which each write of the record may set differently.
func (r Record) withoutPrevious() Record {
	r.Previous = nil
	return r
}

// HasMember reports whether a list contains a member with an identity.
func HasMember(members []Member, id uint64) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == id })
}

// Without returns a copy of the list without one identity, or nil if none remains.
func Without(ids []uint64, id uint64) []uint64 {
	var rest []uint64
	for _, each := range ids {
		if each != id {
			rest = append(rest, each)
		}
	}
	return rest
}

// sameMembers reports whether two lists contain the same identities, in any order.
func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		if !HasMember(b, member.ID) {
			return false
		}
	}
	return true
}
