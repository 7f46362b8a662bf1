package membership

import "otterseam/tier/consensus"

// IdentityTracker is where each identity was last seen, from which follows whose disk is lost. The proof is the member's own
// machine, at its own address, answering with another identity after the last sign of the member: an identity is drawn only on an
// empty disk. An address that another machine has taken proves nothing, nor does silence, nor an answer from before the member
// came.
type IdentityTracker struct {
	members   map[uint64]memberObservation
	addresses map[string]addressObservation
}

// memberObservation is where and when an identity was seen last.
type memberObservation struct {
	address string
	node    string
	at      int64
}

// addressObservation is who answered last at an address.
type addressObservation struct {
	identity uint64
	node     string
	at       int64
}

// NewIdentityTracker makes a tracker that has seen nobody.
func NewIdentityTracker() *IdentityTracker {
	return &IdentityTracker{members: map[uint64]memberObservation{}, addresses: map[string]addressObservation{}}
}

// ObserveListed notes that a record names a member. Only the first time counts as a sign of it.
func (t *IdentityTracker) ObserveListed(member consensus.Member, now int64) {
	if _, known := t.members[member.ID]; !known {
		t.members[member.ID] = memberObservation{address: member.Address, node: member.Node, at: now}
	}
}

// ObserveAnswer notes who answered at an address; since is when it was asked, or when its message came if it was not asked.
func (t *IdentityTracker) ObserveAnswer(member consensus.Member, since int64) {
	if previous := t.members[member.ID]; previous.at <= since {
		t.members[member.ID] = memberObservation{address: member.Address, node: member.Node, at: since}
	}
	if previous := t.addresses[member.Address]; previous.at <= since {
		t.addresses[member.Address] = addressObservation{identity: member.ID, node: member.Node, at: since}
	}
}

// DiskLost tells whether a member's disk is provably lost.
func (t *IdentityTracker) DiskLost(id uint64) bool {
	seen, known := t.members[id]
	if !known {
		return false
	}
	latest, answered := t.addresses[seen.address]
	return answered && latest.identity != id && latest.node == seen.node && latest.at > seen.at
}
