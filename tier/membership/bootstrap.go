package membership

import (
	"slices"

	"otterseam/tier/consensus"
)

// BootstrapInput is what a process knows when it might bootstrap the group.
type BootstrapInput struct {
	Self        consensus.Member
	Seeds       []string                    // addresses that the settings of all processes that may bootstrap name
	Candidates  map[string]consensus.Member // who answered at a seed's address and was started to bootstrap, too
	WaitElapsed bool                        // the other candidates had time to answer
}

// Members are the members to bootstrap the group with. It reports false while this process must not do so: until it has heard
// more than half of the seeds, another part of them may bootstrap another group; and only processes that were started to bootstrap
// count, since one with an empty disk may have lost that of a group that exists.
func (b BootstrapInput) Members() ([]consensus.Member, bool) {
	members := []consensus.Member{b.Self}
	for _, seed := range b.Seeds {
		if candidate, answered := b.Candidates[seed]; answered && seed != b.Self.Address {
			members = append(members, candidate)
		}
	}
	if len(members) <= len(b.Seeds)/2 {
		return nil, false
	}
	complete := len(members) == len(b.Seeds)
	return members, b.WaitElapsed || (complete && b.hasLowestAddress())
}

// hasLowestAddress tells whether this process bootstraps before the others do: its address is the lowest of the seeds.
func (b BootstrapInput) hasLowestAddress() bool {
	return len(b.Seeds) > 0 && slices.Min(b.Seeds) == b.Self.Address
}
