package membership

import (
	"sort"

	"otterseam/tier/consensus"
)

// BootstrapInput is what a process knows when it might found the group.
type BootstrapInput struct {
	Self        consensus.Member
	Seeds       []string                    // addresses that the settings of all founders name
	Candidates  map[string]consensus.Member // who answered at a seed's address and was started to found, too
	WaitElapsed bool                        // the other founders had time to answer
}

// Members are the members to found the group with. It reports false while this process must not found it: before it has heard
// more than half of the seeds no other part of them could have founded another group, and only processes that were started to
// found count, since one with an empty disk may have lost that of a group that exists.
func (f BootstrapInput) Members() ([]consensus.Member, bool) {
	members := []consensus.Member{f.Self}
	for _, seed := range f.Seeds {
		if founder, answered := f.Candidates[seed]; answered && seed != f.Self.Address {
			members = append(members, founder)
		}
	}
	if len(members) <= len(f.Seeds)/2 {
		return nil, false
	}
	complete := len(members) == len(f.Seeds)
	return members, f.WaitElapsed || (complete && f.isFirstSeed())
}

// isFirstSeed tells whether this process founds before the others do.
func (f BootstrapInput) isFirstSeed() bool {
	seeds := append([]string(nil), f.Seeds...)
	sort.Strings(seeds)
	return len(seeds) > 0 && seeds[0] == f.Self.Address
}
