package state

import (
	"slices"
	"sort"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// retirementsKept is how many retirements stay known after their machine has left, so that whoever asks late is still answered.
const retirementsKept = 64

// retirement is the order to empty a store machine. It holds for the disks that the machine has had since it was given, so that a
// machine which later comes under the same name is not emptied.
type retirement struct {
	Departed   bool // none of the machine's stores is on the list any more
	Identities []uint64
}

func (r retirement) encode() []byte {
	var e codec.Encoder
	e.Bool(r.Departed)
	e.Uint64s(r.Identities)
	return e.Bytes
}

func decodeRetirement(data []byte) retirement {
	d := codec.NewDecoder(data)
	return retirement{Departed: d.Bool(), Identities: d.Uint64s()}
}

// retirementOf returns the retirement of a machine.
func (s *State) retirementOf(node string) (retirement, bool) {
	data, found := s.View.Get(feed.SectionRetirement, node)
	if !found {
		return retirement{}, false
	}
	return decodeRetirement(data), true
}

func (s *State) putRetirement(index uint64, node string, r retirement) {
	s.View.Put(feed.SectionRetirement, node, index, r.encode())
}

// beginRetirement notes that the disks which a machine has now are to be emptied.
func (s *State) beginRetirement(index uint64, node string) {
	r := retirement{}
	for _, store := range directory.Stores(s.View) {
		if store.Node == node {
			r.Identities = append(r.Identities, store.Identity)
		}
	}
	sort.Slice(r.Identities, func(i, j int) bool { return r.Identities[i] < r.Identities[j] })
	s.putRetirement(index, node, r)
}

// updateRetirementOnRegister takes note of a store that registers under a retired machine's name: as long as the machine has not left,
// it is the same machine with another disk; afterwards another machine has the name, and the retirement is over.
func (s *State) updateRetirementOnRegister(index uint64, store directory.Store) {
	r, found := s.retirementOf(store.Node)
	if !found || slices.Contains(r.Identities, store.Identity) {
		return
	}
	if r.Departed {
		s.View.Delete(feed.SectionRetirement, store.Node, index)
		return
	}
	r.Identities = append(r.Identities, store.Identity)
	s.putRetirement(index, store.Node, r)
}

// updateRetirementOnRemoval notes when the last store of a retired machine has been taken off the list, and forgets the oldest
// retirements of machines that have left.
func (s *State) updateRetirementOnRemoval(index uint64, node string) {
	r, found := s.retirementOf(node)
	if !found || r.Departed {
		return
	}
	for _, store := range directory.Stores(s.View) {
		if store.Node == node {
			return
		}
	}
	r.Departed = true
	s.putRetirement(index, node, r)
	s.forgetRetirements(index)
}

func (s *State) forgetRetirements(index uint64) {
	var left []feed.Item
	for _, item := range s.View.All(feed.SectionRetirement) {
		if decodeRetirement(item.Data).Departed {
			left = append(left, item)
		}
	}
	if len(left) <= retirementsKept {
		return
	}
	sort.Slice(left, func(i, j int) bool { return left[i].Revision < left[j].Revision })
	for _, item := range left[:len(left)-retirementsKept] {
		s.View.Delete(feed.SectionRetirement, item.Key, index)
	}
}

// apply marks a store machine to be emptied.
func (c RetireNode) apply(s *State, index uint64) Result {
	if s.IsRetiring(c.Node) {
		return Result{Code: codes.OK}
	}
	known := false
	remaining := 0
	for _, store := range directory.Stores(s.View) {
		if store.Node == c.Node {
			known = true
		} else if !s.IsRetiring(store.Node) {
			remaining++
		}
	}
	if !known {
		return Result{Code: codes.RetireUnknown}
	}
	if remaining < int(c.Needed) {
		return Result{Code: codes.RetireTooFew}
	}
	s.beginRetirement(index, c.Node)
	return Result{Code: codes.OK}
}

// IsRetiring tells whether a store machine was ordered to be emptied, also when it has been.
func (s *State) IsRetiring(node string) bool {
	_, found := s.View.Get(feed.SectionRetirement, node)
	return found
}
