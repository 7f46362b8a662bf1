package consensus

import (
	"bytes"
	"slices"

	"otterseam/tier/codec"
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

// IsBootstrapped tells whether the register has ever been written.
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

// Replicas are all that are to hold a replica, with a vote or without.
func (r Record) Replicas() []Member {
	replicas := append([]Member(nil), r.Members...)
	for _, learner := range r.Learners {
		if !HasMember(replicas, learner.ID) {
			replicas = append(replicas, learner)
		}
	}
	return replicas
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

// withoutPrevious is a record without the note that its members were changed, which each writing of it may set anew.
func (r Record) withoutPrevious() Record {
	r.Previous = nil
	return r
}

// HasMember tells whether a list holds a member of that identity.
func HasMember(members []Member, id uint64) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == id })
}

// Without returns a copy of the list without one identity, nil if none remains.
func Without(ids []uint64, id uint64) []uint64 {
	var rest []uint64
	for _, each := range ids {
		if each != id {
			rest = append(rest, each)
		}
	}
	return rest
}

// sameMembers tells whether two lists name the same identities, in any order.
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
