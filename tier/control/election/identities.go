package election

import (
	"sync"

	"otterseam/tier/consensus"
	"otterseam/tier/membership"
)

// identities records which identity answered at which address. The disk of a member is lost if another identity answers in its place.
type identities struct {
	self consensus.Member
	now  func() int64

	mu      sync.Mutex // guards tracker; only the tracker and now are called while it is held
	tracker *membership.IdentityTracker
}

func newIdentities(self consensus.Member, now func() int64) *identities {
	return &identities{self: self, now: now, tracker: membership.NewIdentityTracker()}
}

// observeAnswer records which process answered at an address. The answer counts as of since.
func (i *identities) observeAnswer(member consensus.Member, since int64, known consensus.Record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observeListed(known)
	i.tracker.ObserveAnswer(member, since)
}

// observeListed records the members that a record lists. The caller holds mu.
func (i *identities) observeListed(record consensus.Record) {
	for _, member := range append(record.Voters(), record.Learners...) {
		i.tracker.ObserveListed(member, i.now())
	}
}

// diskLost reports whether the disk of a control process is provably lost.
func (i *identities) diskLost(id uint64, known consensus.Record) bool {
	if id == i.self.ID {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.observeListed(known)
	if member, listed := known.Member(id); listed && member.Address == i.self.Address && member.Node == i.self.Node {
		return true // this process itself started on the empty disk
	}
	return i.tracker.DiskLost(id)
}
