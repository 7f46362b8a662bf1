package membership

import (
	"slices"

	"otterseam/tier/consensus"
)

// BootstrapInput is what a process knows when it decides whether to bootstrap the group.
type BootstrapInput struct {
	Self        consensus.Member
	Seeds       []string                    // addresses in the settings of all processes that may bootstrap the group
	Candidates  map[string]consensus.Member // by address: processes that answered at a seed and were also started to bootstrap
	WaitElapsed bool                        // whether the other candidates had enough time to answer
}

// Members returns the members to bootstrap the group with, or false while this process must not bootstrap it. More than half of the
// seeds must be members, because otherwise the other seeds could bootstrap a second group. Only processes that were started to bootstrap
// count, because the empty disk of any other process may replace a lost disk of an existing group.
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

// hasLowestAddress reports whether this process has the lowest address of the seeds. That process may bootstrap without waiting.
func (b BootstrapInput) hasLowestAddress() bool {
	return len(b.Seeds) > 0 && slices.Min(b.Seeds) == b.Self.Address
}
