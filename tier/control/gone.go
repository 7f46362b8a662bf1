package control

import "sort"

const (
	// goneKept is how many ids of hosts that deregistered stay known, the newest ones, so that a heartbeat which comes late is
	// known to be late. A heartbeat is given up by its sender within a second and may then still be under way for some seconds: to
	// be taken for a new host's, so many others would have to deregister in that time.
	goneKept = 4096
	// goneSlack is how many more there may be before the oldest are forgotten, all at once.
	goneSlack = 512
)

// markGone notes that a host deregistered; the lock is held. What is forgotten depends on the log alone, so that all replicas
// forget the same.
func (s *State) markGone(id string, index uint64) {
	if !s.hosts[id].gone {
		s.gone++
	}
	s.hosts[id] = hostState{gone: true, goneAt: index}
	if s.gone <= goneKept+goneSlack {
		return
	}
	var ids []string
	for each, held := range s.hosts {
		if held.gone {
			ids = append(ids, each)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return s.hosts[ids[i]].goneAt < s.hosts[ids[j]].goneAt })
	for _, each := range ids[:len(ids)-goneKept] {
		delete(s.hosts, each)
	}
	s.gone = goneKept
}
