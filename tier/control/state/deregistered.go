package state

import "sort"

const (
	// maxDeregistered is the number of IDs of deregistered hosts that are retained, the newest ones, so that late heartbeats of these
	// hosts are recognized as stale. The sender of a heartbeat gives up within a second, after which the heartbeat may be in flight
	// for some more seconds. It is mistaken for that of a new host only if this many other hosts deregister in that time.
	maxDeregistered = 4096
	// deregisteredSlack is how many IDs beyond maxDeregistered are retained before the oldest are removed in one batch.
	deregisteredSlack = 512
)

// markDeregistered records that a host deregistered. The caller holds the lock. Which IDs are removed depends on the log alone, so
// that all replicas remove the same ones.
func (s *State) markDeregistered(id string, index uint64) {
	if !s.hosts[id].deregistered {
		s.deregistered++
	}
	s.hosts[id] = hostRecord{deregistered: true, deregisteredAt: index}
	if s.deregistered <= maxDeregistered+deregisteredSlack {
		return
	}
	s.removeOldestDeregistered()
}

// removeOldestDeregistered removes all but the newest maxDeregistered IDs of deregistered hosts.
func (s *State) removeOldestDeregistered() {
	var ids []string
	for id, record := range s.hosts {
		if record.deregistered {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return s.hosts[ids[i]].deregisteredAt < s.hosts[ids[j]].deregisteredAt })
	for _, id := range ids[:len(ids)-maxDeregistered] {
		delete(s.hosts, id)
	}
	s.deregistered = maxDeregistered
}
