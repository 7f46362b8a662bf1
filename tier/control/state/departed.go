package state

import "sort"

const (
	// departedKept is how many ids of hosts that deregistered stay known, the newest ones, so that a heartbeat which comes late is
	// known to be late. A heartbeat is given up by its sender within a second and may then still be under way for some seconds: to
	// be taken for a new host's, so many others would have to deregister in that time.
	departedKept = 4096
	// departedSlack is how many more there may be before the oldest are forgotten, all at once.
	departedSlack = 512
)

// markDeparted notes that a host deregistered; the lock is held. What is forgotten depends on the log alone, so that all replicas
// forget the same.
func (s *State) markDeparted(id string, index uint64) {
	if !s.hosts[id].departed {
		s.departed++
	}
	s.hosts[id] = hostRecord{departed: true, departedAt: index}
	if s.departed <= departedKept+departedSlack {
		return
	}
	s.forgetDeparted()
}

// forgetDeparted forgets the oldest ids of hosts that deregistered.
func (s *State) forgetDeparted() {
	var ids []string
	for id, held := range s.hosts {
		if held.departed {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return s.hosts[ids[i]].departedAt < s.hosts[ids[j]].departedAt })
	for _, id := range ids[:len(ids)-departedKept] {
		delete(s.hosts, id)
	}
	s.departed = departedKept
}
