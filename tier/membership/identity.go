package membership

import "otterseam/tier/consensus"

// IdentityTracker records where each identity was last observed, and derives from it which disks are lost. A member's disk is provably
// lost if the member's machine answers at the member's address with another identity, later than the member was last observed, because
// a process draws an identity only on an empty disk. Neither silence, nor an answer of another machine at that address, nor an answer
// from before the member was observed proves a loss.
type IdentityTracker struct {
	members   map[uint64]memberObservation
	addresses map[string]addressObservation
}

// memberObservation is where and when an identity was last observed.
type memberObservation struct {
	address string
	node    string
	at      int64
}

// addressObservation is the process that last answered at an address, and when.
type addressObservation struct {
	identity uint64
	node     string
	at       int64
}

// NewIdentityTracker returns a tracker without observations.
func NewIdentityTracker() *IdentityTracker {
	return &IdentityTracker{members: map[uint64]memberObservation{}, addresses: map[string]addressObservation{}}
}

// ObserveListed records that a record lists a member. It has no effect if the member has been observed before.
func (t *IdentityTracker) ObserveListed(member consensus.Member, now int64) {
	if _, known := t.members[member.ID]; !known {
		t.members[member.ID] = memberObservation{address: member.Address, node: member.Node, at: now}
	}
}

// ObserveAnswer records which process answered at an address. since is when the call was made, or when the message arrived if there was no
// call.
func (t *IdentityTracker) ObserveAnswer(member consensus.Member, since int64) {
	if previous := t.members[member.ID]; previous.at <= since {
		t.members[member.ID] = memberObservation{address: member.Address, node: member.Node, at: since}
	}
	if previous := t.addresses[member.Address]; previous.at <= since {
		t.addresses[member.Address] = addressObservation{identity: member.ID, node: member.Node, at: since}
	}
}

// DiskLost reports whether a member's disk is provably lost.
func (t *IdentityTracker) DiskLost(id uint64) bool {
	seen, known := t.members[id]
	if !known {
		return false
	}
	latest, answered := t.addresses[seen.address]
	return answered && latest.identity != id && latest.node == seen.node && latest.at > seen.at
}
