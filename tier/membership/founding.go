package membership

import (
	"sort"

	"otterseam/tier/consensus"
)

// Founding is what a process knows when it might found the group.
type Founding struct {
	Self     consensus.Member
	Seeds    []string                    // addresses that the settings of all founders name
	Founders map[string]consensus.Member // who answered at a seed's address and was started to found, too
	Waited   bool                        // the other founders had time to answer
}

// Members are the members to found the group with. It reports false while this process must not found it: before it has heard
// more than half of the seeds no other part of them could have founded another group, and only processes that were started to
// found count, since one with an empty disk may have lost that of a group that exists.
func (f Founding) Members() ([]consensus.Member, bool) {
	members := []consensus.Member{f.Self}
	for _, seed := range f.Seeds {
		if founder, answered := f.Founders[seed]; answered && seed != f.Self.Address {
			members = append(members, founder)
		}
	}
	if len(members) <= len(f.Seeds)/2 {
		return nil, false
	}
	complete := len(members) == len(f.Seeds)
	return members, f.Waited || (complete && f.first())
}

// first tells whether this process founds before the others do.
func (f Founding) first() bool {
	seeds := append([]string(nil), f.Seeds...)
	sort.Strings(seeds)
	return len(seeds) > 0 && seeds[0] == f.Self.Address
}
