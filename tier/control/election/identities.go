package election

import (
	"sync"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// identities is who was seen at which address, from which follows whose disk is lost: where a member was, another identity answers.
type identities struct {
	self consensus.Member
	now  func() int64

	mu      sync.Mutex // guards tracker; nothing is called under it but the tracker
	tracker *membership.IdentityTracker
}

func newIdentities(self consensus.Member, now func() int64) *identities {
	return &identities{self: self, now: now, tracker: membership.NewIdentityTracker()}
}

// observeAnswer notes who answered at an address, and since when its answer counts.
func (i *identities) observeAnswer(member consensus.Member, since int64, known consensus.Record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observeListed(known)
	i.tracker.ObserveAnswer(member, since)
}

// observeListed notes the members that a record names; the lock is held.
func (i *identities) observeListed(record consensus.Record) {
	for _, member := range append(record.Voters(), record.Learners...) {
		i.tracker.ObserveListed(member, i.now())
	}
}

// diskLost tells whether a control process's disk is provably lost.
func (i *identities) diskLost(id uint64, known consensus.Record) bool {
	if id == i.self.ID {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observeListed(known)
	if member, listed := known.Member(id); listed && member.Address == i.self.Address && member.Node == i.self.Node {
		return true // this process is the one that came up on the empty disk
	}
	return i.tracker.DiskLost(id)
}
