package state

import (
	"slices"
	"sort"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
)

// maxRetainedRetirements is the number of retirements that are retained after their machines were removed, so that an operator can
// still read their state.
const maxRetainedRetirements = 64

// retirement is the retirement of a store machine. It applies to the disks that the machine has had since the retirement began, and
// not to a new machine that later registers under the same name.
type retirement struct {
	Unregistered bool // none of the machine's stores is registered any more
	Identities   []uint64
}

func (r retirement) encode() []byte {
	var e codec.Encoder
	e.Bool(r.Unregistered)
	e.Uint64s(r.Identities)
	return e.Bytes
}

func decodeRetirement(data []byte) retirement {
	d := codec.NewDecoder(data)
	return retirement{Unregistered: d.Bool(), Identities: d.Uint64s()}
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

// beginRetirement records the retirement of the disks that a machine has now.
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

// updateRetirementOnRegister updates a retirement when a store registers under the retired machine's name. While the machine still has
// registered stores, the new store is another disk of the same machine. Otherwise it belongs to a new machine with the same name, and
// the retirement is removed.
func (s *State) updateRetirementOnRegister(index uint64, store directory.Store) {
	r, found := s.retirementOf(store.Node)
	if !found || slices.Contains(r.Identities, store.Identity) {
		return
	}
	if r.Unregistered {
		s.View.Delete(feed.SectionRetirement, store.Node, index)
		return
	}
	r.Identities = append(r.Identities, store.Identity)
	s.putRetirement(index, store.Node, r)
}

// updateRetirementOnRemoval records that the last store of a retired machine was removed, and removes the oldest retirements of
// machines without stores.
func (s *State) updateRetirementOnRemoval(index uint64, node string) {
	r, found := s.retirementOf(node)
	if !found || r.Unregistered {
		return
	}
	for _, store := range directory.Stores(s.View) {
		if store.Node == node {
			return
		}
	}
	r.Unregistered = true
	s.putRetirement(index, node, r)
	s.removeOldestRetirements(index)
}

func (s *State) removeOldestRetirements(index uint64) {
	var unregistered []feed.Item
	for _, item := range s.View.All(feed.SectionRetirement) {
		if decodeRetirement(item.Data).Unregistered {
			unregistered = append(unregistered, item)
		}
	}
	if len(unregistered) <= maxRetainedRetirements {
		return
	}
	sort.Slice(unregistered, func(i, j int) bool { return unregistered[i].Revision < unregistered[j].Revision })
	for _, item := range unregistered[:len(unregistered)-maxRetainedRetirements] {
		s.View.Delete(feed.SectionRetirement, item.Key, index)
	}
}

// apply begins the retirement of a store machine if enough other machines remain. A repeated command changes nothing.
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

// IsRetiring reports whether the retirement of a store machine has begun, including one that is completed.
func (s *State) IsRetiring(node string) bool {
	_, found := s.View.Get(feed.SectionRetirement, node)
	return found
}
